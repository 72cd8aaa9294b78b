#include "keyspace/KeyLoad.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kRescaleMs = 30 * KeyLoad::kHalfLifeMs;
/// Seconds of traffic that the decayed weight of a steady rate stands for.
constexpr double kWindowSeconds = KeyLoad::kHalfLifeMs / 1000.0 / 0.693147;
/// Rates of a shorter time say nothing.
constexpr double kMinSeconds = 0.25;

}

int64_t KeyRates::LastWithin(uint32_t aFirst,
                             uint32_t aLast,
                             double aRate) const
{
  const auto begin = sums_.begin() + aFirst + 1;
  const auto end = sums_.begin() + aLast + 2;
  const auto after = std::upper_bound(begin, end, sums_[aFirst] + aRate);
  return aFirst + (after - begin) - 1;
}

int64_t KeyRates::FirstWithin(uint32_t aFirst,
                              uint32_t aLast,
                              double aRate) const
{
  const auto begin = sums_.begin() + aFirst;
  const auto end = sums_.begin() + aLast + 1;
  return aFirst +
         (std::lower_bound(begin, end, sums_[aLast + 1] - aRate) - begin);
}

KeyLoad::KeyLoad()
  : weights_(kKeyCount, 0)
{
}

double KeyLoad::RatePerWeight(TimeMs aNowMs) const
{
  const double scale =
    std::exp2(static_cast<double>(aNowMs - originMs_) / kHalfLifeMs);
  // Soon after the first request the window is not full yet.
  const double seconds = std::max(
    detail::kMinSeconds, static_cast<double>(aNowMs - startMs_) / 1000.0);
  const double window =
    detail::kWindowSeconds * (1 - std::exp(-seconds / detail::kWindowSeconds));
  return 1 / (scale * window);
}

void KeyLoad::Rescale(TimeMs aNowMs)
{
  const double factor =
    originMs_ == 0
      ? 0
      : std::exp2(-static_cast<double>(aNowMs - originMs_) / kHalfLifeMs);
  std::ranges::for_each(weights_, [&](float& aWeight) {
    aWeight = static_cast<float>(aWeight * factor);
  });
  total_ *= factor;
  originMs_ = aNowMs;
}

void KeyLoad::Add(uint32_t aKey, double aRequests, TimeMs aNowMs)
{
  if (startMs_ == 0) {
    startMs_ = aNowMs;
  }
  if (originMs_ == 0 || aNowMs - originMs_ > detail::kRescaleMs) {
    Rescale(aNowMs);
  }
  if (aKey < kKeyCount) {
    const double weight =
      aRequests *
      std::exp2(static_cast<double>(aNowMs - originMs_) / kHalfLifeMs);
    weights_[aKey] += static_cast<float>(weight);
    total_ += weight;
  }
}

KeyRates KeyLoad::Rates(TimeMs aNowMs) const
{
  const double factor = RatePerWeight(aNowMs);
  std::vector<double> sums(kKeyCount + 1, 0);
  double sum = 0;
  for (uint32_t key = 0; key < kKeyCount; ++key) {
    sum += weights_[key] * factor;
    sums[key + 1] = sum;
  }
  return KeyRates(std::move(sums));
}

double KeyLoad::TotalRate(TimeMs aNowMs) const
{
  return startMs_ == 0 ? 0 : total_ * RatePerWeight(aNowMs);
}

double KeyLoad::Samples(double aRate)
{
  return aRate * detail::kWindowSeconds;
}

}

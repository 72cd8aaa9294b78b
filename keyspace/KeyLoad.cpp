#include "keyspace/KeyLoad.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cactuspitch {

namespace detail {

/// Half-lives after which the weights, which double in each of them, are
/// rescaled.
constexpr TimeMs kRescaleHalfLives = 30;
/// Rates measured over a shorter time are meaningless.
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

KeyLoad::KeyLoad(TimeMs aHalfLifeMs)
  : weights_(kKeyCount, 0)
  , halfLifeMs_(aHalfLifeMs)
{
}

double KeyLoad::WindowSeconds() const
{
  constexpr double kMsPerSecond = 1000;
  return static_cast<double>(halfLifeMs_) / kMsPerSecond / std::numbers::ln2;
}

double KeyLoad::RatePerWeight(TimeMs aNowMs) const
{
  const double scale =
    std::exp2(static_cast<double>(aNowMs - originMs_) / halfLifeMs_);
  // Shortly after the first request the averaging window is only partly filled.
  const double seconds = std::max(
    detail::kMinSeconds, static_cast<double>(aNowMs - startMs_) / 1000.0);
  const double window =
    WindowSeconds() * (1 - std::exp(-seconds / WindowSeconds()));
  return 1 / (scale * window);
}

void KeyLoad::Rescale(TimeMs aNowMs)
{
  const double factor =
    originMs_ == 0
      ? 0
      : std::exp2(-static_cast<double>(aNowMs - originMs_) / halfLifeMs_);
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
  if (originMs_ == 0 ||
      aNowMs - originMs_ > detail::kRescaleHalfLives * halfLifeMs_) {
    Rescale(aNowMs);
  }
  if (aKey < kKeyCount) {
    const double weight =
      aRequests *
      std::exp2(static_cast<double>(aNowMs - originMs_) / halfLifeMs_);
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
  return KeyRates(std::move(sums), WindowSeconds());
}

double KeyLoad::TotalRate(TimeMs aNowMs) const
{
  return startMs_ == 0 ? 0 : total_ * RatePerWeight(aNowMs);
}

}

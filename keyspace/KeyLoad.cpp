#include "keyspace/KeyLoad.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kRescaleMs = 30 * KeyLoad::kHalfLifeMs;
/// A steady rate r has the decayed weight r * kHalfLife / ln 2.
constexpr double kWeightPerRate = KeyLoad::kHalfLifeMs / 1000.0 / 0.693147;

}

KeyLoad::KeyLoad()
  : weights_(kKeyCount, 0)
{
}

double KeyLoad::Scale(TimeMs aNowMs) const
{
  return std::exp2(static_cast<double>(aNowMs - originMs_) / kHalfLifeMs);
}

void KeyLoad::Rescale(TimeMs aNowMs)
{
  const double factor = originMs_ == 0 ? 0 : 1 / Scale(aNowMs);
  std::ranges::for_each(weights_, [&](float& aWeight) {
    aWeight = static_cast<float>(aWeight * factor);
  });
  total_ *= factor;
  originMs_ = aNowMs;
}

void KeyLoad::Add(uint32_t aKey, double aRequests, TimeMs aNowMs)
{
  if (originMs_ == 0 || aNowMs - originMs_ > detail::kRescaleMs) {
    Rescale(aNowMs);
  }
  if (aKey < kKeyCount) {
    const double weight = aRequests * Scale(aNowMs);
    weights_[aKey] += static_cast<float>(weight);
    total_ += weight;
  }
}

double KeyLoad::Rate(uint32_t aFirst, uint32_t aLast, TimeMs aNowMs) const
{
  const double sum = std::accumulate(
    weights_.begin() + aFirst, weights_.begin() + aLast + 1, 0.0);
  return sum / Scale(aNowMs) / detail::kWeightPerRate;
}

double KeyLoad::TotalRate(TimeMs aNowMs) const
{
  return total_ / Scale(aNowMs) / detail::kWeightPerRate;
}

uint32_t KeyLoad::EndForRate(uint32_t aFirst,
                             uint32_t aLast,
                             double aRate,
                             TimeMs aNowMs) const
{
  const double limit = aRate * detail::kWeightPerRate * Scale(aNowMs);
  double sum = 0;
  uint32_t key = aFirst;
  while (key < aLast && sum + weights_[key] <= limit) {
    sum += weights_[key++];
  }
  return key == aFirst ? aFirst : key - 1;
}

}

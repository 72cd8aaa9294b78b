#include "KeyPopularity.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

KeyPopularity::KeyPopularity(size_t aKeys, double aExponent)
{
  double sum = 0;
  cumulative_.reserve(aKeys);
  for (size_t rank = 1; rank <= aKeys; ++rank) {
    sum += 1.0 / std::pow(static_cast<double>(rank), aExponent);
    cumulative_.push_back(sum);
  }
}

size_t KeyPopularity::Draw(std::mt19937_64& aRandom, uint64_t aShift) const
{
  // A prime step spreads the new hot set over the key space.
  constexpr uint64_t kStep = 7919;
  std::uniform_real_distribution<double> uniform(0, cumulative_.back());
  const auto found = std::ranges::upper_bound(cumulative_, uniform(aRandom));
  const auto rank = std::min<size_t>(
    static_cast<size_t>(found - cumulative_.begin()), cumulative_.size() - 1);
  return (rank + aShift * kStep) % cumulative_.size();
}

std::string KeyPopularity::Name(size_t aIndex)
{
  return Concat("key-", aIndex);
}

}

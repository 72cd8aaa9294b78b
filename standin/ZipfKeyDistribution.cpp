#include "ZipfKeyDistribution.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

ZipfKeyDistribution::ZipfKeyDistribution(size_t aKeys, double aExponent)
{
  double sum = 0;
  cumulativeWeights_.reserve(aKeys);
  for (size_t rank = 1; rank <= aKeys; ++rank) {
    sum += 1.0 / std::pow(static_cast<double>(rank), aExponent);
    cumulativeWeights_.push_back(sum);
  }
}

size_t ZipfKeyDistribution::SampleIndex(std::mt19937_64& aRandom,
                                        uint64_t aHotSetNumber) const
{
  // A prime stride makes successive hot sets use distant keys.
  constexpr uint64_t kHotSetStride = 7919;
  std::uniform_real_distribution<double> uniform(0, cumulativeWeights_.back());
  const auto found =
    std::ranges::upper_bound(cumulativeWeights_, uniform(aRandom));
  const auto rank =
    std::min<size_t>(static_cast<size_t>(found - cumulativeWeights_.begin()),
                     cumulativeWeights_.size() - 1);
  return (rank + aHotSetNumber * kHotSetStride) % cumulativeWeights_.size();
}

std::string ZipfKeyDistribution::KeyName(size_t aIndex)
{
  return Concat("key-", aIndex);
}

}

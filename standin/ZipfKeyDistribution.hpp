#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

/// Zipf distribution over numbered keys. Each hot set number maps the
/// popularity ranks to different keys.
class ZipfKeyDistribution
{
public:
  /// An exponent of 0 gives the uniform distribution.
  ZipfKeyDistribution(size_t aKeys, double aExponent);

  /// Returns a random key index from 0 to aKeys - 1.
  size_t SampleIndex(std::mt19937_64& aRandom, uint64_t aHotSetNumber) const;
  static std::string KeyName(size_t aIndex);

private:
  std::vector<double> cumulativeWeights_;
};

}

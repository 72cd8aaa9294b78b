#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

/// Zipf popularity over numbered keys. The hot set changes when a new shift
/// maps the ranks to other keys.
class ZipfKeyDistribution
{
public:
  /// aExponent 0: all keys alike.
  ZipfKeyDistribution(size_t aKeys, double aExponent);

  size_t SampleIndex(std::mt19937_64& aRandom, uint64_t aHotSetNumber) const;
  static std::string KeyName(size_t aIndex);

private:
  std::vector<double> cumulativeWeights_;
};

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

/// Zipf popularity over numbered keys. The hot set changes when a new shift
/// maps the ranks to other keys.
class KeyPopularity
{
public:
  /// aExponent 0: all keys alike.
  KeyPopularity(size_t aKeys, double aExponent);

  size_t Draw(std::mt19937_64& aRandom, uint64_t aShift) const;
  static std::string Name(size_t aIndex);

private:
  std::vector<double> cumulative_;
};

}

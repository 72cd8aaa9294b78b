#pragma once

#include "common/Types.hpp"
#include "keyspace/KeySegment.hpp"

#include <vector>

namespace cactuspitch {

/// Requests per second of each key of a service, with exponential decay. Busy
/// keys lie close together, so the full table is kept instead of a sketch:
/// 256 KB at the leader only.
class KeyLoad
{
public:
  /// Half of the weight comes from the last 1.5 s: a new hot key counts within
  /// a second, and the noise of single requests is smoothed.
  static constexpr TimeMs kHalfLifeMs = 1500;

  KeyLoad();

  void Add(uint32_t aKey, double aRequests, TimeMs aNowMs);
  /// Requests per second of the keys aFirst to aLast.
  double Rate(uint32_t aFirst, uint32_t aLast, TimeMs aNowMs) const;
  double TotalRate(TimeMs aNowMs) const;
  /// Largest last key so that aFirst..last has at most aRate, at least aFirst.
  uint32_t EndForRate(uint32_t aFirst,
                      uint32_t aLast,
                      double aRate,
                      TimeMs aNowMs) const;

private:
  /// Weights grow with time instead of decaying all entries; rescaled before
  /// they overflow.
  double Scale(TimeMs aNowMs) const;
  void Rescale(TimeMs aNowMs);

  std::vector<float> weights_;
  double total_ = 0;
  TimeMs originMs_ = 0;
};

}

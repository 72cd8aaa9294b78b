#pragma once

#include "common/Types.hpp"
#include "keyspace/KeySegment.hpp"

#include <vector>

namespace cactuspitch {

/// Requests per second of every key at one moment, summed up so that the rate
/// of any range is one subtraction.
class KeyRates
{
public:
  KeyRates(std::vector<double> aSums, double aWindowSeconds)
    : sums_(std::move(aSums))
    , windowSeconds_(aWindowSeconds)
  {
  }

  /// Requests per second of the keys aFirst to aLast.
  double Rate(uint32_t aFirst, uint32_t aLast) const
  {
    return sums_[aLast + 1] - sums_[aFirst];
  }
  double Total() const { return sums_.back(); }
  /// Requests that a rate stands for: the fewer, the less it says.
  double Samples(double aRate) const { return aRate * windowSeconds_; }
  /// Last key of the longest range that starts at aFirst and has at most
  /// aRate; aFirst - 1 when not even the first key fits.
  int64_t LastWithin(uint32_t aFirst, uint32_t aLast, double aRate) const;
  /// First key of the longest range that ends at aLast and has at most aRate;
  /// aLast + 1 when not even the last key fits.
  int64_t FirstWithin(uint32_t aFirst, uint32_t aLast, double aRate) const;

private:
  std::vector<double> sums_; ///< of the keys below the index
  double windowSeconds_;
};

/// Counts the requests of each key of a service, with exponential decay. Busy
/// keys lie close together, so the full table is kept instead of a sketch:
/// 256 KB at the leader only.
class KeyLoad
{
public:
  /// Half of the weight comes from the last 1.5 s: a new hot key counts within
  /// a second, and the noise of single requests is smoothed.
  static constexpr TimeMs kHalfLifeMs = 1500;
  /// With many owners each sees few requests, and the noise of 1.5 s hides who
  /// is overloaded.
  static constexpr TimeMs kLargeFleetHalfLifeMs = 4000;

  explicit KeyLoad(TimeMs aHalfLifeMs = kHalfLifeMs);

  void Add(uint32_t aKey, double aRequests, TimeMs aNowMs);
  KeyRates Rates(TimeMs aNowMs) const;
  double TotalRate(TimeMs aNowMs) const;

private:
  /// Requests per second for each unit of weight.
  double RatePerWeight(TimeMs aNowMs) const;
  /// Seconds of traffic that the decayed weight of a steady rate stands for.
  double WindowSeconds() const;
  void Rescale(TimeMs aNowMs);

  /// Weights grow with time instead of decaying all entries; rescaled before
  /// they overflow.
  std::vector<float> weights_;
  TimeMs halfLifeMs_;
  double total_ = 0;
  TimeMs originMs_ = 0;
  TimeMs startMs_ = 0;
};

}

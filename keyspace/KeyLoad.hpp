#pragma once

#include "common/Types.hpp"
#include "keyspace/KeySegment.hpp"

#include <vector>

namespace cactuspitch {

/// Snapshot of the request rate of every key, stored as prefix sums so that the
/// rate of any key range is a single subtraction.
class KeyRates
{
public:
  KeyRates(std::vector<double> aSums, double aWindowSeconds)
    : sums_(std::move(aSums))
    , windowSeconds_(aWindowSeconds)
  {
  }

  /// Requests per second of the keys aFirst to aLast, both inclusive.
  double Rate(uint32_t aFirst, uint32_t aLast) const
  {
    return sums_[aLast + 1] - sums_[aFirst];
  }
  double Total() const { return sums_.back(); }
  /// Number of requests from which aRate was measured, in the averaging window.
  /// Rates with few samples are noisy.
  double Samples(double aRate) const { return aRate * windowSeconds_; }
  /// Last key of the longest range from aFirst whose rate is at most aRate.
  /// Returns aFirst - 1 if the first key alone exceeds aRate.
  int64_t LastWithin(uint32_t aFirst, uint32_t aLast, double aRate) const;
  /// First key of the longest range up to aLast whose rate is at most aRate.
  /// Returns aLast + 1 if the last key alone exceeds aRate.
  int64_t FirstWithin(uint32_t aFirst, uint32_t aLast, double aRate) const;

private:
  std::vector<double> sums_; ///< total rate of the keys below the index
  double windowSeconds_;
};

/// Counts the requests for each key of a service with exponential decay. Busy
/// keys are adjacent, so the leader keeps the full table, 256 KB, instead of a
/// sketch.
class KeyLoad
{
public:
  /// Short enough that a new hot key shows within a second, long enough to
  /// smooth the noise of single requests.
  static constexpr TimeMs kHalfLifeMs = 1500;
  /// With many owners each receives few requests, and with a half-life of 1.5 s
  /// noise hides which owners are overloaded.
  static constexpr TimeMs kLargeFleetHalfLifeMs = 4000;

  explicit KeyLoad(TimeMs aHalfLifeMs = kHalfLifeMs);

  void Add(uint32_t aKey, double aRequests, TimeMs aNowMs);
  KeyRates Rates(TimeMs aNowMs) const;
  double TotalRate(TimeMs aNowMs) const;

private:
  /// Converts a weight into requests per second.
  double RatePerWeight(TimeMs aNowMs) const;
  /// Length of the averaging window: the decayed weight of a steady rate,
  /// divided by the rate.
  double WindowSeconds() const;
  void Rescale(TimeMs aNowMs);

  /// New requests get growing weights, which replaces the decay of all entries.
  /// Rescaled before the weights overflow.
  std::vector<float> weights_;
  TimeMs halfLifeMs_;
  double total_ = 0;
  TimeMs originMs_ = 0;
  TimeMs startMs_ = 0;
};

}

#pragma once

#include "policy/BalancingPolicy.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

struct SliceMeasurement
{
  KeyHash begin_ = 0;
  int64_t requests_ = 0;
  double busyMs_ = 0;
};

struct KeyMeasurement
{
  KeyHash hash_ = 0;
  int64_t requests_ = 0;
};

/// Load that one router measured for an assignment group within a time window.
struct RouterLoadReport
{
  std::string router_;
  TimeMs windowMs_ = 0;
  std::vector<SliceMeasurement> slices_;
  std::vector<KeyMeasurement> hotKeys_;
};

struct LoadMergerOptions
{
  /// The loads of a router that has not reported for longer are dropped.
  TimeMs maxAgeMs_ = 5000;
  /// Time constant of the moving average of slice loads. A shorter one follows
  /// noise, a longer one lags.
  TimeMs averagingMs_ = 10000;
  /// Largest plausible number of attempts that a router has in flight.
  double maxConcurrency_ = 4096;
};

/// Merges the load reports of all routers for one assignment group.
class LoadMerger
{
public:
  explicit LoadMerger(LoadMergerOptions aOptions = {});

  /// Returns false, and ignores the report, if it is implausible.
  bool Add(const RouterLoadReport& aLoad, TimeMs aNowMs);
  /// Sets sliceLoad_, hotKeys_, table_ and nowMs_ of aInput.
  void Fill(const GroupTable& aTable, TimeMs aNowMs, BalanceInput& aInput);
  size_t Routers() const { return routers_.size(); }
  int64_t Rejected() const { return rejected_; }

private:
  struct Average
  {
    double requestsPerSecond_ = 0;
    double busyMsPerSecond_ = 0;
  };
  struct RouterState
  {
    TimeMs lastMs_ = 0;
    std::map<KeyHash, Average> slices_;
    std::map<KeyHash, double> hotKeys_; ///< requests per second
  };

  static double BusyMsPerRequest(const RouterState& aState, KeyHash aHash);
  bool IsPlausible(const RouterLoadReport& aLoad) const;
  void AddSlices(const RouterLoadReport& aLoad, RouterState& aState) const;
  void DropStaleRouters(TimeMs aNowMs);

  LoadMergerOptions options_;
  std::map<std::string, RouterState, std::less<>> routers_;
  int64_t rejected_ = 0;
};

}

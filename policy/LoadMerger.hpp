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

/// What one router measured for one assignment group in a window.
struct RouterLoadReport
{
  std::string router_;
  TimeMs windowMs_ = 0;
  std::vector<SliceMeasurement> slices_;
  std::vector<KeyMeasurement> hotKeys_;
};

struct LoadMergerOptions
{
  /// A router that is silent for longer no longer counts.
  TimeMs maxAgeMs_ = 5000;
  /// Averaging time of slice loads; shorter follows noise, longer lags.
  TimeMs averagingMs_ = 10000;
  /// Largest plausible number of attempts that a router has in flight.
  double maxConcurrency_ = 4096;
};

/// Merges the load reports of all routers for one assignment group.
class LoadMerger
{
public:
  explicit LoadMerger(LoadMergerOptions aOptions = {});

  /// False when the report is not plausible; it is then ignored.
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
  void DropSilent(TimeMs aNowMs);

  LoadMergerOptions options_;
  std::map<std::string, RouterState, std::less<>> routers_;
  int64_t rejected_ = 0;
};

}

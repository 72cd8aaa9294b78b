#pragma once

#include "policy/BalancingPolicy.hpp"
#include "policy/HotKeySketch.hpp"
#include "policy/LoadMerger.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace cactuspitch {

struct BalanceModelOptions
{
  int routers_ = 8;
  int servers_ = 15;
  int slots_ = 5;
  int failureDomains_ = 4;
  int slices_ = 256;
  size_t keys_ = 100000;
  double zipf_ = 1.0;
  double serviceMs_ = 10;
  double requestsPerSecond_ = 4500; ///< 0.6 of the capacity
  uint64_t seed_ = 1;
};

/// Requests of one second: key and service time, in the order of arrival.
struct SampledRequest
{
  KeyHash hash_ = 0;
  double busyMs_ = 0;
};

/// Load that moved to another owner in one second, as a part of the total.
struct BalanceSecond
{
  std::vector<SampledRequest> requests_;
  double movedPart_ = 0;
};

/// Routers that measure sampled requests with sketches and reports, the merger
/// and the balancing policy, in steps of one second. A plan is made from the
/// reports of the second before and in force one second later.
class BalanceModel
{
public:
  explicit BalanceModel(BalanceModelOptions aOptions);

  const BalanceSecond& Step();
  /// The aCount hottest keys become cold and others take their places.
  void ChangeHotKeys(size_t aCount);
  /// Extra requests for one key; 0 ends the flood.
  void SetFlood(KeyHash aKey, double aRequestsPerSecond);
  void AddServer();
  void DrainServer(int32_t aServer);

  const GroupTable& Table() const { return table_; }
  /// Part of the requests for the key of a rank, 0 is the hottest.
  double PopularityOfRank(size_t aRank) const { return popularity_[aRank]; }
  KeyHash RandomColdKey();
  TimeMs NowMs() const { return nowMs_; }
  /// Expected load of each server, as a part of the total.
  std::vector<double> ServerParts() const;
  /// Expected load of each slice, as a part of the total.
  std::vector<double> SliceParts() const;

private:
  void Sample();
  void Measure();
  void Report();
  void Plan();
  size_t SliceIndex(KeyHash aHash) const;

  BalanceModelOptions options_;
  std::mt19937_64 random_;
  std::vector<KeyHash> keys_;      ///< by rank
  std::vector<double> popularity_; ///< by rank, sums up to 1
  std::discrete_distribution<size_t> rank_;
  std::discrete_distribution<size_t> router_;
  KeyHash floodKey_ = 0;
  double floodPerSecond_ = 0;

  GroupTable table_;
  BalancePlan pending_; ///< made in the last step
  std::unique_ptr<BalancingPolicy> policy_;
  LoadMerger merger_;
  std::vector<HotKeySketch> sketches_;
  std::vector<std::map<KeyHash, SliceMeasurement>> measured_; ///< by router
  BalanceSecond second_;
  TimeMs nowMs_ = 0;
};

}

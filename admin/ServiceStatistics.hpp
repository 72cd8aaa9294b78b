#pragma once

#include "FleetClient.hpp"
#include "MoveLog.hpp"

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

/// Slice loads and reasons of moves, merged from the ProcessStatus.json of all
/// assigners and routers.
class FleetDetails
{
public:
  explicit FleetDetails(const std::vector<PeerStatus>& aStatuses);

  /// Load of the slice that begins at aBegin; nothing when no process reports
  /// the load.
  std::optional<double> SliceLoad(const std::string& aService,
                                  KeyHash aBegin) const;
  /// Sum of the reported loads of the service's slices.
  double ServiceLoad(const std::string& aService) const;
  /// Reason of the move that gave the slice aEpoch; empty when no process
  /// reports a reason.
  std::string MoveReason(const std::string& aService,
                         KeyHash aBegin,
                         Epoch aEpoch) const;

private:
  void AddGroup(const nlohmann::json& aGroup);

  using SliceKey = std::pair<std::string, KeyHash>;
  std::map<SliceKey, double> loads_;
  std::map<std::pair<SliceKey, Epoch>, std::string> reasons_;
};

/// Statistics of one service; docs/design.md, section 12, defines them.
struct ServiceStatistics
{
  /// Ratio of the largest to the mean request count of a backend server; 0
  /// without requests.
  double imbalance_ = 0;
  std::map<std::string, int64_t> requestsByServer_;
  /// Percentage of the load whose owner changed in the last minute, and the
  /// largest such percentage of all minutes of the last hour.
  double churnLastMinutePercent_ = 0;
  double churnPeakPercent_ = 0;
  /// Whether churn is weighted by load. When no load is known, it is weighted
  /// by the share of the hash space.
  bool isChurnByLoad_ = false;
  int64_t requests_ = 0;
  int64_t unservedRequests_ = 0;
  /// Time that the average key, weighted by requests, had no serving owner:
  /// each minute counts by its share of unserved requests.
  double unavailableSeconds_ = 0;
  /// Longest time that a slice had no owner.
  int64_t longestGapMs_ = 0;
};

/// aServers are the ids of the backend servers in the service's tables; aNowMs
/// is Unix time. Imbalance covers the last five complete minutes. Moves and
/// gaps cover the last hour, and requests all minutes of aSamples.
ServiceStatistics ComputeServiceStatistics(
  const std::string& aService,
  const std::vector<std::string>& aServers,
  const std::vector<SloSample>& aSamples,
  const MoveLog& aMoves,
  const FleetDetails& aDetails,
  int64_t aNowMs);

nlohmann::json ToJson(const ServiceStatistics& aStatistics);

}

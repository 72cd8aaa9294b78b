#pragma once

#include "FleetClient.hpp"
#include "MoveLog.hpp"

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

/// Details that assigners and routers report in ProcessStatus.json, merged:
/// loads of slices and reasons of moves.
class FleetDetails
{
public:
  explicit FleetDetails(const std::vector<PeerStatus>& aStatuses);

  /// Load of the slice that begins there; nothing when nobody reports it.
  std::optional<double> SliceLoad(const std::string& aService,
                                  KeyHash aBegin) const;
  /// Sum over the service's slices.
  double ServiceLoad(const std::string& aService) const;
  /// Empty when nobody reports it.
  std::string MoveReason(const std::string& aService,
                         KeyHash aBegin,
                         Epoch aEpoch) const;

private:
  void AddGroup(const nlohmann::json& aGroup);

  using SliceKey = std::pair<std::string, KeyHash>;
  std::map<SliceKey, double> loads_;
  std::map<std::pair<SliceKey, Epoch>, std::string> reasons_;
};

/// The measures of docs/design.md, section 12, for one service.
struct ServiceStatistics
{
  /// Peak over mean requests of the backend servers, 0 without requests.
  double imbalance_ = 0;
  std::map<std::string, int64_t> requestsByServer_;
  /// Load share that changed owner in the last minute, and the largest share
  /// in any minute of the last hour, in percent.
  double churnLastMinutePercent_ = 0;
  double churnPeakPercent_ = 0;
  /// Whether churn is weighted by load; by hash share where no load is known.
  bool isChurnByLoad_ = false;
  int64_t requests_ = 0;
  int64_t unservedRequests_ = 0;
  /// Time without a serving owner, for the average key weighted by requests.
  double unavailableSeconds_ = 0;
  int64_t longestGapMs_ = 0;
};

/// Imbalance is taken from the last five whole minutes, the rest from the last
/// hour, both from the routers' counts. aServers are the ids in the table.
ServiceStatistics ComputeServiceStatistics(
  const std::string& aService,
  const std::vector<std::string>& aServers,
  const std::vector<SloSample>& aSamples,
  const MoveLog& aMoves,
  const FleetDetails& aDetails,
  int64_t aNowMs);

nlohmann::json ToJson(const ServiceStatistics& aStatistics);

}

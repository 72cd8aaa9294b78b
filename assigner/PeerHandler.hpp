#pragma once

#include "ControlLoop.hpp"
#include "FleetConfig.hpp"
#include "FleetDirectory.hpp"
#include "SliceBalancer.hpp"
#include "rpc/TableFollower.hpp"

#include <functional>
#include <string>

#include <AssignerPeer.h>

namespace cactuspitch {

/// Serves the Thrift interface AssignerPeer. For groups of which this instance
/// is not the assigner, GetTables returns the newest known table without a view
/// lease.
class PeerHandler final : public wire::AssignerPeerIf
{
public:
  PeerHandler(const Clock& aClock,
              ControlLoop& aControl,
              SliceBalancer& aBalancer,
              const FleetDirectory& aDirectory,
              const FleetConfig& aConfig,
              const TableFollower& aFollower,
              std::function<wire::ProcessStatus()> aStatus);

  void Heartbeat(wire::HeartbeatResponse& aResponse,
                 const wire::HeartbeatRequest& aRequest) override;
  void GetTables(wire::GetTablesResponse& aResponse,
                 const wire::GetTablesRequest& aRequest) override;
  void ReportLoad(const wire::LoadReport& aReport) override;
  void RequestRefresh(const std::string& aService, int64_t aKeyHash) override;
  void GetStatus(wire::ProcessStatus& aStatus) override;

private:
  /// Returns true when aResponse has something newer than the caller knows.
  bool FillResponse(wire::GetTablesResponse& aResponse,
                    const wire::GetTablesRequest& aRequest);
  bool FillGroup(wire::GetTablesResponse& aResponse,
                 const wire::GetTablesRequest& aRequest,
                 ManagedGroup& aGroup);
  bool FillFollowed(wire::GetTablesResponse& aResponse,
                    const wire::GetTablesRequest& aRequest,
                    const GroupTable& aTable) const;
  bool FillConfig(wire::GetTablesResponse& aResponse,
                  const wire::GetTablesRequest& aRequest) const;
  /// Thrift address of the instance; its name when the address is unknown.
  std::string AddressOrName(const std::string& aInstance) const;

  const Clock& clock_;
  ControlLoop& control_;
  SliceBalancer& balancer_;
  const FleetDirectory& directory_;
  const FleetConfig& config_;
  const TableFollower& follower_;
  std::function<wire::ProcessStatus()> status_;
};

}

#pragma once

#include "ApiServer.hpp"
#include "FleetClient.hpp"
#include "MoveLog.hpp"
#include "config/ConfigEditor.hpp"
#include "rpc/TableFollower.hpp"

#include <vector>

namespace cactuspitch {

/// Routes that show the state of the fleet (configuration versions in force,
/// slice owners, loads and moves, statistics) and that list and release
/// quarantined requests.
class FleetApi
{
public:
  FleetApi(ConfigEditor& aEditor,
           FleetClient& aFleet,
           const TableFollower& aFollower,
           const MoveLog& aMoves,
           const Clock& aClock,
           ConfigEditor::UnixClock aUnixClock,
           std::string aInstance);

  std::vector<ApiRoute> Routes();

private:
  using Handler = ApiResponse (FleetApi::*)(ApiRequest&);

  ApiResponse ShowVersions(ApiRequest& aRequest);
  /// Waits until all processes use the given version, or for the timeout.
  ApiResponse Wait(ApiRequest& aRequest);
  ApiResponse ShowOwner(ApiRequest& aRequest);
  ApiResponse ShowSlices(ApiRequest& aRequest);
  ApiResponse ShowMoves(ApiRequest& aRequest);
  ApiResponse ShowMeasures(ApiRequest& aRequest);
  ApiResponse ListQuarantine(ApiRequest& aRequest);
  ApiResponse ReleaseQuarantine(ApiRequest& aRequest);

  /// Tables of aService, or of all services when it is empty.
  std::vector<std::shared_ptr<const FollowedTable>> Tables(
    const std::string& aService) const;
  /// Newest configuration version known to the store, to this process or to a
  /// process of aStatuses. Reports it to the editor as well.
  int64_t NewestVersion(const std::vector<PeerStatus>& aStatuses);

  ConfigEditor& editor_;
  FleetClient& fleet_;
  const TableFollower& follower_;
  const MoveLog& moves_;
  const Clock& clock_;
  ConfigEditor::UnixClock unixClock_;
  std::string instance_;
};

}

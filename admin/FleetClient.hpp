#pragma once

#include "InstanceDirectory.hpp"
#include "SloArchive.hpp"

#include <functional>
#include <string>
#include <vector>

#include <RouterPeer.h>

namespace cactuspitch {

struct FleetClientOptions
{
  int connectTimeoutMs_ = 200;
  int callTimeoutMs_ = 500;
  std::string secret_ = {}; ///< shared by all processes
  /// Calls that run at the same time.
  size_t maxConcurrentCalls_ = 16;
};

/// Status of one router or assigner.
struct PeerStatus
{
  std::string program_;
  std::string instance_;
  std::string failureDomain_;
  std::string address_;
  wire::ProcessStatus status_;
  /// Empty when the process answered.
  std::string error_;
};

/// Answer of one router to a quarantine call.
struct QuarantineResponse
{
  std::string instance_;
  std::vector<wire::QuarantineEntry> entries_;
  std::string error_;
};

/// Asks the routers and assigners that the platform lists, by Thrift. Every
/// call is bounded, and the number of calls at the same time as well.
class FleetClient
{
public:
  FleetClient(InstanceDirectory& aDirectory,
              std::function<int64_t()> aUnixClock,
              FleetClientOptions aOptions = {});

  std::vector<PeerStatus> FetchStatuses();
  /// Asks the given processes again.
  void RefreshStatuses(std::vector<PeerStatus>& aStatuses);
  std::vector<QuarantineResponse> ListQuarantine();
  std::vector<QuarantineResponse> ReleaseQuarantine(int64_t aFingerprint);
  /// Counts of all routers that answered.
  std::vector<SloSample> FetchSloSamples(int64_t aSinceMinute);

private:
  struct RouterAddress
  {
    std::string instance_;
    std::string address_;
  };

  using QuarantineCall =
    std::function<void(wire::RouterPeerClient&,
                       std::vector<wire::QuarantineEntry>&)>;

  std::vector<RouterAddress> ListRouters();
  /// Runs the call at every router.
  std::vector<QuarantineResponse> CallRouters(const QuarantineCall& aCall);
  void ForEachConcurrently(size_t aCount,
                           const std::function<void(size_t)>& aCall) const;
  void FetchStatus(PeerStatus& aStatus) const;

  InstanceDirectory& directory_;
  std::function<int64_t()> unixClock_;
  FleetClientOptions options_;
};

}

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
  std::string secret_ = {}; ///< shared by all processes; empty: none
  /// Limit of calls in flight; each one occupies a thread.
  size_t maxConcurrentCalls_ = 16;
};

/// Status of one router or assigner.
struct PeerStatus
{
  std::string program_; ///< router or assigner
  std::string instance_;
  std::string failureDomain_;
  std::string address_;
  wire::ProcessStatus status_;
  /// Error of the last call; empty when it succeeded.
  std::string error_;
};

/// Response of one router to a quarantine call.
struct QuarantineResponse
{
  std::string instance_;
  std::vector<wire::QuarantineEntry> entries_;
  std::string error_; ///< empty when the call succeeded
};

/// Thrift client of all routers and assigners in the instance directory. Every
/// call has a timeout, and at most maxConcurrentCalls_ run at the same time.
class FleetClient
{
public:
  FleetClient(InstanceDirectory& aDirectory,
              std::function<int64_t()> aUnixClock,
              FleetClientOptions aOptions = {});

  /// Status of every router and assigner; failed calls have an error_.
  std::vector<PeerStatus> FetchStatuses();
  /// Fetches the status of the given processes again.
  void RefreshStatuses(std::vector<PeerStatus>& aStatuses);
  std::vector<QuarantineResponse> ListQuarantine();
  std::vector<QuarantineResponse> ReleaseQuarantine(int64_t aFingerprint);
  /// Request counts by minute, from aSinceMinute (minutes since the Unix epoch)
  /// on. Routers whose call failed are left out.
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
  /// Calls every router and returns one response for each.
  std::vector<QuarantineResponse> CallRouters(const QuarantineCall& aCall);
  /// Calls aCall(0) to aCall(aCount - 1) in up to maxConcurrentCalls_ threads
  /// and waits for all of them.
  void ForEachConcurrently(size_t aCount,
                           const std::function<void(size_t)>& aCall) const;
  void FetchStatus(PeerStatus& aStatus) const;

  InstanceDirectory& directory_;
  std::function<int64_t()> unixClock_;
  FleetClientOptions options_;
};

}

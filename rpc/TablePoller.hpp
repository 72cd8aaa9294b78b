#pragma once

#include "FollowedTables.hpp"
#include "ThriftChannel.hpp"
#include "common/Clock.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <AssignerPeer.h>
#include <absl/status/statusor.h>

namespace cactuspitch {

struct TableFollowerOptions;

/// Response to one GetTables call, with its sender and send time.
struct TableResponse
{
  TableSource source_;
  wire::GetTablesResponse response_;
  TimeMs sentMs_ = 0;
};

/// Fetches tables from one assigner. Used by one thread at a time.
class TableClient
{
public:
  TableClient(const Clock& aClock,
              const TableFollowerOptions& aOptions,
              std::string aAddress);

  absl::StatusOr<TableResponse> Fetch(wire::GetTablesRequest aRequest,
                                      TimeMs aWaitMs);

private:
  const Clock& clock_;
  ThriftChannel<wire::AssignerPeerClient> channel_;
  /// Empty until the process has reported its name on this connection.
  std::string instance_;
};

/// Long-polls one assigner on a thread of its own.
class TablePoller
{
public:
  struct Callbacks
  {
    std::function<wire::GetTablesRequest()> makeRequest_;
    /// Returns true when the response contained something newer.
    std::function<bool(const TableResponse&)> onResponse_;
  };

  TablePoller(const Clock& aClock,
              const TableFollowerOptions& aOptions,
              std::string aAddress,
              Callbacks aCallbacks);
  ~TablePoller();
  TablePoller(const TablePoller&) = delete;
  TablePoller& operator=(const TablePoller&) = delete;

  void RequestStop();
  /// True when the thread has finished, so that the destructor does not wait.
  bool HasEnded() const { return ended_; }
  /// True when the last call failed.
  bool IsSilent() const { return silent_; }

private:
  void Run();
  bool WaitForStop(TimeMs aTimeoutMs);

  const Clock& clock_;
  TimeMs longPollMs_;
  TableClient client_;
  Callbacks callbacks_;
  std::mutex mutex_;
  std::condition_variable stopChanged_;
  bool stopping_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<bool> silent_ = false;
  std::thread thread_;
};

}

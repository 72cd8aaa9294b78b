#pragma once

#include "common/Types.hpp"

#include <array>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Distinguishes connections to one backend server that no longer deliver
/// responses from a server that is slow (docs/design.md, section 9). Not
/// thread-safe.
class SilentConnectionDetector
{
public:
  using ConnectionId = uint64_t;

  ConnectionId Open(TimeMs aNowMs);
  void Close(ConnectionId aConnection);
  void OnSend(ConnectionId aConnection, TimeMs aNowMs);
  /// The first bytes of a response have arrived.
  void OnResponse(ConnectionId aConnection, TimeMs aNowMs);

  /// Whether the connection should be closed: it has waited for a response for
  /// at least SilenceLimitMs(), while another connection has received one.
  bool IsSilent(ConnectionId aConnection, TimeMs aNowMs) const;
  /// Idle connections opened before a silent one, to be closed with it.
  std::vector<ConnectionId> OlderIdleConnections(ConnectionId aSilent) const;
  /// Longest time to wait for a response: 4 times the 99th percentile of the
  /// latency, at least 250 ms.
  TimeMs SilenceLimitMs() const;
  size_t Connections() const { return connections_.size(); }

private:
  struct State
  {
    TimeMs openedMs_ = 0;
    TimeMs sentMs_ = 0;
    bool waiting_ = false;
  };
  struct Response
  {
    ConnectionId connection_ = 0;
    TimeMs atMs_ = -1;
  };
  static constexpr size_t kSamples = 256;

  void RecordLatency(TimeMs aLatencyMs);

  std::unordered_map<ConnectionId, State> connections_;
  ConnectionId nextId_ = 1;
  /// Latest responses on the two connections with the most recent ones.
  std::array<Response, 2> responses_;
  std::array<TimeMs, kSamples> latencies_{};
  size_t samples_ = 0;
  TimeMs p99Ms_ = 0;
};

}

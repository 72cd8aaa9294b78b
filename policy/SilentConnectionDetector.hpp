#pragma once

#include "common/Types.hpp"

#include <array>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Tells connections of one backend server that went silent from a server that
/// is slow (docs/design.md, section 9). Not thread-safe.
class SilentConnectionDetector
{
public:
  using ConnectionId = uint64_t;

  ConnectionId Open(TimeMs aNowMs);
  void Close(ConnectionId aConnection);
  void OnSend(ConnectionId aConnection, TimeMs aNowMs);
  /// First bytes of an answer arrived.
  void OnResponse(ConnectionId aConnection, TimeMs aNowMs);

  /// True when the connection should be closed: it has waited for longer than
  /// SilenceLimitMs() while another connection answered.
  bool IsSilent(ConnectionId aConnection, TimeMs aNowMs) const;
  /// Idle connections to close together with a silent one: those opened
  /// before it.
  std::vector<ConnectionId> OlderIdleConnections(ConnectionId aSilent) const;
  /// max(4 x p99, 250 ms).
  TimeMs SilenceLimitMs() const;
  size_t Connections() const { return connections_.size(); }

private:
  struct State
  {
    TimeMs openedMs_ = 0;
    TimeMs sentMs_ = 0;
    bool waiting_ = false;
  };
  struct Answer
  {
    ConnectionId connection_ = 0;
    TimeMs atMs_ = -1;
  };
  static constexpr size_t kSamples = 256;

  void RecordLatency(TimeMs aLatencyMs);

  std::unordered_map<ConnectionId, State> connections_;
  ConnectionId nextId_ = 1;
  /// Last answers of the two connections that answered most recently.
  std::array<Answer, 2> answers_;
  std::array<TimeMs, kSamples> latencies_{};
  size_t samples_ = 0;
  TimeMs p99Ms_ = 0;
};

}

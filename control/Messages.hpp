#pragma once

#include "common/EnumNames.hpp"
#include "control/GroupObject.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cactuspitch {

/// Hashes from begin_ to end_, both inclusive, held at one epoch.
struct HeldRange
{
  KeyHash begin_ = 0;
  KeyHash end_ = 0;
  Epoch epoch_ = 0;

  bool operator==(const HeldRange&) const = default;
};

/// Command to a backend server: grants and renews ranges, or only requests a
/// report (docs/design.md, section 7.2).
struct GrantCommand
{
  int64_t id_ = 0; ///< matches the reply to the command; not sent
  std::string server_;
  std::string address_;
  Term term_ = 0;
  int64_t sequence_ = 0;
  std::string incarnation_; ///< empty: only requests a report
  TimeMs validUntilMs_ = 0; ///< in the backend server's clock
  std::vector<HeldRange> add_;
  bool full_ = false;
};

/// Reply of a backend server to a command.
struct GrantReply
{
  int64_t id_ = 0;
  std::string server_;
  bool accepted_ = false;
  std::string incarnation_;
  TimeMs clockMs_ = 0;
  /// When its lease expires in its own clock, 0 when it does not report that.
  TimeMs validUntilMs_ = 0;
  Term term_ = 0;
  int64_t sequence_ = 0;
  std::vector<HeldRange> held_;
  bool draining_ = false;
};

/// Heartbeat of the assigner to its deputy. With term 0 it only probes whether
/// the receiver is alive.
struct PeerHeartbeat
{
  int64_t id_ = 0; ///< matches the reply to the heartbeat; not sent
  std::string from_;
  std::string to_;
  Term term_ = 0;
  bool storeReachable_ = true;
  /// Asks the deputy to arm. Assigner and deputy may then renew leases
  /// independently of each other while the store is unreachable.
  bool arm_ = false;
  std::vector<std::string> stopRenewing_;
};

struct PeerHeartbeatReply
{
  int64_t id_ = 0;
  bool granted_ = false;
  Term term_ = 0;
  bool armed_ = false;
  bool storeReachable_ = true;
  std::vector<std::string> stoppedRenewing_;
};

enum class WriteResult : uint8_t
{
  Written,
  Conflict,
  NotSent,
  Unknown,
  Count
};

template<>
struct EnumNames<WriteResult>
{
  static constexpr std::string_view kNames[] = { "written",
                                                 "conflict",
                                                 "not-sent",
                                                 "unknown" };
};

/// Conditional update of the group object.
struct WriteGroup
{
  int64_t expectedVersion_ = 0;
  GroupObject object_;
};

/// Read of the group object, to resolve an unknown or conflicting write.
struct ReadGroup
{};

/// An ownership change, for logs and the status page.
struct MoveRecord
{
  TimeMs atMs_ = 0;
  KeyHash begin_ = 0;
  Epoch epoch_ = 0;
  std::string from_;
  std::string to_;
  std::string reason_;
};

using Action =
  std::variant<GrantCommand, PeerHeartbeat, WriteGroup, ReadGroup, MoveRecord>;
using Actions = std::vector<Action>;

}

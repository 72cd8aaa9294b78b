#pragma once

#include "common/Types.hpp"

namespace cactuspitch {

/// Durations of the ownership protocol (docs/design.md, section 4).
namespace timing {
/// Lease of a backend server, counted from the server clock in its last reply.
inline constexpr TimeMs kLeaseMs = 1600;
/// The clock value is one interval old when it is used, and the lease is
/// renewed one interval later. When an assigner is lost, kLeaseMs - 2 *
/// kRenewIntervalMs are therefore left. The deputy needs 606 ms and a round
/// trip to take over. An interval of 300 ms, at a shorter lease, left only
/// 600 ms and caused gaps in ownership.
inline constexpr TimeMs kRenewIntervalMs = 400;
/// A peer or backend server counts as unresponsive this long after its last
/// reply.
inline constexpr TimeMs kSilenceTimeoutMs = 600;
/// The assigner's authority to renew, counted from the send time of a heartbeat
/// that the deputy granted.
inline constexpr TimeMs kAuthorityMs = 600;
inline constexpr TimeMs kViewLeaseMs = 1000;
inline constexpr TimeMs kHeartbeatIntervalMs = 150;
/// A candidate takes over when assigner and deputy have been silent this long.
inline constexpr TimeMs kCandidateTakeoverMs = 2000;
/// Delay between candidates, so that the highest ranked one acts first.
inline constexpr TimeMs kCandidateDelayMs = 400;
/// A reply that takes longer is no longer waited for; the command is sent
/// again.
inline constexpr TimeMs kCommandTimeoutMs = 250;
/// Interval of report requests while a new assigner learns which server holds
/// which slice.
inline constexpr TimeMs kReportIntervalMs = 50;
/// Longest wait for reports before a server is renewed without its unresolved
/// slices. Its old lease expires soon after.
inline constexpr TimeMs kResolveGraceMs = 400;
/// A new group is created once the list of its servers has been stable this
/// long.
inline constexpr TimeMs kServerListSettleMs = 700;
inline constexpr TimeMs kNever = INT64_MAX / 4;
}

/// Upper bound of the local duration while another clock counts aMs, rounded
/// up. The rates of two clocks differ by at most 1%.
constexpr TimeMs AddClockDrift(TimeMs aMs)
{
  constexpr TimeMs kRatePercent = 101;
  constexpr TimeMs kPercent = 100;
  return (aMs * kRatePercent + kPercent - 1) / kPercent + 1;
}

}

#pragma once

#include "common/Types.hpp"

namespace cactuspitch {

/// Durations of the ownership protocol (docs/design.md, section 4).
namespace timing {
/// Lease of a backend server, counted from the stamp of its answer.
inline constexpr TimeMs kLeaseMs = 1600;
/// A stamp is one interval old when it is used and the lease is renewed one
/// interval later, so at the loss of an assigner L - 2 x 200 ms are left. The
/// deputy needs 606 ms and a round trip; 300 ms left 600 and caused gaps.
inline constexpr TimeMs kRenewIntervalMs = 400;
/// A peer or backend server is silent this long after its last answer.
inline constexpr TimeMs kSilenceTimeoutMs = 600;
/// Right to renew, counted from the send time of an answered question.
inline constexpr TimeMs kAuthorityMs = 600;
inline constexpr TimeMs kViewLeaseMs = 1000;
inline constexpr TimeMs kHeartbeatIntervalMs = 150;
/// A third instance acts when assigner and deputy were silent this long.
inline constexpr TimeMs kCandidateTakeoverMs = 2000;
/// Delay between candidates, so that the highest ranked one acts first.
inline constexpr TimeMs kCandidateDelayMs = 400;
/// An answer that takes longer is not waited for; the order is sent again.
inline constexpr TimeMs kCommandTimeoutMs = 250;
/// Reports are repeated this often while a new assigner learns who owns what.
inline constexpr TimeMs kReportIntervalMs = 50;
/// Longest wait for reports before a server is renewed without the slices
/// that are still unresolved; its old lease ends soon after.
inline constexpr TimeMs kResolveGraceMs = 400;
/// A new group is created when the list of its servers was stable this long.
inline constexpr TimeMs kServerListSettleMs = 700;
inline constexpr TimeMs kNever = INT64_MAX / 4;
}

/// Longest local duration while another clock counts aMs; the rates of two
/// clocks differ by 1% at most. Rounded up.
constexpr TimeMs AddClockDrift(TimeMs aMs)
{
  constexpr TimeMs kRatePercent = 101;
  constexpr TimeMs kPercent = 100;
  return (aMs * kRatePercent + kPercent - 1) / kPercent + 1;
}

}

#pragma once

#include "EnumNames.hpp"

#include <cstdint>
#include <string>

namespace cactuspitch {

/// Position in the 64-bit hash space of a service.
using KeyHash = uint64_t;
/// Ownership generation of a slice; increases monotonically.
using Epoch = int64_t;
/// Generation of a group's leading assigner; increases monotonically.
using Term = int64_t;
/// Milliseconds of a monotonic clock; not comparable across processes.
using TimeMs = int64_t;

/// What a response tells the caller about the execution of its request.
enum class Outcome : uint8_t
{
  Complete,
  NotRun,
  Unknown,
  Count
};

template<>
struct EnumNames<Outcome>
{
  static constexpr std::string_view kNames[] = { "complete",
                                                 "not-run",
                                                 "unknown" };
};

/// Why a request was refused without being executed.
enum class NotRunReason : uint8_t
{
  StaleEpoch,
  NotOwner,
  LeaseExpired,
  Draining,
  Busy,
  Deadline,
  NoOwner,
  Unreachable,
  Overload,
  RetryBudget,
  Quarantined,
  Ledger,
  ViewLease,
  Stopping,
  Count
};

template<>
struct EnumNames<NotRunReason>
{
  static constexpr std::string_view kNames[] = {
    "stale-epoch", "not-owner", "lease-expired", "draining", "busy",
    "deadline",    "no-owner",  "unreachable",   "overload", "retry-budget",
    "quarantined", "ledger",    "view-lease",    "stopping",
  };
};

/// Headers of the caller and backend server protocols (docs/design.md).
namespace header {
inline constexpr const char kOutcome[] = "X-Outcome";
inline constexpr const char kNotRun[] = "X-Not-Run";
inline constexpr const char kRetryAfterMs[] = "X-Retry-After-Ms";
inline constexpr const char kRequestId[] = "X-Request-Id";
inline constexpr const char kDeadlineMs[] = "X-Deadline-Ms";
inline constexpr const char kDeadlineClockMs[] = "X-Deadline-Clock-Ms";
inline constexpr const char kSliceEpoch[] = "X-Slice-Epoch";
inline constexpr const char kClockMs[] = "X-Clock-Ms";
inline constexpr const char kIncarnation[] = "X-Incarnation";
}

}

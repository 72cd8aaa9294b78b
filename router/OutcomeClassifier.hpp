#pragma once

#include "common/EnumNames.hpp"
#include "common/HttpConnection.hpp"
#include "common/Types.hpp"

#include <cstdint>

#include <absl/status/status.h>

namespace cactuspitch {

/// Outcome of one attempt to execute a request at a backend server
/// (docs/design.md, section 6).
enum class ExchangeOutcome : uint8_t
{
  Complete,           ///< the whole response was received
  NoConnection,       ///< nothing was sent
  Refused,            ///< the server reported that it did not execute it
  PartiallyWritten,   ///< the request was not sent completely
  NoResponse,         ///< sent; the server closed without a response
  PartialResponse,    ///< truncated response; nothing sent to the caller
  PartialAfterHead,   ///< truncated response; its head was sent on
  TimedOut,           ///< sent; no complete response before the deadline
  CallerDisconnected, ///< a write to the caller failed
  Count
};

template<>
struct EnumNames<ExchangeOutcome>
{
  static constexpr std::string_view kNames[] = {
    "complete",           "no-connection", "refused",
    "partly-written",     "no-answer",     "partial-answer",
    "partial-after-head", "silent",        "caller-gone",
  };
};

/// Reaction of the router to the outcome of an attempt.
enum class AttemptAction : uint8_t
{
  Respond, ///< forward the complete response to the caller
  Retry,
  RespondNotRun,
  RespondUnknown,
  CloseCaller, ///< close, so that the caller sees a truncated response
  Count
};

template<>
struct EnumNames<AttemptAction>
{
  static constexpr std::string_view kNames[] = {
    "answer", "retry", "answer-not-run", "answer-unknown", "close-caller",
  };
};

/// Decides when a request is retried (docs/design.md, section 6). Stateless: it
/// uses neither sockets nor clocks.
class OutcomeClassifier
{
public:
  /// Classifies an attempt that failed with aStatus at aStage. aHeadSent: the
  /// response head was already sent to the caller.
  static ExchangeOutcome ClassifyFailure(ExchangeStage aStage,
                                         absl::StatusCode aStatus,
                                         bool aHeadSent);

  /// aCanRetry: deadline, attempt limit and retry budget allow a retry.
  static AttemptAction Decide(ExchangeOutcome aOutcome,
                              bool aIdempotent,
                              bool aCanRetry);

  /// True when the request may succeed later or with a newer table.
  static bool IsOwnershipRefusal(NotRunReason aReason);

  /// True when the request cannot have been executed.
  static bool IsCertainlyNotRun(ExchangeOutcome aOutcome);
};

}

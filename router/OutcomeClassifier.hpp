#pragma once

#include "common/EnumNames.hpp"
#include "common/HttpConnection.hpp"
#include "common/Types.hpp"

#include <cstdint>

#include <absl/status/status.h>

namespace cactuspitch {

/// How one attempt at a backend server ended (docs/design.md, section 6).
enum class ExchangeOutcome : uint8_t
{
  Complete,           ///< the whole answer was received
  NoConnection,       ///< nothing was written
  Refused,            ///< the server says that it did not run the request
  PartiallyWritten,   ///< the server cannot have the whole request
  NoResponse,         ///< written, then closed without an answer
  PartialResponse,    ///< part of the answer, nothing sent to the caller yet
  PartialAfterHead,   ///< part of the answer, its head sent to the caller
  TimedOut,           ///< written, no complete answer by the time limit
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

/// What the router does after an attempt.
enum class AttemptAction : uint8_t
{
  Respond, ///< hand the complete answer to the caller
  Retry,
  RespondNotRun,
  RespondUnknown,
  CloseCaller, ///< end the connection so that the answer looks truncated
  Count
};

template<>
struct EnumNames<AttemptAction>
{
  static constexpr std::string_view kNames[] = {
    "answer", "retry", "answer-not-run", "answer-unknown", "close-caller",
  };
};

/// The rules of section 6 as a table, free of sockets and clocks.
class OutcomeClassifier
{
public:
  /// Classifies an attempt that failed with aStatus at aStage.
  static ExchangeOutcome ClassifyFailure(ExchangeStage aStage,
                                         absl::StatusCode aStatus,
                                         bool aHeadSent);

  /// aCanRetry: time, attempts and retry budget are left.
  static AttemptAction Decide(ExchangeOutcome aOutcome,
                              bool aIdempotent,
                              bool aCanRetry);

  /// True when another table or a moment later the request can run.
  static bool IsOwnershipRefusal(NotRunReason aReason);

  /// True when the request cannot have run.
  static bool IsCertainlyNotRun(ExchangeOutcome aOutcome);
};

}

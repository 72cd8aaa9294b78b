#include "OutcomeClassifier.hpp"

#include <array>

namespace cactuspitch {

namespace detail {

/// Action when no retry is possible, and when one is.
struct Rule
{
  AttemptAction final_;
  AttemptAction retryable_;
};

struct RulePair
{
  Rule idempotent_;
  Rule nonIdempotent_;
};

constexpr Rule kRespond{ AttemptAction::Respond, AttemptAction::Respond };
constexpr Rule kNotRun{ AttemptAction::RespondNotRun,
                        AttemptAction::RespondNotRun };
constexpr Rule kUnknown{ AttemptAction::RespondUnknown,
                         AttemptAction::RespondUnknown };
constexpr Rule kClose{ AttemptAction::CloseCaller, AttemptAction::CloseCaller };
constexpr Rule kRetryOrNotRun{ AttemptAction::RespondNotRun,
                               AttemptAction::Retry };
constexpr Rule kRetryOrUnknown{ AttemptAction::RespondUnknown,
                                AttemptAction::Retry };

constexpr std::array<RulePair, static_cast<size_t>(ExchangeOutcome::Count)>
  kRules = {
    RulePair{ kRespond, kRespond },             // Complete
    RulePair{ kRetryOrNotRun, kRetryOrNotRun }, // NoConnection
    RulePair{ kRetryOrNotRun, kRetryOrNotRun }, // Refused
    RulePair{ kRetryOrNotRun, kNotRun },        // PartiallyWritten
    RulePair{ kRetryOrUnknown, kUnknown },      // NoResponse
    RulePair{ kRetryOrUnknown, kUnknown },      // PartialResponse
    RulePair{ kClose, kClose },                 // PartialAfterHead
    RulePair{ kRetryOrUnknown, kUnknown },      // TimedOut
    RulePair{ kClose, kClose },                 // CallerDisconnected
  };

}

ExchangeOutcome OutcomeClassifier::ClassifyFailure(ExchangeStage aStage,
                                                   absl::StatusCode aStatus,
                                                   bool aHeadSent)
{
  if (aHeadSent) {
    return ExchangeOutcome::PartialAfterHead;
  }
  switch (aStage) {
    case ExchangeStage::Idle:
    case ExchangeStage::Connecting:
      return ExchangeOutcome::NoConnection;
    case ExchangeStage::Writing:
      return ExchangeOutcome::PartiallyWritten;
    case ExchangeStage::AwaitingHead:
      return aStatus == absl::StatusCode::kDeadlineExceeded
               ? ExchangeOutcome::TimedOut
               : ExchangeOutcome::NoResponse;
    case ExchangeStage::ReadingBody:
      return aStatus == absl::StatusCode::kDeadlineExceeded
               ? ExchangeOutcome::TimedOut
               : ExchangeOutcome::PartialResponse;
    case ExchangeStage::Done:
    case ExchangeStage::Count:
      break;
  }
  return ExchangeOutcome::PartialResponse;
}

AttemptAction OutcomeClassifier::Decide(ExchangeOutcome aOutcome,
                                        bool aIdempotent,
                                        bool aCanRetry)
{
  const auto& pair = detail::kRules[static_cast<size_t>(aOutcome)];
  const auto& rule = aIdempotent ? pair.idempotent_ : pair.nonIdempotent_;
  return aCanRetry ? rule.retryable_ : rule.final_;
}

bool OutcomeClassifier::IsOwnershipRefusal(NotRunReason aReason)
{
  return aReason == NotRunReason::StaleEpoch ||
         aReason == NotRunReason::NotOwner ||
         aReason == NotRunReason::LeaseExpired ||
         aReason == NotRunReason::Draining;
}

bool OutcomeClassifier::IsCertainlyNotRun(ExchangeOutcome aOutcome)
{
  return aOutcome == ExchangeOutcome::NoConnection ||
         aOutcome == ExchangeOutcome::Refused ||
         aOutcome == ExchangeOutcome::PartiallyWritten;
}

}

#include "OutcomeClassifier.hpp"

#include <array>

namespace cactuspitch {

namespace detail {

/// Action without and with a possible retry.
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

constexpr Rule kAnswer{ AttemptAction::Answer, AttemptAction::Answer };
constexpr Rule kNotRun{ AttemptAction::AnswerNotRun,
                        AttemptAction::AnswerNotRun };
constexpr Rule kUnknown{ AttemptAction::AnswerUnknown,
                         AttemptAction::AnswerUnknown };
constexpr Rule kClose{ AttemptAction::CloseCaller, AttemptAction::CloseCaller };
constexpr Rule kRetryOrNotRun{ AttemptAction::AnswerNotRun,
                               AttemptAction::Retry };
constexpr Rule kRetryOrUnknown{ AttemptAction::AnswerUnknown,
                                AttemptAction::Retry };

constexpr std::array<RulePair, static_cast<size_t>(ExchangeEnd::Count)>
  kRules = {
    RulePair{ kAnswer, kAnswer },               // Complete
    RulePair{ kRetryOrNotRun, kRetryOrNotRun }, // NoConnection
    RulePair{ kRetryOrNotRun, kRetryOrNotRun }, // Refused
    RulePair{ kRetryOrNotRun, kNotRun },        // PartlyWritten
    RulePair{ kRetryOrUnknown, kUnknown },      // NoAnswer
    RulePair{ kRetryOrUnknown, kUnknown },      // PartialAnswer
    RulePair{ kClose, kClose },                 // PartialAfterHead
    RulePair{ kRetryOrUnknown, kUnknown },      // Silent
    RulePair{ kClose, kClose },                 // CallerGone
  };

}

ExchangeEnd OutcomeClassifier::FailureEnd(ExchangeStage aStage,
                                          absl::StatusCode aStatus,
                                          bool aHeadSent)
{
  if (aHeadSent) {
    return ExchangeEnd::PartialAfterHead;
  }
  switch (aStage) {
    case ExchangeStage::Idle:
    case ExchangeStage::Connecting:
      return ExchangeEnd::NoConnection;
    case ExchangeStage::Writing:
      return ExchangeEnd::PartlyWritten;
    case ExchangeStage::AwaitingHead:
      return aStatus == absl::StatusCode::kDeadlineExceeded
               ? ExchangeEnd::Silent
               : ExchangeEnd::NoAnswer;
    case ExchangeStage::ReadingBody:
      return aStatus == absl::StatusCode::kDeadlineExceeded
               ? ExchangeEnd::Silent
               : ExchangeEnd::PartialAnswer;
    case ExchangeStage::Done:
    case ExchangeStage::Count:
      break;
  }
  return ExchangeEnd::PartialAnswer;
}

AttemptAction OutcomeClassifier::Decide(ExchangeEnd aEnd,
                                        bool aIdempotent,
                                        bool aCanRetry)
{
  const auto& pair = detail::kRules[static_cast<size_t>(aEnd)];
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

bool OutcomeClassifier::IsCertainlyNotRun(ExchangeEnd aEnd)
{
  return aEnd == ExchangeEnd::NoConnection || aEnd == ExchangeEnd::Refused ||
         aEnd == ExchangeEnd::PartlyWritten;
}

}

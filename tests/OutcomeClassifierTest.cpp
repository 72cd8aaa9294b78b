#include "router/OutcomeClassifier.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

using Action = AttemptAction;
using End = ExchangeOutcome;

struct Row
{
  End outcome_;
  Action idempotentRetryable_;
  Action idempotentFinal_;
  Action nonIdempotentRetryable_;
  Action nonIdempotentFinal_;
};

/// The table of docs/design.md, section 6, independent of the implementation.
constexpr Row kRows[] = {
  { End::Complete,
    Action::Respond,
    Action::Respond,
    Action::Respond,
    Action::Respond },
  { End::NoConnection,
    Action::Retry,
    Action::RespondNotRun,
    Action::Retry,
    Action::RespondNotRun },
  { End::Refused,
    Action::Retry,
    Action::RespondNotRun,
    Action::Retry,
    Action::RespondNotRun },
  { End::PartiallyWritten,
    Action::Retry,
    Action::RespondNotRun,
    Action::RespondNotRun,
    Action::RespondNotRun },
  { End::NoResponse,
    Action::Retry,
    Action::RespondUnknown,
    Action::RespondUnknown,
    Action::RespondUnknown },
  { End::PartialResponse,
    Action::Retry,
    Action::RespondUnknown,
    Action::RespondUnknown,
    Action::RespondUnknown },
  { End::PartialAfterHead,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller },
  { End::TimedOut,
    Action::Retry,
    Action::RespondUnknown,
    Action::RespondUnknown,
    Action::RespondUnknown },
  { End::CallerDisconnected,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller },
};
static_assert(std::size(kRows) == static_cast<size_t>(End::Count));

// Guards against a rule that differs from the documented table, for every
// outcome and kind of request.
TEST(OutcomeClassifier, MatchesDocumentedTable)
{
  for (const auto& row : kRows) {
    const auto decide = [&](bool aIdempotent, bool aCanRetry) {
      return OutcomeClassifier::Decide(row.outcome_, aIdempotent, aCanRetry);
    };
    EXPECT_EQ(decide(true, true), row.idempotentRetryable_)
      << EnumName(row.outcome_);
    EXPECT_EQ(decide(true, false), row.idempotentFinal_)
      << EnumName(row.outcome_);
    EXPECT_EQ(decide(false, true), row.nonIdempotentRetryable_)
      << EnumName(row.outcome_);
    EXPECT_EQ(decide(false, false), row.nonIdempotentFinal_)
      << EnumName(row.outcome_);
  }
}

// Guards against classifying a failure as safer to retry than its stage allows.
TEST(OutcomeClassifier, StageDeterminesOutcome)
{
  const auto closed = absl::StatusCode::kUnknown;
  const auto late = absl::StatusCode::kDeadlineExceeded;
  const auto end = [](ExchangeStage aStage, absl::StatusCode aStatus) {
    return OutcomeClassifier::ClassifyFailure(aStage, aStatus, false);
  };
  EXPECT_EQ(end(ExchangeStage::Connecting, late), End::NoConnection);
  EXPECT_EQ(end(ExchangeStage::Writing, closed), End::PartiallyWritten);
  EXPECT_EQ(end(ExchangeStage::Writing, late), End::PartiallyWritten);
  EXPECT_EQ(end(ExchangeStage::AwaitingHead, closed), End::NoResponse);
  EXPECT_EQ(end(ExchangeStage::AwaitingHead, late), End::TimedOut);
  EXPECT_EQ(end(ExchangeStage::ReadingBody, closed), End::PartialResponse);
  EXPECT_EQ(end(ExchangeStage::ReadingBody, late), End::TimedOut);
}

// Guards against executing a non-idempotent request twice: a request that may
// have been executed is neither retried nor reported as not executed.
RC_GTEST_PROP(OutcomeClassifier, NonIdempotentIsNeverSentTwice, ())
{
  const auto stage = static_cast<ExchangeStage>(
    *rc::gen::inRange(0, static_cast<int>(ExchangeStage::Count)));
  const auto status = static_cast<absl::StatusCode>(*rc::gen::inRange(1, 17));
  const bool headSent = *rc::gen::arbitrary<bool>();
  const auto end = OutcomeClassifier::ClassifyFailure(stage, status, headSent);
  const auto action =
    OutcomeClassifier::Decide(end, false, *rc::gen::arbitrary<bool>());
  const bool mayHaveRun = stage >= ExchangeStage::AwaitingHead;
  if (mayHaveRun) {
    RC_ASSERT(action != Action::Retry);
    RC_ASSERT(action != Action::RespondNotRun);
    RC_ASSERT(!OutcomeClassifier::IsCertainlyNotRun(end));
  }
  RC_ASSERT(action != Action::Respond);
}

}
}

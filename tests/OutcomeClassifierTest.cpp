#include "router/OutcomeClassifier.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

using Action = AttemptAction;
using End = ExchangeEnd;

struct Row
{
  End end_;
  Action idempotentRetryable_;
  Action idempotentFinal_;
  Action otherRetryable_;
  Action otherFinal_;
};

/// The table of docs/design.md, section 6, written out a second time.
constexpr Row kRows[] = {
  { End::Complete,
    Action::Answer,
    Action::Answer,
    Action::Answer,
    Action::Answer },
  { End::NoConnection,
    Action::Retry,
    Action::AnswerNotRun,
    Action::Retry,
    Action::AnswerNotRun },
  { End::Refused,
    Action::Retry,
    Action::AnswerNotRun,
    Action::Retry,
    Action::AnswerNotRun },
  { End::PartlyWritten,
    Action::Retry,
    Action::AnswerNotRun,
    Action::AnswerNotRun,
    Action::AnswerNotRun },
  { End::NoAnswer,
    Action::Retry,
    Action::AnswerUnknown,
    Action::AnswerUnknown,
    Action::AnswerUnknown },
  { End::PartialAnswer,
    Action::Retry,
    Action::AnswerUnknown,
    Action::AnswerUnknown,
    Action::AnswerUnknown },
  { End::PartialAfterHead,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller },
  { End::Silent,
    Action::Retry,
    Action::AnswerUnknown,
    Action::AnswerUnknown,
    Action::AnswerUnknown },
  { End::CallerGone,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller,
    Action::CloseCaller },
};
static_assert(std::size(kRows) == static_cast<size_t>(End::Count));

// Guards against a rule that differs from the documented table, for every
// failure and kind of request.
TEST(OutcomeClassifier, EveryRowOfTheTable)
{
  for (const auto& row : kRows) {
    const auto decide = [&](bool aIdempotent, bool aCanRetry) {
      return OutcomeClassifier::Decide(row.end_, aIdempotent, aCanRetry);
    };
    EXPECT_EQ(decide(true, true), row.idempotentRetryable_)
      << EnumName(row.end_);
    EXPECT_EQ(decide(true, false), row.idempotentFinal_) << EnumName(row.end_);
    EXPECT_EQ(decide(false, true), row.otherRetryable_) << EnumName(row.end_);
    EXPECT_EQ(decide(false, false), row.otherFinal_) << EnumName(row.end_);
  }
}

// Guards against a failure at some stage that is taken for a safer one.
TEST(OutcomeClassifier, StageDecidesTheFailure)
{
  const auto closed = absl::StatusCode::kUnknown;
  const auto late = absl::StatusCode::kDeadlineExceeded;
  const auto end = [](ExchangeStage aStage, absl::StatusCode aStatus) {
    return OutcomeClassifier::FailureEnd(aStage, aStatus, false);
  };
  EXPECT_EQ(end(ExchangeStage::Connecting, late), End::NoConnection);
  EXPECT_EQ(end(ExchangeStage::Writing, closed), End::PartlyWritten);
  EXPECT_EQ(end(ExchangeStage::Writing, late), End::PartlyWritten);
  EXPECT_EQ(end(ExchangeStage::AwaitingHead, closed), End::NoAnswer);
  EXPECT_EQ(end(ExchangeStage::AwaitingHead, late), End::Silent);
  EXPECT_EQ(end(ExchangeStage::ReadingBody, closed), End::PartialAnswer);
  EXPECT_EQ(end(ExchangeStage::ReadingBody, late), End::Silent);
}

// Guards against a second run of a non-idempotent request: nothing that may
// have run is retried, and nothing that may have run is reported as not run.
RC_GTEST_PROP(OutcomeClassifier, NonIdempotentIsNeverSentTwice, ())
{
  const auto stage = static_cast<ExchangeStage>(
    *rc::gen::inRange(0, static_cast<int>(ExchangeStage::Count)));
  const auto status = static_cast<absl::StatusCode>(*rc::gen::inRange(1, 17));
  const bool headSent = *rc::gen::arbitrary<bool>();
  const auto end = OutcomeClassifier::FailureEnd(stage, status, headSent);
  const auto action =
    OutcomeClassifier::Decide(end, false, *rc::gen::arbitrary<bool>());
  const bool mayHaveRun = stage >= ExchangeStage::AwaitingHead;
  if (mayHaveRun) {
    RC_ASSERT(action != Action::Retry);
    RC_ASSERT(action != Action::AnswerNotRun);
    RC_ASSERT(!OutcomeClassifier::IsCertainlyNotRun(end));
  }
  RC_ASSERT(action != Action::Answer);
}

}
}

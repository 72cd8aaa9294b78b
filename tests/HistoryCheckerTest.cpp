#include "HistoryChecker.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

bool HasViolation(const History& aHistory, const std::string& aRule)
{
  const auto violations = HistoryChecker(aHistory).Check();
  return std::ranges::any_of(violations, [&](const Violation& aViolation) {
    return aViolation.rule_ == aRule;
  });
}

History ValidHistory()
{
  History history;
  history.owners_ = { { "a", "1", 7, 1, 0, 100 },
                      { "b", "1", 7, 2, 100, 200 } };
  history.assignments_ = { { 7, 1, "a", 0 }, { 7, 2, "b", 120 } };
  history.configs_ = { { "r1", 1, 0 }, { "r1", 2, 5 }, { "r2", 1, 9 } };
  history.executions_ = { { "x", "a", false },
                          { "g", "a", true },
                          { "g", "b", true } };
  history.responses_ = { { "x", Outcome::Complete, "x" },
                         { "g", Outcome::Complete, "g" },
                         { "n", Outcome::NotRun, "" } };
  return history;
}

// Guards against violations reported for a valid history.
TEST(HistoryChecker, ValidHistoryPasses)
{
  EXPECT_EQ(ToText(HistoryChecker(ValidHistory()).Check()), "");
}

// Each test below breaks one rule and guards against a checker that misses the
// violation.
TEST(HistoryChecker, TwoOwnersAreReported)
{
  auto history = ValidHistory();
  history.owners_[1].startMs_ = 99;
  EXPECT_TRUE(HasViolation(history, "single owner"));
}

TEST(HistoryChecker, OverlapWithAnEarlierLongIntervalIsReported)
{
  auto history = ValidHistory();
  history.owners_ = { { "a", "1", 7, 1, 0, 500 },
                      { "a", "1", 7, 1, 50, 60 },
                      { "b", "1", 7, 2, 100, 200 } };
  EXPECT_TRUE(HasViolation(history, "single owner"));
}

TEST(HistoryChecker, RestartedOwnerIsAnotherOwner)
{
  auto history = ValidHistory();
  history.owners_[1] = { "a", "2", 7, 1, 50, 200 };
  EXPECT_TRUE(HasViolation(history, "single owner"));
}

TEST(HistoryChecker, LowerEpochIsReported)
{
  auto history = ValidHistory();
  history.owners_[1].epoch_ = 0;
  EXPECT_TRUE(HasViolation(history, "epochs never decrease"));
}

TEST(HistoryChecker, SharedEpochIsReported)
{
  auto history = ValidHistory();
  history.owners_[1].epoch_ = 1;
  EXPECT_TRUE(HasViolation(history, "one server per epoch"));
}

TEST(HistoryChecker, RevertedAssignmentIsReported)
{
  auto history = ValidHistory();
  history.assignments_.push_back({ 7, 2, "c", 300 });
  EXPECT_TRUE(HasViolation(history, "assignments never revert"));
}

TEST(HistoryChecker, OwnerOfASupersededEpochIsReported)
{
  auto history = ValidHistory();
  history.owners_.push_back({ "a", "1", 7, 1, 300, 400 });
  EXPECT_TRUE(HasViolation(history, "assignments never revert"));
}

TEST(HistoryChecker, RevertedConfigurationIsReported)
{
  auto history = ValidHistory();
  history.configs_.push_back({ "r1", 1, 20 });
  EXPECT_TRUE(HasViolation(history, "configuration never reverts"));
}

TEST(HistoryChecker, SecondExecutionIsReported)
{
  auto history = ValidHistory();
  history.executions_.push_back({ "x", "b", false });
  EXPECT_TRUE(HasViolation(history, "non-idempotent at most once"));
}

TEST(HistoryChecker, ResponseToAnotherRequestIsReported)
{
  auto history = ValidHistory();
  history.responses_[0].bodyRequestId_ = "g";
  EXPECT_TRUE(HasViolation(history, "response belongs to its request"));
}

TEST(HistoryChecker, SecondResponseIsReported)
{
  auto history = ValidHistory();
  history.responses_.push_back({ "n", Outcome::NotRun, "" });
  EXPECT_TRUE(HasViolation(history, "one response per request"));
}

TEST(HistoryChecker, FalseNotRunIsReported)
{
  auto history = ValidHistory();
  history.responses_[0].outcome_ = Outcome::NotRun;
  EXPECT_TRUE(HasViolation(history, "not-run implies not executed"));
}

TEST(HistoryChecker, CompleteWithoutExecutionIsReported)
{
  auto history = ValidHistory();
  history.executions_.erase(history.executions_.begin());
  EXPECT_TRUE(HasViolation(history, "complete implies executed"));
}

}
}

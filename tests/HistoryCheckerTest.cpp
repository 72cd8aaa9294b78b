#include "HistoryChecker.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

bool Reports(const History& aHistory, const std::string& aRule)
{
  const auto violations = HistoryChecker(aHistory).Check();
  return std::ranges::any_of(violations, [&](const Violation& aViolation) {
    return aViolation.rule_ == aRule;
  });
}

History Sound()
{
  History history;
  history.owners_ = { { "a", "1", 7, 1, 0, 100 },
                      { "b", "1", 7, 2, 100, 200 } };
  history.assignments_ = { { 7, 1, "a", 0 }, { 7, 2, "b", 120 } };
  history.configs_ = { { "r1", 1, 0 }, { "r1", 2, 5 }, { "r2", 1, 9 } };
  history.runs_ = { { "x", "a", false },
                    { "g", "a", true },
                    { "g", "b", true } };
  history.answers_ = { { "x", Outcome::Complete, "x" },
                       { "g", Outcome::Complete, "g" },
                       { "n", Outcome::NotRun, "" } };
  return history;
}

// Guards against a checker that reports sound histories.
TEST(HistoryChecker, SoundHistoryPasses)
{
  EXPECT_EQ(ToText(HistoryChecker(Sound()).Check()), "");
}

// Each of the following guards against a checker that misses its rule.
TEST(HistoryChecker, TwoOwnersAreReported)
{
  auto history = Sound();
  history.owners_[1].startMs_ = 99;
  EXPECT_TRUE(Reports(history, "single owner"));
}

TEST(HistoryChecker, OverlapWithAnEarlierLongIntervalIsReported)
{
  auto history = Sound();
  history.owners_ = { { "a", "1", 7, 1, 0, 500 },
                      { "a", "1", 7, 1, 50, 60 },
                      { "b", "1", 7, 2, 100, 200 } };
  EXPECT_TRUE(Reports(history, "single owner"));
}

TEST(HistoryChecker, RestartedOwnerIsAnotherOwner)
{
  auto history = Sound();
  history.owners_[1] = { "a", "2", 7, 1, 50, 200 };
  EXPECT_TRUE(Reports(history, "single owner"));
}

TEST(HistoryChecker, LowerEpochIsReported)
{
  auto history = Sound();
  history.owners_[1].epoch_ = 0;
  EXPECT_TRUE(Reports(history, "epochs grow"));
}

TEST(HistoryChecker, SharedEpochIsReported)
{
  auto history = Sound();
  history.owners_[1].epoch_ = 1;
  EXPECT_TRUE(Reports(history, "one server an epoch"));
}

TEST(HistoryChecker, RevertedAssignmentIsReported)
{
  auto history = Sound();
  history.assignments_.push_back({ 7, 2, "c", 300 });
  EXPECT_TRUE(Reports(history, "assignments survive"));
}

TEST(HistoryChecker, OwnerOfASupersededEpochIsReported)
{
  auto history = Sound();
  history.owners_.push_back({ "a", "1", 7, 1, 300, 400 });
  EXPECT_TRUE(Reports(history, "assignments survive"));
}

TEST(HistoryChecker, RevertedConfigurationIsReported)
{
  auto history = Sound();
  history.configs_.push_back({ "r1", 1, 20 });
  EXPECT_TRUE(Reports(history, "configuration never reverts"));
}

TEST(HistoryChecker, SecondRunIsReported)
{
  auto history = Sound();
  history.runs_.push_back({ "x", "b", false });
  EXPECT_TRUE(Reports(history, "non-idempotent at most once"));
}

TEST(HistoryChecker, ForeignAnswerIsReported)
{
  auto history = Sound();
  history.answers_[0].bodyRequestId_ = "g";
  EXPECT_TRUE(Reports(history, "answer belongs to its request"));
}

TEST(HistoryChecker, SecondAnswerIsReported)
{
  auto history = Sound();
  history.answers_.push_back({ "n", Outcome::NotRun, "" });
  EXPECT_TRUE(Reports(history, "one answer a request"));
}

TEST(HistoryChecker, FalseNotRunIsReported)
{
  auto history = Sound();
  history.answers_[0].outcome_ = Outcome::NotRun;
  EXPECT_TRUE(Reports(history, "not run is true"));
}

TEST(HistoryChecker, CompleteAnswerWithoutRunIsReported)
{
  auto history = Sound();
  history.runs_.erase(history.runs_.begin());
  EXPECT_TRUE(Reports(history, "complete means run"));
}

}
}

#include "FaultyStore.hpp"
#include "admin/SloPage.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr int64_t kMsPerMinute = 60000;
/// An arbitrary minute that begins an hour and a day.
constexpr int64_t kFirstMinute = kMinutesPerDay * 20000;
constexpr TimeMs kSaveTimeoutMs = 5000;

SloKey Key(std::string aCause)
{
  return { "registry-query", std::move(aCause), "s1", "giza-a" };
}

SloSample Sample(std::string aInstance,
                 int64_t aStartMs,
                 const std::map<int64_t, int64_t>& aMinutes)
{
  SloSample sample{ std::move(aInstance), aStartMs, {} };
  for (const auto& [minute, requests] : aMinutes) {
    sample.minutes_[minute][Key("overload")] = requests;
  }
  return sample;
}

class SloArchiveTest : public testing::Test
{
protected:
  absl::Status Save(SloArchive& aArchive,
                    const std::vector<SloSample>& aSamples,
                    int64_t aMinute)
  {
    return aArchive.Save(
      aSamples, aMinute * kMsPerMinute, clock_.NowMs() + kSaveTimeoutMs);
  }

  int64_t Count(int64_t aMinute)
  {
    SloArchive reader(store_, clock_);
    const auto history = reader.Load((aMinute + 1) * kMsPerMinute);
    return history.ok() ? history->minutes_.at(aMinute).at(Key("overload"))
                        : -1;
  }

  SteadyClock clock_;
  FaultyStore store_;
};

// Guards against counts that are lost or counted twice when two admin processes
// save different states of the same routers, and the store is unavailable at
// times, loses responses and delays writes.
RC_GTEST_FIXTURE_PROP(SloArchiveTest, ConcurrentWritersCountEachRequestOnce, ())
{
  store_.SetFaults(
    { .unavailable_ = 5, .lostResponse_ = 20, .delayedWrite_ = 20 });
  SloArchive left(store_, clock_);
  SloArchive right(store_, clock_);
  int64_t largest[2] = {};
  const int rounds = *rc::gen::inRange(1, 6);
  for (int i = 0; i < rounds; ++i) {
    auto& archive = *rc::gen::arbitrary<bool>() ? left : right;
    const int router = *rc::gen::inRange(0, 2);
    // An older count may be saved after a newer one.
    const auto requests = *rc::gen::inRange<int64_t>(1, 1000);
    largest[router] = std::max(largest[router], requests);
    RC_ASSERT(
      Save(
        archive,
        { Sample(router == 0 ? "a" : "b", 0, { { kFirstMinute, requests } }) },
        kFirstMinute)
        .ok());
  }
  store_.SetFaults({});
  RC_ASSERT(Count(kFirstMinute) == largest[0] + largest[1]);
}

// Guards against losing the counts of a router that is restarted, and against
// counting one incarnation twice when two admin processes compute slightly
// different start times for it.
TEST_F(SloArchiveTest, ReplacedRouterKeepsItsCounts)
{
  SloArchive archive(store_, clock_);
  SloArchive other(store_, clock_);
  ASSERT_TRUE(
    Save(archive, { Sample("a", 0, { { kFirstMinute, 10 } }) }, kFirstMinute)
      .ok());
  ASSERT_TRUE(
    Save(other, { Sample("a", 900, { { kFirstMinute, 12 } }) }, kFirstMinute)
      .ok());
  EXPECT_EQ(Count(kFirstMinute), 12);
  ASSERT_TRUE(
    Save(archive, { Sample("a", 50000, { { kFirstMinute, 3 } }) }, kFirstMinute)
      .ok());
  EXPECT_EQ(Count(kFirstMinute), 15);
}

// Guards against counts of closed minutes that change later, and against losing
// minutes that no admin process saved before they should have been closed.
TEST_F(SloArchiveTest, ClosedMinutesStayAndUnsavedOnesAreRecovered)
{
  SloArchive archive(store_, clock_);
  const auto late = kFirstMinute + kCloseDelayMinutes + 2;
  ASSERT_TRUE(
    Save(archive, { Sample("a", 0, { { kFirstMinute, 10 } }) }, kFirstMinute)
      .ok());
  ASSERT_TRUE(Save(archive, {}, late).ok());
  SloArchive replacement(store_, clock_);
  ASSERT_TRUE(
    Save(replacement,
         { Sample("a", 0, { { kFirstMinute, 99 }, { kFirstMinute + 1, 7 } }) },
         late)
      .ok());
  EXPECT_EQ(Count(kFirstMinute + 1), 7);
  SloArchive reader(store_, clock_);
  const auto history = reader.Load(late * kMsPerMinute);
  EXPECT_EQ(history->minutes_.at(kFirstMinute).at(Key("overload")), 10);
}

// Guards against hours that are merged into their day twice or not at all, and
// against objects that never expire.
TEST_F(SloArchiveTest, HoursAreMergedIntoDaysOnce)
{
  SloArchive archive(store_, clock_);
  ASSERT_TRUE(
    Save(archive, { Sample("a", 0, { { kFirstMinute, 10 } }) }, kFirstMinute)
      .ok());
  const auto compact = [&](SloArchive& aArchive, int64_t aMinute) {
    return aArchive.Compact(aMinute * kMsPerMinute,
                            clock_.NowMs() + kSaveTimeoutMs);
  };
  const auto nextDay = kFirstMinute + kMinutesPerDay;
  ASSERT_TRUE(compact(archive, nextDay).ok());
  SloArchive other(store_, clock_);
  ASSERT_TRUE(compact(other, nextDay + 1).ok());
  const auto history = archive.Load(nextDay * kMsPerMinute);
  EXPECT_EQ(history->hours_.at(kFirstMinute).at(Key("overload")), 10);
  ASSERT_TRUE(compact(other, kFirstMinute + 3 * kMinutesPerDay).ok());
  ASSERT_EQ(store_.List(kSloKind)->size(), 1u);
  ASSERT_TRUE(compact(other, kFirstMinute + 40 * kMinutesPerDay).ok());
  EXPECT_TRUE(store_.List(kSloKind)->empty());
}

// Guards against a burn rate, error budget or alert that disagrees with the
// definition of the burn rate: the share of requests that miss the objective,
// divided by the allowed share.
TEST(SloReport, ArithmeticFollowsTheDefinition)
{
  SloHistory history;
  const auto now = kFirstMinute + 600;
  for (auto minute = now - 29; minute <= now; ++minute) {
    history.minutes_[minute] = { { Key(""), 950 },
                                 { Key("slow"), 30 },
                                 { Key("overload"), 20 } };
    AddCells(history.hours_[minute / 60 * 60], history.minutes_[minute]);
  }
  const auto report = MakeSloReport(
    history, { { "idle", {} } }, ServiceRules(), now * kMsPerMinute);
  ASSERT_EQ(report.objectives_.size(), 4u);
  EXPECT_EQ(report.objectives_[0].service_, "idle");
  EXPECT_EQ(report.objectives_[0].remainingBudget_, 1);
  const auto& availability = report.objectives_[2];
  // 2% missed, 0.1% allowed.
  EXPECT_NEAR(availability.windows_[0].burnRate_, 20, 1e-9);
  EXPECT_EQ(availability.windows_[0].ratio_.total_, 5000);
  EXPECT_EQ(availability.windows_[2].ratio_.total_, 30000);
  EXPECT_NEAR(availability.remainingBudget_, -19, 1e-9);
  EXPECT_TRUE(availability.fastBurn_);
  EXPECT_TRUE(availability.slowBurn_);
  ASSERT_EQ(availability.contributions_.size(), 1u);
  EXPECT_EQ(availability.contributions_[0].cause_, "overload");
  EXPECT_EQ(availability.contributions_[0].shareOfBad_, 1);
  EXPECT_NEAR(availability.burnRateSeries_.back().value_, 20, 1e-9);
  const auto& latency = report.objectives_[3];
  // 30 of 980 complete responses were slow, 1% allowed.
  EXPECT_NEAR(latency.windows_[0].burnRate_, 30.0 / 980 / 0.01, 1e-9);
  EXPECT_FALSE(latency.fastBurn_);
}

// Guards against script injection by a service or cause name that a caller
// chose, and against references to other resources.
TEST(SloPage, NamesAreEscapedAndThePageIsSelfContained)
{
  SloHistory history;
  history.minutes_[kFirstMinute] = { { { "<script>", "x\"y", "", "" }, 1 } };
  history.hours_ = history.minutes_;
  const auto page = RenderSloPage(
    MakeSloReport(history, {}, ServiceRules(), kFirstMinute * kMsPerMinute));
  EXPECT_EQ(page.find("<script"), std::string::npos);
  EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
  EXPECT_NE(page.find("<svg"), std::string::npos);
  EXPECT_EQ(page.find("http"), std::string::npos);
}

}
}

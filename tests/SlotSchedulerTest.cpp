#include "scheduling/SlotScheduler.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kDomain = 1;
constexpr uint32_t kNeighbour = 2;
constexpr uint32_t kGateway = 5;
constexpr TimeMs kObjectiveMs = 1000;

/// Scheduler with a clock. All requests have 100 ms of work unless they are
/// served with another latency.
class Broker
{
public:
  explicit Broker(const std::vector<SlotServer>& aServers = { { .id_ = 1 } },
                  SlotOptions aOptions = {})
    : scheduler_(aOptions, crossing_, 1)
  {
    SetServers(aServers);
  }

  void SetServers(const std::vector<SlotServer>& aServers)
  {
    scheduler_.SetServers(aServers, nowMs_);
    Read();
  }

  /// Asks for a slot, and returns the latest answer.
  SlotAnswer Ask(int64_t aNumber, SlotRequest aRequest = {})
  {
    aRequest.number_ = aNumber;
    aRequest.gateway_ = kGateway;
    if (aRequest.objectiveMs_ == 0) {
      aRequest.objectiveMs_ = kObjectiveMs;
      aRequest.objectiveLeftMs_ = kObjectiveMs;
    }
    if (aRequest.remainingMs_ == 0) {
      aRequest.remainingMs_ = 8 * aRequest.objectiveMs_;
    }
    return AskAsIs(aRequest);
  }

  SlotAnswer AskAsIs(const SlotRequest& aRequest)
  {
    scheduler_.OnRequest(aRequest, nowMs_);
    Read();
    return Last(aRequest.number_);
  }

  void End(int64_t aNumber,
           SlotOutcome aOutcome = SlotOutcome::Served,
           TimeMs aLatencyMs = 0,
           std::optional<SlotLoad> aLoad = std::nullopt)
  {
    scheduler_.OnEnd({ .gateway_ = kGateway,
                       .number_ = aNumber,
                       .server_ = Last(aNumber).server_,
                       .outcome_ = aOutcome,
                       .latencyMs_ = aLatencyMs,
                       .load_ = aLoad },
                     nowMs_);
    Read();
  }

  /// Runs a request at one server, to teach the scheduler.
  void Serve(uint32_t aServer,
             SlotOutcome aOutcome,
             TimeMs aLatencyMs = 0,
             std::optional<SlotLoad> aLoad = std::nullopt)
  {
    const int64_t number = ++taught_;
    ASSERT_EQ(Ask(number, { .server_ = aServer }).verdict_,
              SlotVerdict::Assigned);
    End(number, aOutcome, aLatencyMs, aLoad);
  }

  void Wait(TimeMs aMs)
  {
    for (const TimeMs endMs = nowMs_ + aMs; nowMs_ < endMs; ++nowMs_) {
      scheduler_.Poll(nowMs_);
    }
    scheduler_.Poll(nowMs_);
    Read();
  }

  SlotAnswer Last(int64_t aNumber) const
  {
    const auto found = answers_.find(aNumber);
    return found == answers_.end() ? SlotAnswer{} : found->second;
  }
  SlotVerdict Verdict(int64_t aNumber) const { return Last(aNumber).verdict_; }
  /// Requests in the order in which they got their slots.
  const std::vector<int64_t>& Started() const { return started_; }
  DomainCrossing& Crossing() { return crossing_; }
  SlotScheduler& Scheduler() { return scheduler_; }
  TimeMs NowMs() const { return nowMs_; }

private:
  void Read()
  {
    for (const auto& answer : scheduler_.TakeAnswers()) {
      if (answer.verdict_ == SlotVerdict::Assigned &&
          Verdict(answer.number_) != SlotVerdict::Assigned) {
        started_.push_back(answer.number_);
      }
      answers_[answer.number_] = answer;
    }
  }

  TimeMs nowMs_ = 10000;
  DomainCrossing crossing_{ {}, kDomain, 1 };
  SlotScheduler scheduler_;
  std::map<int64_t, SlotAnswer> answers_;
  std::vector<int64_t> started_;
  int64_t taught_ = 1000000;
};

using enum SlotVerdict;

/// Numbers from 0 to below aEnd, whatever the size of the test case.
std::vector<int> GenNumbers(size_t aCount, int aEnd)
{
  return *rc::gen::resize(
    100,
    rc::gen::container<std::vector<int>>(aCount, rc::gen::inRange(0, aEnd)));
}

// Guards against a server that gets more requests than it has slots, and
// against a free slot while a request waits.
TEST(SlotScheduler, AServerGetsAsManyRequestsAsItHasSlots)
{
  Broker broker({ { .id_ = 1, .slots_ = 2 } });
  EXPECT_EQ(broker.Ask(1).server_, 1U);
  EXPECT_EQ(broker.Ask(2).verdict_, Assigned);
  EXPECT_EQ(broker.Ask(3).verdict_, Queued);
  broker.End(1);
  EXPECT_EQ(broker.Verdict(3), Assigned);
  EXPECT_FALSE(broker.Scheduler().IsIdle());
  broker.End(2);
  broker.End(3);
  EXPECT_TRUE(broker.Scheduler().IsIdle());
}

// Guards against filling slots that another broker or a gateway without one
// has taken, and against believing so for good.
TEST(SlotScheduler, LoadOfOthersLeavesLessRoom)
{
  Broker broker({ { .id_ = 1, .slots_ = 3 } });
  for (int count = 0; count < 5; ++count) {
    broker.Ask(count + 10);
    broker.End(count + 10, SlotOutcome::Served, 100, SlotLoad{ 4, 0 });
    broker.Wait(10);
  }
  EXPECT_EQ(broker.Ask(1).verdict_, Queued);
  broker.Wait(2000);
  EXPECT_EQ(broker.Verdict(1), Assigned);
  EXPECT_EQ(broker.Ask(2).verdict_, Assigned);
}

/// Fills the server and ends all requests with that report. Returns how many it
/// got.
int FillAndEnd(Broker& aBroker,
               int64_t aFirst,
               uint32_t aServer,
               const SlotLoad& aLoad)
{
  const SlotRequest request{ .server_ = aServer,
                             .objectiveMs_ = kObjectiveMs,
                             .objectiveLeftMs_ = 60 * kObjectiveMs };
  int64_t number = aFirst;
  while (aBroker.Ask(number, request).verdict_ == Assigned) {
    ++number;
  }
  for (auto each = aFirst; each <= number; ++each) {
    aBroker.End(each, SlotOutcome::Served, 100, aLoad);
  }
  return static_cast<int>(number - aFirst);
}

// Guards against idle slots while requests are on their way on narrow links,
// against an owner of keys that is idle while the next request travels, and
// against filling the server's queue once they have arrived.
TEST(SlotScheduler, RequestsOnTheirWayLeaveRoom)
{
  constexpr int kSlots = 3;
  Broker broker({ { .id_ = 1, .slots_ = kSlots } });
  EXPECT_EQ(FillAndEnd(broker, 100, 0, { kSlots, 0 }), kSlots);
  EXPECT_EQ(FillAndEnd(broker, 200, 1, { kSlots, 0 }), kSlots);
  int64_t round = 1;
  for (; round < 30; ++round) {
    EXPECT_LE(FillAndEnd(broker, 1000 * round, 0, { 1, 0 }), 2 * kSlots);
  }
  EXPECT_EQ(FillAndEnd(broker, 1000 * round, 0, { 1, 0 }), 2 * kSlots);
  EXPECT_EQ(FillAndEnd(broker, 1000 * ++round, 1, { 1, 0 }), 3 * kSlots);
  for (++round; round < 60; ++round) {
    FillAndEnd(broker, 1000 * round, 0, { kSlots, 4 });
  }
  EXPECT_LE(FillAndEnd(broker, 1000 * round, 1, { kSlots, 4 }), kSlots);
}

// Guards against a pause of servers that reject requests although they report
// room: it would idle a whole service whose servers do so.
TEST(SlotScheduler, RejectionsDespiteRoomDoNotPauseAServer)
{
  Broker broker({ { .id_ = 1, .slots_ = 2 } });
  broker.Ask(1);
  broker.End(1, SlotOutcome::Rejected, 0, SlotLoad{ 0, 0 });
  EXPECT_EQ(broker.Ask(2).verdict_, Assigned);
  broker.End(2, SlotOutcome::Rejected, 0, SlotLoad{ 2, 5 });
  EXPECT_EQ(broker.Ask(3).verdict_, Queued);
}

// Guards against placing requests at slow servers, at servers whose host is
// slow just now, or at servers that fail requests, while better ones are free.
TEST(SlotScheduler, ChoosesTheLeastExpectedTime)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  for (int count = 0; count < 20; ++count) {
    broker.Serve(1, SlotOutcome::Served, 200);
    broker.Serve(2, SlotOutcome::Served, 100);
  }
  EXPECT_EQ(broker.Ask(1).server_, 2U);
  broker.End(1, SlotOutcome::Served, 300, SlotLoad{ 0, 0, 3.0 });
  EXPECT_EQ(broker.Ask(2).server_, 1U);
  broker.End(2);
  broker.Wait(1000);
  EXPECT_EQ(broker.Ask(3).server_, 2U);
  broker.End(3);
  for (int count = 0; count < 5; ++count) {
    broker.Serve(2, SlotOutcome::Failed);
  }
  EXPECT_EQ(broker.Ask(4).server_, 1U);
  EXPECT_EQ(broker.Ask(5, { .avoided_ = { 1 } }).server_, 2U);
}

// Guards against new connections where an equal server has an idle one, and
// against a request that returns to a server that failed it.
TEST(SlotScheduler, PrefersConnectedAndNeverTakesAvoidedServers)
{
  for (const uint32_t server : { 1U, 2U, 3U }) {
    Broker broker({ { .id_ = 1 }, { .id_ = 2 }, { .id_ = 3 } });
    EXPECT_EQ(broker.Ask(1, { .connected_ = { server } }).server_, server);
    std::vector<uint32_t> avoided{ 1, 2, 3 };
    std::erase(avoided, server);
    EXPECT_EQ(broker.Ask(2, { .avoided_ = avoided }).verdict_, Queued);
    broker.End(1);
    EXPECT_EQ(broker.Last(2).server_, server);
    EXPECT_EQ(broker.Ask(3, { .avoided_ = { 1, 2, 3 } }).cause_,
              SlotCause::NoServer);
  }
}

// Guards against a request that starts at a server where it will be late
// although a fast one has a slot soon, and against one that waits on when it
// can't be in time any more.
TEST(SlotScheduler, WaitsForAFasterServerWhileThereIsTime)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  for (int count = 0; count < 40; ++count) {
    broker.Serve(1, SlotOutcome::Served, 400);
    broker.Serve(2, SlotOutcome::Served, 100);
  }
  broker.Wait(2000);
  const SlotRequest request{ .objectiveMs_ = 350, .objectiveLeftMs_ = 350 };
  EXPECT_EQ(broker.Ask(1, request).server_, 2U);
  EXPECT_EQ(broker.Ask(2, request).verdict_, Queued);
  broker.Wait(20);
  EXPECT_EQ(broker.Verdict(2), Queued);
  broker.End(1, SlotOutcome::Served, 100);
  EXPECT_EQ(broker.Last(2).server_, 2U);
  EXPECT_EQ(broker.Ask(3, request).verdict_, Queued);
  broker.Wait(350);
  EXPECT_EQ(broker.Last(3).server_, 1U);
}

// Guards against waiting for a fast server that others fill for a long time.
TEST(SlotScheduler, TakesASlowServerIfTheFastOneIsWantedByMany)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  for (int count = 0; count < 40; ++count) {
    broker.Serve(1, SlotOutcome::Served, 400);
    broker.Serve(2, SlotOutcome::Served, 100);
  }
  broker.Wait(2000);
  for (int64_t number = 1; number <= 5; ++number) {
    broker.Ask(number, { .avoided_ = { 1 } });
  }
  const SlotRequest request{ .rank_ = 1,
                             .objectiveMs_ = 350,
                             .objectiveLeftMs_ = 350 };
  EXPECT_EQ(broker.Ask(6, request).server_, 1U);
}

// Guards against a server that counts as slow for long after its host was slow
// for a moment.
TEST(SlotScheduler, SlownessOfTheHostIsNoSpeedOfTheServer)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  for (int count = 0; count < 20; ++count) {
    broker.Serve(1, SlotOutcome::Served, 110, SlotLoad{ 0, 0, 1.0 });
    broker.Serve(2, SlotOutcome::Served, 150, SlotLoad{ 0, 0, 1.0 });
  }
  for (int count = 0; count < 5; ++count) {
    broker.Serve(1, SlotOutcome::Served, 330, SlotLoad{ 0, 0, 3.0 });
  }
  broker.Wait(2000);
  EXPECT_EQ(broker.Ask(1).server_, 1U);
}

// Guards against running a request at a server that doesn't own its key, or
// queueing it for an owner that is gone.
TEST(SlotScheduler, OwnerBoundRequestsWaitForTheirOwner)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  EXPECT_EQ(broker.Ask(1, { .server_ = 1 }).server_, 1U);
  EXPECT_EQ(broker.Ask(2, { .server_ = 1 }).verdict_, Queued);
  EXPECT_EQ(broker.Ask(3).server_, 2U);
  broker.End(3);
  EXPECT_EQ(broker.Verdict(2), Queued);
  broker.End(1);
  EXPECT_EQ(broker.Last(2).server_, 1U);
  EXPECT_EQ(broker.Ask(4, { .server_ = 9 }).cause_, SlotCause::NoServer);
  EXPECT_EQ(broker.Ask(5, { .server_ = 1 }).verdict_, Queued);
  broker.SetServers({ { .id_ = 2 } });
  EXPECT_EQ(broker.Last(5).cause_, SlotCause::NoServer);
  broker.End(2);
  EXPECT_TRUE(broker.Scheduler().IsIdle());
}

// Guards against urgent requests behind less urgent ones, against overtaking
// within a rank, and against late requests that make others late.
TEST(SlotScheduler, StartsByRankThenInTimeThenArrival)
{
  Broker broker;
  broker.Ask(1);
  const SlotRequest low{ .rank_ = 2,
                         .objectiveMs_ = 3000,
                         .objectiveLeftMs_ = 3000 };
  auto late = low;
  late.objectiveLeftMs_ = -5;
  const SlotRequest urgent{ .objectiveMs_ = 3000, .objectiveLeftMs_ = 3000 };
  broker.Ask(2, late);
  broker.Ask(3, low);
  broker.Ask(4, low);
  broker.Ask(5, urgent);
  broker.Ask(6, urgent);
  for (const int64_t number : { 1, 5, 6, 3, 4, 2 }) {
    ASSERT_EQ(broker.Started().back(), number);
    broker.End(number);
  }
}

// Guards against a low rank that gets nothing while urgent requests fill the
// server for good, and against one that takes more than its share.
TEST(SlotScheduler, LowRanksGetTheirShare)
{
  Broker broker;
  const auto request = [](int aRank) {
    return SlotRequest{ .rank_ = aRank,
                        .objectiveMs_ = 100000,
                        .objectiveLeftMs_ = 100000 };
  };
  std::map<int, int> started;
  for (int64_t number = 1; number <= 60; ++number) {
    broker.Ask(1000 + number, request(1));
    broker.Ask(2000 + number, request(7));
    broker.Ask(number, request(0));
    broker.Ask(100 + number, request(0));
  }
  while (broker.Started().size() < 121) {
    const auto number = broker.Started().back();
    ++started[static_cast<int>(number / 1000)];
    broker.End(number, SlotOutcome::Served, 100);
  }
  EXPECT_NEAR(started[1] + started[2], 12, 2);
  EXPECT_GE(started[2], 1);
}

// Guards against queueing what will be late anyway, against callers that come
// back too late for their deadline, and against all coming back at once.
TEST(SlotScheduler, RefusesAtOnceWhatWouldBeLate)
{
  Broker broker;
  std::vector<TimeMs> returns;
  for (int64_t number = 1; number <= 100; ++number) {
    const auto answer = broker.Ask(number);
    if (answer.verdict_ == Refused) {
      EXPECT_EQ(answer.cause_, SlotCause::Full);
      returns.push_back(answer.retryAfterMs_);
    }
  }
  // Of 100 ms each, about 9 are in time.
  EXPECT_GT(returns.size(), 85U);
  EXPECT_LT(returns.size(), 95U);
  EXPECT_GE(std::ranges::min(returns), 30);
  EXPECT_LE(std::ranges::max(returns), 0.3 * 8 * kObjectiveMs);
  // The server runs 10 a second; those told less than the maximum must find
  // room.
  EXPECT_LE(
    std::ranges::count_if(returns, [](TimeMs aMs) { return aMs <= 1000; }), 10);
  EXPECT_GT(std::set(returns.begin(), returns.end()).size(),
            returns.size() / 2);
  EXPECT_EQ(broker.Ask(200, { .rank_ = -1 }).verdict_, Refused);
}

// Guards against admitting low ranks by the length of their own queue while
// urgent requests take nearly all that the server can run.
TEST(SlotScheduler, AdmissionCountsTheUrgentRequestsToCome)
{
  Broker broker({ { .id_ = 1, .slots_ = 10 } });
  int64_t number = 0;
  const auto load = [&](int aUrgent) {
    for (int count = 0; count < 100; ++count) {
      std::vector<int64_t> urgent;
      for (int each = 0; each < aUrgent; ++each) {
        urgent.push_back(++number);
        broker.Ask(number);
      }
      broker.Wait(100);
      for (const auto each : urgent) {
        broker.End(each, SlotOutcome::Served, 100);
      }
    }
    for (int each = 0; each < 10; ++each) {
      broker.Ask(++number);
    }
    int admitted = 0;
    for (int each = 0; each < 200; ++each) {
      admitted += broker.Ask(++number, { .rank_ = 1 }).verdict_ == Queued;
    }
    broker.Wait(9000);
    return admitted;
  };
  const int idle = load(0);
  EXPECT_LT(load(9), idle / 2);
}

// Guards against urgent requests that are refused because many of lower rank
// wait.
TEST(SlotScheduler, AdmissionIgnoresLowerRanks)
{
  Broker broker;
  for (int64_t number = 1; number <= 50; ++number) {
    broker.Ask(number, { .rank_ = 3 });
  }
  EXPECT_EQ(broker.Ask(51, { .rank_ = 0 }).verdict_, Queued);
}

// Guards against late requests that hold up others, against refusing them while
// nobody else needs the slot, and against waiting past the deadline.
TEST(SlotScheduler, LateRequestsWaitOnlyWhileNobodyIsBehind)
{
  Broker broker;
  broker.Ask(1, { .objectiveMs_ = 10000, .objectiveLeftMs_ = 10000 });
  broker.Ask(2);
  broker.Wait(1000);
  EXPECT_EQ(broker.Verdict(2), Queued);
  broker.Ask(3);
  broker.Wait(20);
  EXPECT_EQ(broker.Verdict(2), Refused);
  EXPECT_EQ(broker.Verdict(3), Queued);
  broker.Wait(8 * kObjectiveMs - 100);
  EXPECT_EQ(broker.Verdict(3), Queued);
  broker.Wait(80);
  EXPECT_EQ(broker.Verdict(3), Refused);
  EXPECT_EQ(broker.Last(3).retryAfterMs_, 0);
}

/// Room of the other domain, told for some time beside the lack of it in the
/// broker's own.
void Announce(Broker& aBroker, double aFreeSlots)
{
  constexpr TimeMs kIntervalMs = 100;
  for (int count = 0; count < 5; ++count) {
    aBroker.Wait(kIntervalMs);
    aBroker.Crossing().OnSummary({ .domain_ = kNeighbour,
                                   .freeSlots_ = aFreeSlots,
                                   .utilization_ = aFreeSlots > 0 ? 0.1 : 2 },
                                 aBroker.NowMs());
    aBroker.Crossing().OnSummary(
      { .domain_ = kDomain, .utilization_ = 2, .waitMs_ = 100 },
      aBroker.NowMs());
  }
  aBroker.Wait(kIntervalMs / 2);
}

// Guards against waiting beside an idle neighbour, against a request that goes
// to and fro between two domains, and against a key's request that leaves its
// owner.
TEST(SlotScheduler, RequestsWithoutRoomLeaveOnce)
{
  Broker broker;
  Announce(broker, 50);
  EXPECT_EQ(broker.Ask(1).verdict_, Assigned);
  const auto left = broker.Ask(2);
  EXPECT_EQ(left.verdict_, Elsewhere);
  EXPECT_EQ(left.domain_, kNeighbour);
  EXPECT_EQ(broker.Ask(3, { .returned_ = true }).verdict_, Queued);
  EXPECT_EQ(broker.Ask(4, { .server_ = 1 }).verdict_, Queued);
  EXPECT_EQ(broker.Ask(5, { .crossing_ = true }).verdict_, Refused);
}

// Guards against a domain without servers that keeps requests although another
// one has room, also those that already wait.
TEST(SlotScheduler, RequestsLeaveADomainWithoutServers)
{
  Broker broker;
  broker.Ask(1);
  EXPECT_EQ(broker.Ask(2).verdict_, Queued);
  EXPECT_EQ(broker.Ask(3, { .returned_ = true }).verdict_, Queued);
  Announce(broker, 50);
  broker.SetServers({});
  EXPECT_EQ(broker.Verdict(2), Elsewhere);
  EXPECT_EQ(broker.Last(3).cause_, SlotCause::NoServer);
  EXPECT_EQ(broker.Ask(4).verdict_, Elsewhere);
  EXPECT_EQ(broker.Ask(5, { .returned_ = true }).cause_, SlotCause::NoServer);
}

// Guards against requests of other domains that take the slots which waiting
// requests of this one need.
TEST(SlotScheduler, CrossingRequestsGetOnlySpareRoom)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  const SlotRequest crossing{ .crossing_ = true };
  EXPECT_EQ(broker.Ask(1, { .avoided_ = { 2 } }).server_, 1U);
  EXPECT_EQ(broker.Ask(2, { .avoided_ = { 2 } }).verdict_, Queued);
  const auto answer = broker.Ask(3, crossing);
  EXPECT_EQ(answer.verdict_, Refused);
  EXPECT_EQ(answer.cause_, SlotCause::Full);
  EXPECT_EQ(answer.retryAfterMs_, 0);
  broker.End(2);
  EXPECT_EQ(broker.Ask(4, crossing).server_, 2U);
  EXPECT_EQ(broker.Scheduler().Summary(broker.NowMs()).freeSlots_, 0);
}

// Guards against neighbours that send requests to a full domain, or none to one
// with room.
TEST(SlotScheduler, TheSummaryShowsRoomAndWait)
{
  Broker broker({ { .id_ = 1, .slots_ = 2 } });
  const auto free = broker.Scheduler().Summary(broker.NowMs());
  EXPECT_EQ(free.freeSlots_, 2);
  EXPECT_EQ(free.utilization_, 0);
  EXPECT_EQ(free.waitMs_, 0);
  for (int64_t number = 1; number <= 6; ++number) {
    broker.Ask(number, { .rank_ = 2 });
  }
  const auto full = broker.Scheduler().Summary(broker.NowMs());
  EXPECT_EQ(full.freeSlots_, 0);
  EXPECT_EQ(full.utilization_, 3);
  // 4 that wait and the next one, of 100 ms each, on 2 slots.
  EXPECT_NEAR(static_cast<double>(full.waitMs_), 250, 25);
}

// Guards against more than the cold server's limit in any second, whatever the
// times of the requests.
RC_GTEST_PROP(ColdRate, StaysBelowTheLimitInAnySecond, ())
{
  const ColdLimits limits{ .perSecond_ = *rc::gen::inRange(1, 40) * 1.0,
                           .slack_ = *rc::gen::inRange(0, 10) * 1.0 };
  ColdRate rate(limits, 0.6, 0);
  std::vector<TimeMs> taken;
  const auto steps = GenNumbers(300, 60);
  TimeMs nowMs = 0;
  for (const int stepMs : steps) {
    nowMs += stepMs;
    RC_ASSERT((rate.WaitMs(nowMs) == 0) == rate.TryTake(nowMs) ||
              rate.WaitMs(nowMs) > 0);
    nowMs += rate.WaitMs(nowMs) * (stepMs % 2);
    if (rate.TryTake(nowMs)) {
      taken.push_back(nowMs);
    }
  }
  for (size_t first = 0; first < taken.size(); ++first) {
    const auto count = std::ranges::count_if(taken, [&](TimeMs aMs) {
      return aMs >= taken[first] && aMs < taken[first] + 1000;
    });
    RC_ASSERT(static_cast<double>(count) <=
              std::max(1.0, limits.perSecond_ + limits.slack_));
  }
}

// Guards against a cold server that gets as many requests as it has slots, and
// against waiting longer for its next one than the objective allows.
TEST(SlotScheduler, ColdServersGetRequestsAtTheirPace)
{
  Broker broker({ { .id_ = 1, .slots_ = 20, .coldUntilMs_ = 60000 },
                  { .id_ = 2, .slots_ = 1 } },
                { .cold_ = { .perSecond_ = 10 } });
  std::map<SlotCause, int> causes;
  for (int64_t number = 1; number <= 30; ++number) {
    ++causes[broker.Ask(number, { .server_ = 1 }).cause_];
  }
  EXPECT_GE(causes[SlotCause::ColdServer], 20);
  EXPECT_EQ(broker.Ask(31).server_, 2U);
  const auto startedBefore = broker.Started().size();
  EXPECT_LE(startedBefore, 2U);
  broker.Wait(1000);
  // The broker's part of 10 a second is 3.5.
  EXPECT_GE(broker.Started().size(), startedBefore + 2);
  EXPECT_LE(broker.Started().size(), startedBefore + 4);
}

// Guards against neighbours that send a cold server as many requests as it has
// slots.
TEST(SlotScheduler, AColdServerShowsRoomForOneRequest)
{
  Broker broker({ { .id_ = 1, .slots_ = 20, .coldUntilMs_ = 60000 } },
                { .cold_ = { .perSecond_ = 10, .slack_ = 20 } });
  broker.Wait(3000);
  EXPECT_GT(broker.Scheduler().Summary(broker.NowMs()).freeSlots_, 0);
  EXPECT_LE(broker.Scheduler().Summary(broker.NowMs()).freeSlots_, 1);
}

// Guards against requests for a server that has just rejected one or can't be
// reached, and against giving it up for good.
TEST(SlotScheduler, FailingServersArePausedAndTriedAgain)
{
  Broker broker({ { .id_ = 1, .slots_ = 3 } });
  broker.Serve(1, SlotOutcome::Rejected);
  EXPECT_EQ(broker.Ask(1).verdict_, Queued);
  broker.Wait(59);
  EXPECT_EQ(broker.Verdict(1), Queued);
  broker.Wait(300);
  EXPECT_EQ(broker.Verdict(1), Assigned);
  broker.Wait(3000);
  broker.End(1, SlotOutcome::Unreachable);
  EXPECT_EQ(broker.Ask(2).verdict_, Queued);
  EXPECT_EQ(broker.Ask(3).verdict_, Queued);
  broker.Wait(290);
  EXPECT_EQ(broker.Verdict(2), Queued);
  broker.Wait(20);
  EXPECT_EQ(broker.Verdict(2), Assigned);
  EXPECT_EQ(broker.Verdict(3), Queued);
  broker.End(2, SlotOutcome::Served, 100);
  EXPECT_EQ(broker.Verdict(3), Assigned);
  EXPECT_EQ(broker.Ask(4).verdict_, Assigned);
  broker.End(3, SlotOutcome::Unused);
  EXPECT_EQ(broker.Ask(5).verdict_, Assigned);
}

// Guards against failures of an earlier run of a server that count against the
// new one.
TEST(SlotScheduler, ARestartedServerStartsWithoutFailures)
{
  Broker broker({ { .id_ = 1, .incarnation_ = 1 } });
  broker.Serve(1, SlotOutcome::Unreachable);
  EXPECT_EQ(broker.Ask(1).verdict_, Queued);
  broker.SetServers({ { .id_ = 1, .incarnation_ = 2 } });
  EXPECT_EQ(broker.Verdict(1), Assigned);
}

// Guards against a slot for a request whose caller is gone, and against
// messages about requests that nobody knows.
TEST(SlotScheduler, WithdrawnRequestsGetNoSlot)
{
  Broker broker;
  broker.Ask(1);
  EXPECT_EQ(broker.Ask(2).verdict_, Queued);
  broker.End(2);
  broker.End(99);
  broker.End(1);
  EXPECT_EQ(broker.Verdict(2), Queued);
  EXPECT_TRUE(broker.Scheduler().IsIdle());
  // A slot of another server than the assigned one is not freed.
  broker.Ask(3);
  broker.Scheduler().OnEnd({ .gateway_ = kGateway, .number_ = 3, .server_ = 7 },
                           broker.NowMs());
  EXPECT_EQ(broker.Ask(4).verdict_, Queued);
  // Withdrawn before the gateway knew of its slot.
  broker.Scheduler().OnEnd({ .gateway_ = kGateway, .number_ = 3 },
                           broker.NowMs());
  broker.Wait(0);
  EXPECT_EQ(broker.Verdict(4), Assigned);
}

// Guards against a slot that stays taken because the datagram with its end was
// lost or its gateway was killed.
TEST(SlotScheduler, LostEndsFreeTheirSlots)
{
  Broker broker({ { .id_ = 1, .slots_ = 2 } });
  broker.Ask(1);
  broker.Wait(8 * kObjectiveMs + 99);
  EXPECT_FALSE(broker.Scheduler().IsIdle());
  broker.Wait(1);
  EXPECT_TRUE(broker.Scheduler().IsIdle());

  broker.Ask(2);
  broker.Wait(250);
  broker.Serve(1, SlotOutcome::Served, 100, SlotLoad{ 0, 0 });
  broker.Wait(210);
  broker.Serve(1, SlotOutcome::Served, 100, SlotLoad{ 0, 0 });
  EXPECT_TRUE(broker.Scheduler().IsIdle());
  // A report that knows of the request keeps its slot.
  broker.Ask(3);
  broker.Wait(250);
  broker.Serve(1, SlotOutcome::Served, 100, SlotLoad{ 1, 0 });
  broker.Wait(210);
  broker.Serve(1, SlotOutcome::Served, 100, SlotLoad{ 1, 0 });
  EXPECT_FALSE(broker.Scheduler().IsIdle());
}

// Guards against a second slot for a request whose answer was lost, and against
// a repeat that arrives after the end of its request.
TEST(SlotScheduler, RepeatedRequestsGetTheSameAnswer)
{
  Broker broker({ { .id_ = 1, .slots_ = 2 } });
  EXPECT_EQ(broker.Ask(1).verdict_, Assigned);
  EXPECT_EQ(broker.Ask(1).verdict_, Assigned);
  EXPECT_EQ(broker.Ask(2).verdict_, Assigned);
  EXPECT_EQ(broker.Ask(3).verdict_, Queued);
  EXPECT_EQ(broker.Ask(3).verdict_, Queued);
  broker.End(3);
  broker.Ask(1);
  broker.End(1);
  broker.Ask(1);
  broker.End(2);
  EXPECT_TRUE(broker.Scheduler().IsIdle());
}

// Guards against a request that gets the slot of an earlier one at another
// server, because its gateway was restarted and counts from 1 again.
TEST(SlotScheduler, ARestartedGatewayMayReuseNumbers)
{
  Broker broker({ { .id_ = 1 }, { .id_ = 2 } });
  EXPECT_EQ(broker.Ask(1, { .server_ = 1 }).server_, 1U);
  EXPECT_EQ(broker.Ask(2, { .server_ = 1 }).verdict_, Queued);
  EXPECT_EQ(broker.Ask(1, { .server_ = 2 }).server_, 2U);
  broker.Wait(5);
  EXPECT_EQ(broker.Last(2).server_, 1U);
  EXPECT_EQ(broker.Ask(3, { .server_ = 2 }).verdict_, Queued);
}

// Guards against a crash, a lost slot or a disturbed estimate by numbers that
// no gateway should send.
TEST(SlotScheduler, BadNumbersChangeNothingElse)
{
  Broker broker({ { .id_ = 0 },
                  { .id_ = 1, .slots_ = -3, .coldUntilMs_ = -1 },
                  { .id_ = 1, .slots_ = INT32_MIN } });
  int64_t number = 0;
  for (const TimeMs ms : { TimeMs{ 0 }, TimeMs{ -1 }, INT64_MIN, INT64_MAX }) {
    for (const int rank : { INT32_MIN, -1, INT32_MAX }) {
      for (const uint32_t server : { 0U, 1U, UINT32_MAX }) {
        broker.AskAsIs({ .gateway_ = kGateway,
                         .number_ = ++number,
                         .server_ = server,
                         .rank_ = rank,
                         .objectiveMs_ = ms,
                         .objectiveLeftMs_ = ms,
                         .remainingMs_ = ms,
                         .avoided_ = std::vector<uint32_t>(1000, 7) });
        broker.End(number,
                   static_cast<SlotOutcome>(number),
                   ms,
                   SlotLoad{ rank, rank, static_cast<double>(ms) });
      }
    }
  }
  EXPECT_TRUE(broker.Scheduler().IsIdle());
  broker.Wait(5000);
  broker.Serve(1, SlotOutcome::Served, 100, SlotLoad{ 0, 0, 1.0 });
  EXPECT_EQ(broker.Ask(9999).server_, 1U);
}

// Guards against memory that grows with the number of waiting requests.
TEST(SlotScheduler, TheQueueIsBounded)
{
  Broker broker;
  int queued = 0;
  for (int64_t number = 1; number <= 6000; ++number) {
    queued +=
      broker
        .Ask(number, { .objectiveMs_ = 3000000, .objectiveLeftMs_ = 3000000 })
        .verdict_ == Queued;
  }
  EXPECT_EQ(queued, 4096);
}

/// What gateways know of their requests, to check the scheduler's promises.
struct Known
{
  SlotRequest request_;
  TimeMs deadlineMs_ = 0;
  std::optional<SlotAnswer> final_;
  TimeMs finalMs_ = 0;
  bool ended_ = false;

  /// Gateways repeat a request only while they have no answer.
  bool MayRepeat(TimeMs aNowMs) const
  {
    constexpr TimeMs kRepeatMs = 200;
    return !ended_ && (!final_ || aNowMs - finalMs_ < kRepeatMs);
  }
};

// Guards against any order of requests, repeats, ends, lost ends and changes of
// servers that overfills a server, assigns a request twice, or leaves one
// without an answer.
RC_GTEST_PROP(SlotScheduler, KeepsItsPromisesInAnyOrder, ())
{
  DomainCrossing crossing({}, kDomain, 1);
  SlotScheduler scheduler(
    { .cold_ = { .perSecond_ = 20, .slack_ = 2 } }, crossing, 1);
  constexpr uint32_t kServers = 4;
  std::map<uint32_t, int> slots;
  std::map<int64_t, Known> known;
  std::map<uint32_t, std::set<int64_t>> inUse;
  TimeMs nowMs = 1000;
  int64_t numbers = 0;
  const auto read = [&] {
    for (const auto& answer : scheduler.TakeAnswers()) {
      auto& request = known.at(answer.number_);
      if (answer.verdict_ == Queued) {
        RC_ASSERT(!request.final_);
        continue;
      }
      if (request.final_) {
        RC_ASSERT(request.final_->verdict_ == answer.verdict_);
        RC_ASSERT(request.final_->server_ == answer.server_);
        continue;
      }
      request.final_ = answer;
      request.finalMs_ = nowMs;
      RC_ASSERT(nowMs <= request.deadlineMs_);
      if (answer.verdict_ != Assigned) {
        continue;
      }
      RC_ASSERT(!request.ended_);
      RC_ASSERT(request.request_.server_ == 0 ||
                request.request_.server_ == answer.server_);
      std::erase_if(inUse[answer.server_], [&](int64_t aNumber) {
        return nowMs >= known.at(aNumber).deadlineMs_ + 100;
      });
      inUse[answer.server_].insert(answer.number_);
      RC_ASSERT(slots.contains(answer.server_));
      // Reports of requests on their way at most double the slots, and an
      // owner has work for as many ahead.
      RC_ASSERT(static_cast<int>(inUse[answer.server_].size()) <=
                3 * slots[answer.server_]);
    }
  };
  const auto setServers = [&](int aSeed) {
    std::vector<SlotServer> servers;
    slots.clear();
    for (uint32_t id = 1; id <= kServers; ++id) {
      // Slots in use may exceed those of a server that was made smaller, so
      // each server keeps its size.
      if ((aSeed >> id) % 4 != 0) {
        slots[id] = static_cast<int>(id);
        servers.push_back(
          { id, 1, slots[id], (aSeed >> id) % 8 == 1 ? nowMs + 500 : 0 });
      }
    }
    scheduler.SetServers(servers, nowMs);
  };
  setServers(0b10110);
  read();
  const auto steps = GenNumbers(400, 1 << 16);
  for (const int step : steps) {
    const int value = step >> 4;
    switch (step % 16) {
      case 0:
        setServers(value);
        break;
      case 1:
      case 2:
      case 3:
        for (const TimeMs endMs = nowMs + value % 200; nowMs < endMs; ++nowMs) {
          scheduler.Poll(nowMs);
          read();
        }
        break;
      case 4:
      case 5:
      case 6:
      case 7:
      case 8: {
        if (known.empty()) {
          break;
        }
        auto& [number, request] =
          *std::next(known.begin(), value % static_cast<int>(known.size()));
        if (step % 16 == 4 && request.MayRepeat(nowMs)) {
          scheduler.OnRequest(request.request_, nowMs);
          break;
        }
        const auto server = request.final_ ? request.final_->server_ : 0;
        scheduler.OnEnd({ .gateway_ = kGateway,
                          .number_ = number,
                          .server_ = server,
                          .outcome_ = static_cast<SlotOutcome>(
                            value % static_cast<int>(SlotOutcome::Count)),
                          .latencyMs_ = value % 300 },
                        nowMs);
        inUse[server].erase(number);
        request.ended_ = true;
        break;
      }
      default: {
        const TimeMs objectiveMs = 50 + value % 700;
        Known request;
        request.request_ = { .gateway_ = kGateway,
                             .number_ = ++numbers,
                             .route_ = static_cast<uint32_t>(value % 3),
                             .server_ = value % 2 == 0
                                          ? 0
                                          : static_cast<uint32_t>(value) %
                                              (kServers + 1),
                             .rank_ = value % 4,
                             .objectiveMs_ = objectiveMs,
                             .objectiveLeftMs_ = objectiveMs - value % 100,
                             .remainingMs_ = 3 * objectiveMs,
                             .crossing_ = value % 7 == 0,
                             .returned_ = value % 5 == 0 };
        request.deadlineMs_ = nowMs + request.request_.remainingMs_;
        known[numbers] = request;
        scheduler.OnRequest(request.request_, nowMs);
      }
    }
    read();
  }
  for (const TimeMs endMs = nowMs + 10000; nowMs < endMs; nowMs += 5) {
    scheduler.Poll(nowMs);
    for (const auto& answer : scheduler.TakeAnswers()) {
      RC_ASSERT(nowMs <= known.at(answer.number_).deadlineMs_ + 5);
      known.at(answer.number_).final_ = answer;
    }
  }
  for (const auto& [number, request] : known) {
    RC_ASSERT(request.ended_ || (request.final_.has_value() &&
                                 request.final_->verdict_ != Queued));
  }
  RC_ASSERT(scheduler.IsIdle());
}

// Guards against a rank that waits for good while slots are given to others,
// whatever the mixture of ranks.
RC_GTEST_PROP(SlotScheduler, NoRankStarves, ())
{
  Broker broker({ { .id_ = 1, .slots_ = 3 } });
  const auto ranks = GenNumbers(200, 3);
  std::map<int64_t, int> rankOf;
  std::map<int, int> asked;
  std::map<int, int> started;
  constexpr SlotRequest kPatient{ .objectiveMs_ = 1000000,
                                  .objectiveLeftMs_ = 1000000 };
  for (size_t index = 0; index < ranks.size(); ++index) {
    const auto number = static_cast<int64_t>(index) + 1;
    // Twice as many of the most urgent rank.
    for (const auto& [each, rank] :
         { std::pair(number, ranks[index]), std::pair(number + 1000, 0) }) {
      auto request = kPatient;
      request.rank_ = rank;
      rankOf[each] = rank;
      ++asked[rank];
      broker.Ask(each, request);
    }
  }
  for (size_t next = 0; next < 150; ++next) {
    const auto number = broker.Started().at(next);
    ++started[rankOf[number]];
    broker.End(number, SlotOutcome::Served, 100);
  }
  for (const auto& [rank, count] : asked) {
    RC_ASSERT(count < 3 || started[rank] > 0);
  }
  const int lowRanks = asked[1] + asked[2];
  RC_ASSERT(started[1] + started[2] >= std::min(lowRanks, 13));
}

}
}

#include "policy/AdmissionPolicy.hpp"
#include "policy/BalancingPolicy.hpp"
#include "policy/PacedLimit.hpp"
#include "policy/ServerGate.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

AdmissionOptions FiveSlots()
{
  return { .slots_ = 5, .routers_ = 8, .warmupMs_ = 30000, .seed_ = 7 };
}

std::unique_ptr<AdmissionPolicy> Adaptive()
{
  return AdmissionRegistry::Global().Create("adaptive", FiveSlots());
}

/// Starts attempts of kServiceMs as fast as the policy allows; the server sheds
/// them if aIsShedding. Returns the mean number of attempts in flight.
double MeanInFlight(AdmissionPolicy& aPolicy,
                    TimeMs aBeginMs,
                    TimeMs aEndMs,
                    bool aIsShedding)
{
  constexpr TimeMs kServiceMs = 10;
  std::vector<TimeMs> ends;
  double sum = 0;
  for (TimeMs now = aBeginMs; now < aEndMs; ++now) {
    std::erase_if(ends, [&](TimeMs aEnd) {
      if (aEnd > now) {
        return false;
      }
      aPolicy.Release(now, AttemptResult::Answered, kServiceMs);
      return true;
    });
    while (aPolicy.TryAcquire(now)) {
      if (aIsShedding) {
        aPolicy.Release(now, AttemptResult::Shed, 0);
      } else {
        ends.push_back(now + kServiceMs);
      }
    }
    sum += static_cast<double>(ends.size());
  }
  for (size_t i = 0; i < ends.size(); ++i) {
    aPolicy.Release(aEndMs, AttemptResult::Cancelled, 0);
  }
  return sum / static_cast<double>(aEndMs - aBeginMs);
}

// Guards against the linker dropping the registrations of the plug-ins. This
// program references no class of a plug-in.
TEST(Admission, PlugInsAreRegistered)
{
  const auto admission = AdmissionRegistry::Global().Names();
  EXPECT_EQ(admission, (std::vector<std::string>{ "adaptive", "static" }));
  EXPECT_NE(BalancingRegistry::Global().Create("load-per-key", {}), nullptr);
}

// Guards against a limit fixed at the even share: a router that gets all
// requests must be able to use all slots of the server.
TEST(Admission, OnlyActiveRouterUsesAllSlots)
{
  const auto policy = Adaptive();
  MeanInFlight(*policy, 0, 5000, false);
  EXPECT_GE(policy->Limit(5000), 5);
  EXPECT_LE(policy->Limit(5000), 7);
}

// Guards against a limit that can't drop below one attempt: eight routers would
// then permanently exceed the five slots.
TEST(Admission, ShedRequestsLowerTheLimitBelowOne)
{
  const auto policy = Adaptive();
  MeanInFlight(*policy, 0, 3000, true);
  const double limit = policy->Limit(3000);
  EXPECT_LT(limit, 0.2);
  EXPECT_GT(limit, 0);
}

// Guards against a fractional limit that is not enforced: the mean number of
// attempts in flight must equal the limit.
TEST(Admission, FractionalLimitIsEnforcedOnAverage)
{
  for (const double limit : { 0.3, 0.625, 1.0, 1.5, 2.25 }) {
    PacedLimit paced;
    double sum = 0;
    std::vector<TimeMs> ends;
    for (TimeMs now = 0; now < 60000; ++now) {
      std::erase_if(ends, [&](TimeMs aEnd) {
        if (aEnd == now) {
          paced.Release(now, limit);
        }
        return aEnd == now;
      });
      while (paced.TryAcquire(now, limit)) {
        ends.push_back(now + 7);
      }
      sum += static_cast<double>(ends.size());
    }
    EXPECT_NEAR(sum / 60000, limit, 0.05 * limit + 0.01) << limit;
  }
}

// Guards against starving a backend server that keeps reporting full load: an
// unconfirmed hint lowers the limit for 3 s only.
TEST(Admission, UnconfirmedHintLowersTheLimitForThreeSeconds)
{
  const auto policy = Adaptive();
  MeanInFlight(*policy, 0, 5000, false);
  const double before = policy->Limit(5000);
  for (TimeMs now = 5000; now < 20000; now += 100) {
    policy->OnLoadHint(now, 1.0);
    if (now >= 8000) {
      EXPECT_EQ(policy->Limit(now), before) << now;
    } else {
      EXPECT_LT(policy->Limit(now), before) << now;
    }
  }
  policy->OnLoadHint(20000, 0.0);
  EXPECT_EQ(policy->Limit(20000), before);
}

// Guards against sending a cold server its full load at once.
TEST(Admission, LimitRisesInStepsAfterColdStart)
{
  const auto policy = Adaptive();
  MeanInFlight(*policy, 0, 5000, false);
  policy->OnColdStart(5000);
  double previous = 0;
  for (TimeMs now = 5000; now < 35000; now += 6000) {
    EXPECT_GT(policy->Limit(now), previous) << now;
    previous = policy->Limit(now);
    EXPECT_EQ(policy->Limit(now + 5999), previous) << now;
  }
  EXPECT_GT(policy->Limit(35000), previous);
}

// Guards against requests that are lost or decided twice: each one must be run
// or rejected exactly once.
TEST(ServerGate, EveryRequestIsDecidedOnce)
{
  ServerGate gate(Adaptive(), { .limit_ = 8 }, 1);
  std::vector<int> decided(400);
  std::vector<std::pair<TimeMs, uint64_t>> running;
  uint64_t next = 0;
  TimeMs nextPoll = INT64_MAX;
  const auto apply = [&](const GateActions& aActions, TimeMs aNowMs) {
    for (const uint64_t id : aActions.run_) {
      ++decided[id];
      running.emplace_back(aNowMs + 20, id);
    }
    for (const auto& refused : aActions.refuse_) {
      ++decided[refused.id_];
      EXPECT_GT(refused.retryAfterMs_, 0);
    }
    nextPoll = aActions.nextPollMs_;
  };
  for (TimeMs now = 0; now < 1000; ++now) {
    if (now % 2 == 0 && next < decided.size()) {
      GateActions actions;
      gate.Arrive({ next, next % 7, now + 200 }, now, actions);
      ++next;
      apply(actions, now);
    }
    if (!running.empty() && running.front().first <= now) {
      running.erase(running.begin());
      GateActions actions;
      const bool isShed = now % 5 == 0;
      gate.Finish(isShed ? AttemptResult::Shed : AttemptResult::Answered,
                  20,
                  now,
                  actions);
      apply(actions, now);
    }
    if (nextPoll <= now) {
      GateActions actions;
      gate.Poll(now, actions);
      apply(actions, now);
    }
  }
  EXPECT_EQ(decided, std::vector<int>(400, 1));
  EXPECT_EQ(gate.Waiting(), 0u);
}

}
}

#include "scheduling/ColdGuard.hpp"

#include "common/ShortHash.hpp"
#include "scheduling/ColdRate.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kSecondMs = 1000;
/// Of two brokers, while one takes over from the other.
constexpr double kBrokerShare = 0.7;
/// The limit of the grown deployment whose servers become cold.
constexpr ColdLimits kLimits{ 4.7 * 1.5, 8 };

double LimitPerSecond(const ColdLimits& aLimits)
{
  return aLimits.perSecond_ + aLimits.slack_;
}

/// Most requests in one second, of any that begins with a request.
size_t MostInASecond(const std::vector<TimeMs>& aSortedMs)
{
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < aSortedMs.size(); ++last) {
    while (aSortedMs[last] - aSortedMs[first] >= kSecondMs) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

struct Fleet
{
  explicit Fleet(size_t aGateways)
  {
    std::vector<uint32_t> hashes;
    for (size_t index = 0; index < aGateways; ++index) {
      hashes.push_back(ShortHash("front-" + std::to_string(index)));
    }
    for (const auto hash : hashes) {
      guards_.emplace_back(hash).SetGateways(hashes);
    }
  }

  /// Each gateway sends whenever it may. Returns the times.
  std::vector<TimeMs> Flood(uint32_t aServer,
                            const ColdLimits& aLimits,
                            TimeMs aForMs)
  {
    std::vector<TimeMs> sentMs;
    for (TimeMs nowMs = 0; nowMs < aForMs; nowMs += 10) {
      for (auto& guard : guards_) {
        while (guard.MaySend(aServer, aLimits, nowMs)) {
          guard.OnSent(aServer, aLimits, nowMs);
          sentMs.push_back(nowMs);
        }
      }
    }
    return sentMs;
  }

  std::deque<ColdGuard> guards_;
};

// Guards against a cold server that crashes because each of many gateways sends
// it a few requests: 8, 65 and 300 gateways that flood it together with a
// broker. And against a limit of which nothing is used.
TEST(ColdGuard, SumOfAllGatewaysAndTheBrokerStaysBelowTheLimit)
{
  for (const size_t gateways : { 1, 8, 65, 300 }) {
    for (uint32_t server = 1; server <= 5; ++server) {
      Fleet fleet(gateways);
      auto sentMs = fleet.Flood(server, kLimits, 5 * kSecondMs);
      EXPECT_GE(sentMs.size(), 5U) << gateways;
      ColdRate broker(kLimits, kBrokerShare, 0);
      for (TimeMs nowMs = 0; nowMs < 5 * kSecondMs; nowMs += 10) {
        while (broker.TryTake(nowMs)) {
          sentMs.push_back(nowMs);
        }
      }
      std::ranges::sort(sentMs);
      EXPECT_LE(static_cast<double>(MostInASecond(sentMs)),
                LimitPerSecond(kLimits))
        << gateways << " gateways";
    }
  }
}

// Guards against gateways that all favour the same few servers, or servers that
// no gateway may send to.
TEST(ColdGuard, EachServerHasItsGateways)
{
  constexpr size_t kGateways = 65;
  Fleet fleet(kGateways);
  std::vector<size_t> parts(kGateways);
  for (uint32_t server = 1; server <= 100; ++server) {
    size_t holders = 0;
    for (size_t index = 0; index < kGateways; ++index) {
      const bool may = fleet.guards_[index].MaySend(server, kLimits, 0);
      holders += may ? 1 : 0;
      parts[index] += may ? 1 : 0;
    }
    EXPECT_EQ(holders,
              static_cast<size_t>(LimitPerSecond(kLimits) * ColdGuard::kShare));
  }
  EXPECT_GT(*std::ranges::min_element(parts), 0U);
}

// Guards against a gateway that takes the part of all others when it is cut
// off: those that it doesn't hear still count.
TEST(ColdGuard, GatewaysThatAreNotHeardKeepTheirPart)
{
  Fleet fleet(300);
  size_t most = 0;
  for (auto& guard : fleet.guards_) {
    size_t sent = 0;
    while (guard.MaySend(7, kLimits, 0)) {
      guard.OnSent(7, kLimits, 0);
      ++sent;
    }
    most = std::max(most, sent);
  }
  EXPECT_EQ(most, 1U);
}

// Guards against a frozen gateway that sends a whole queue when it resumes:
// what it had decided on and what it may send then are both bounded by its
// part.
TEST(ColdGuard, FrozenGatewayHasNoMoreThanItsPart)
{
  ColdGuard guard(1);
  guard.SetGateways({});
  const auto burst = [&](TimeMs aNowMs) {
    size_t sent = 0;
    for (; guard.MaySend(7, kLimits, aNowMs); ++sent) {
      guard.OnSent(7, kLimits, aNowMs);
    }
    return sent;
  };
  const auto before = burst(0);
  const auto after = burst(3 * kSecondMs);
  EXPECT_LE(static_cast<double>(before + after) +
              LimitPerSecond(kLimits) * (1 - 2 * ColdGuard::kShare),
            LimitPerSecond(kLimits) + 1);
  EXPECT_EQ(before, after);
}

// Guards against a gateway that has just started, knows few of the others and
// takes their part.
TEST(ColdGuard, NothingWithoutTheListOfGateways)
{
  ColdGuard guard(1);
  EXPECT_FALSE(guard.MaySend(7, kLimits, 0));
  guard.SetGateways({});
  EXPECT_TRUE(guard.MaySend(7, kLimits, 0));
}

// Guards against callers that are told to come back before there is room, or
// long after.
TEST(ColdGuard, WaitEndsWhenARequestMayBeSent)
{
  ColdGuard guard(1);
  guard.SetGateways({});
  EXPECT_EQ(guard.WaitMs(7, kLimits, 0), 0);
  while (guard.MaySend(7, kLimits, 100)) {
    guard.OnSent(7, kLimits, 100);
  }
  const TimeMs waitMs = guard.WaitMs(7, kLimits, 300);
  EXPECT_FALSE(guard.MaySend(7, kLimits, 300 + waitMs - 1));
  EXPECT_TRUE(guard.MaySend(7, kLimits, 300 + waitMs));
  EXPECT_EQ(guard.WaitMs(7, { 0.1, 0 }, 300), ColdGuard::kWindowMs);
}

// Guards against a sum above the limit for some number of gateways, limit or
// moment at which gateways join.
RC_GTEST_PROP(ColdGuardProperty, SumStaysBelowTheShare, ())
{
  const auto gateways = *rc::gen::inRange<size_t>(1, 60);
  const ColdLimits limits{ *rc::gen::inRange(1, 400) / 10.0,
                           *rc::gen::inRange(0, 200) / 10.0 };
  const auto server = *rc::gen::arbitrary<uint32_t>();
  Fleet fleet(gateways);
  std::vector<TimeMs> sentMs;
  TimeMs nowMs = 0;
  for (const auto stepMs :
       *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(0, 300))) {
    nowMs += stepMs;
    auto& guard = fleet.guards_[*rc::gen::inRange<size_t>(0, gateways)];
    while (guard.MaySend(server, limits, nowMs)) {
      guard.OnSent(server, limits, nowMs);
      sentMs.push_back(nowMs);
    }
    if (*rc::gen::inRange(0, 5) == 0) {
      guard.Expire(nowMs);
    }
  }
  RC_ASSERT(static_cast<double>(MostInASecond(sentMs)) <=
            LimitPerSecond(limits) * ColdGuard::kShare);
}

}
}

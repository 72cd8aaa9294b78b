#include "keyspace/KeyBalancer.hpp"
#include "keyspace/KeyOwnerMap.hpp"
#include "membership/BackendDirectory.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

/// Key ownership with granted servers and a load, balanced until it is stable.
class BalanceWorld
{
public:
  explicit BalanceWorld(const std::map<std::string, double>& aCapacities)
  {
    for (const auto& [id, capacity] : aCapacities) {
      candidates_[id] = { 1, true, capacity };
    }
    ownership_.SetCandidates(candidates_, nowMs_);
    Round({});
  }
  void Round(const KeyOwnership::Balance& aBalance)
  {
    if (const auto change =
          ownership_.Propose([this] { return ++fence_; }, aBalance, nowMs_)) {
      ownership_.Commit(*change, nowMs_);
    }
    for (int pass = 0; pass < 4; ++pass) {
      for (const auto& order : ownership_.TakeCommands(nowMs_)) {
        ownership_.OnCommandDone(order, KeyCommandResult::Accepted, "", nowMs_);
      }
    }
    nowMs_ += 400;
  }
  int Balance(const KeyLoad& aLoad, int aRounds)
  {
    int moves = 0;
    const auto rates = aLoad.Rates(loadMs_);
    for (int round = 0; round < aRounds; ++round) {
      Round([&](const KeyOwnership& aOwnership) {
        auto plan = KeyBalancer().Plan(aOwnership, rates, 0.1, nowMs_);
        moves += static_cast<int>(plan.size());
        return plan;
      });
    }
    return moves;
  }
  std::map<std::string, double> Use(const KeyLoad& aLoad) const
  {
    std::map<std::string, double> use;
    const auto rates = aLoad.Rates(loadMs_);
    for (const auto& segment : ownership_.Segments()) {
      use[segment.owner_] += rates.Rate(segment.first_, segment.last_) * 0.1 /
                             candidates_.at(segment.owner_).capacity_;
    }
    return use;
  }
  double Peak(const KeyLoad& aLoad) const
  {
    const auto use = Use(aLoad);
    return std::ranges::max_element(
             use, {}, [](const auto& aEntry) { return aEntry.second; })
      ->second;
  }

  TimeMs nowMs_ = 1000;
  TimeMs loadMs_ = 5000;
  int64_t fence_ = 0;
  std::map<std::string, OwnerCandidate> candidates_;
  KeyOwnership ownership_{ "s", {} };
};

// Guards against a flood of neighbouring keys that stays with one server, with
// servers of different speed.
TEST(KeyBalancer, SpreadsAFloodOfNeighbouringKeys)
{
  BalanceWorld world(
    { { "a", 6 }, { "b", 3.6 }, { "c", 8.4 }, { "d", 6 }, { "e", 6 } });
  KeyLoad load;
  for (uint32_t key = 0; key < kKeyCount; key += 64) {
    load.Add(key, 0.4, 5000);
  }
  for (uint32_t key = 20000; key < 20200; ++key) {
    load.Add(key, 1, 5000);
  }
  const double before = world.Peak(load);
  world.Balance(load, 6);
  const auto use = world.Use(load);
  double mean = 0;
  for (const auto& [id, value] : use) {
    mean += value / static_cast<double>(use.size());
  }
  EXPECT_GT(before, 2 * mean);
  EXPECT_LT(world.Peak(load), 1.3 * mean);
}

// Guards against moves that answer noise: a balanced service must stay still.
TEST(KeyBalancer, StaysStillWhenBalanced)
{
  BalanceWorld world({ { "a", 6 }, { "b", 6 }, { "c", 6 }, { "d", 6 } });
  KeyLoad load;
  for (uint32_t key = 0; key < kKeyCount; key += 8) {
    load.Add(key, 0.05, 5000);
  }
  EXPECT_EQ(world.Balance(load, 5), 0);
}

// Guards against overloaded owners that a large fleet cannot tell from noise:
// each of them sees 9 requests/s.
TEST(KeyLoad, LongerWindowsShowWhoIsOverloaded)
{
  KeyLoad shorter;
  KeyLoad longer(KeyLoad::kLargeFleetHalfLifeMs);
  for (TimeMs nowMs = 1000; nowMs < 21000; nowMs += 100) {
    shorter.Add(1, 0.9, nowMs);
    longer.Add(1, 0.9, nowMs);
  }
  const auto noise = [](const KeyLoad& aLoad) {
    const auto rates = aLoad.Rates(21000);
    EXPECT_NEAR(rates.Rate(1, 1), 9, 0.5);
    return 1 / std::sqrt(rates.Samples(rates.Rate(1, 1)));
  };
  EXPECT_GT(noise(shorter), 0.2);
  EXPECT_LT(noise(longer), 0.15);
}

// Guards against a hot key that stays with a slow owner: one owner is the limit
// of what the key's callers get, so it is the fastest, with nothing beside it.
TEST(KeyBalancer, GivesAKeyThatIsTooHotToTheFastestServer)
{
  BalanceWorld world(
    { { "a", 6 }, { "b", 3 }, { "c", 9 }, { "d", 6 }, { "e", 6 } });
  KeyLoad load;
  for (uint32_t key = 0; key < kKeyCount; key += 64) {
    load.Add(key, 0.02, 5000);
  }
  const uint32_t hot = 15000; // of server b
  load.Add(hot, 30, 5000);
  world.Balance(load, 8);
  const auto* segment = FindSegment(world.ownership_.Segments(), hot);
  EXPECT_EQ(segment->owner_, "c");
  const auto rates = load.Rates(world.loadMs_);
  double beside = 0;
  for (const auto& part : world.ownership_.Segments()) {
    if (part.owner_ == "c") {
      beside += rates.Rate(part.first_, part.last_);
    }
  }
  beside -= rates.Rate(hot, hot);
  EXPECT_LT(beside, rates.Total() * 0.02);
  EXPECT_LE(world.Balance(load, 4), 2) << "moves although nothing changes";
}

// Guards against other keys that stay with the owner of a key that is too hot
// for any server.
TEST(KeyBalancer, ClearsTheServerOfAKeyThatIsTooHot)
{
  BalanceWorld world({ { "a", 3 }, { "b", 3 }, { "c", 3 }, { "d", 3 } });
  KeyLoad load;
  for (uint32_t key = 0; key < kKeyCount; key += 64) {
    load.Add(key, 0.1, 5000);
  }
  load.Add(3000, 300, 5000);
  world.Balance(load, 8);
  const auto* hot = FindSegment(world.ownership_.Segments(), 3000);
  const auto rates = load.Rates(world.loadMs_);
  double beside = 0;
  for (const auto& segment : world.ownership_.Segments()) {
    if (segment.owner_ == hot->owner_) {
      beside += rates.Rate(segment.first_, segment.last_);
    }
  }
  beside -= rates.Rate(3000, 3000);
  EXPECT_LT(beside, rates.Total() * 0.02);
}

// Guards against rates that differ from what was counted.
RC_GTEST_PROP(KeyRates, CutsAtTheWantedRate, ())
{
  KeyLoad load;
  for (int index = 0; index < 200; ++index) {
    load.Add(static_cast<uint32_t>(*rc::gen::inRange(0, 1000)),
             *rc::gen::inRange(1, 50),
             1000);
  }
  const auto rates = load.Rates(1000);
  const double wanted = rates.Total() * *rc::gen::inRange(0, 100) / 100;
  const auto last = rates.LastWithin(0, 999, wanted);
  constexpr double kRounding = 1e-6;
  if (last >= 0) {
    RC_ASSERT(rates.Rate(0, static_cast<uint32_t>(last)) <=
              wanted + kRounding * rates.Total());
  }
  if (last < 999) {
    RC_ASSERT(rates.Rate(0, static_cast<uint32_t>(last) + 1) >
              wanted - kRounding * rates.Total());
  }
}

// Guards against owners that depend on the order in which gossip and the store
// tell of them.
RC_GTEST_PROP(KeyOwnerMap, OrderMakesNoDifference, ())
{
  std::vector<KeyOwnerMap::Range> ranges;
  const int count = *rc::gen::inRange(1, 20);
  for (int64_t fence = 1; fence <= count; ++fence) {
    const auto first = static_cast<uint32_t>(*rc::gen::inRange(0, 100));
    const auto last = static_cast<uint32_t>(
      *rc::gen::inRange<int>(static_cast<int>(first), 120));
    ranges.push_back(
      { first, last, { "s" + std::to_string(fence % 5), fence, false } });
    ranges.push_back(
      { first, last, { "s" + std::to_string(fence % 5), fence, true } });
  }
  auto shuffled = ranges;
  for (size_t index = shuffled.size(); index > 1; --index) {
    std::swap(shuffled[index - 1],
              shuffled[*rc::gen::inRange<size_t>(0, index)]);
  }
  KeyOwnerMap left;
  KeyOwnerMap right;
  std::ranges::for_each(ranges,
                        [&](const auto& aRange) { left.Apply("s", aRange); });
  std::ranges::for_each(shuffled,
                        [&](const auto& aRange) { right.Apply("s", aRange); });
  for (uint32_t key = 0; key < 130; ++key) {
    const auto* one = left.Find("s", key);
    const auto* other = right.Find("s", key);
    RC_ASSERT((one == nullptr) == (other == nullptr));
    if (one != nullptr) {
      RC_ASSERT(one->id_ == other->id_ && one->fence_ == other->fence_ &&
                one->active_ == other->active_);
    }
  }
}

constexpr TimeMs kDrainMs = 2000;

BackendEntry Entry(const char* aId, BackendState aState = BackendState::Ready)
{
  BackendEntry entry;
  entry.id_ = aId;
  entry.state_ = aState;
  return entry;
}

// Guards against requests to a server whose registration is gone.
TEST(BackendDirectory, RemovesAtOnceInCalmTimes)
{
  BackendDirectory directory(kDrainMs);
  directory.ApplyList({ Entry("a"), Entry("b") }, 1000);
  directory.ApplyRemoved("a", 2000);
  EXPECT_FALSE(directory.Entries().contains("a"));
}

// Guards against a leaving server that is used again after its registration was
// read again, and against its next life that is not used.
TEST(BackendDirectory, LeavingBelongsToALife)
{
  BackendDirectory here(kDrainMs);
  BackendDirectory peer(kDrainMs);
  auto entry = Entry("a");
  entry.startTimeMs_ = 5;
  here.ApplyPut(entry, 0);
  peer.ApplyPut(entry, 0);
  here.TakeChanges();
  EXPECT_TRUE(here.MarkLeaving("a", 5));
  EXPECT_FALSE(here.MarkLeaving("a", 5));
  EXPECT_TRUE(here.TakeChanges().contains("a"));
  EXPECT_FALSE(here.Entries().at("a").TakesNewWork());
  // The mark is no registration, so directories stay equal.
  EXPECT_EQ(here.Digest(), peer.Digest());
  EXPECT_TRUE(peer.MarkLeaving(here.LeavingIncarnations(10)));
  EXPECT_FALSE(peer.MarkLeaving(here.LeavingIncarnations(10)));
  EXPECT_FALSE(peer.Entries().at("a").TakesNewWork());
  // A relisting, and a watch that replays the removal and the registration.
  here.ApplyList({ entry }, 1);
  here.ApplyRemoved("a", 2);
  EXPECT_FALSE(here.Entries().contains("a"));
  here.ApplyPut(entry, 3);
  EXPECT_FALSE(here.Entries().at("a").TakesNewWork());
  EXPECT_EQ(here.LeavingIncarnations(10).size(), 1U);
  EXPECT_TRUE(here.LeavingIncarnations(0).empty());
  // Once the registration says it, the others need not be told.
  entry.state_ = BackendState::Draining;
  here.ApplyPut(entry, 4);
  EXPECT_TRUE(here.LeavingIncarnations(10).empty());
  // The next life takes work again, and an old notice does not concern it.
  entry.state_ = BackendState::Ready;
  entry.startTimeMs_ = 6;
  here.ApplyPut(entry, 5);
  EXPECT_FALSE(here.MarkLeaving("a", 5));
  EXPECT_TRUE(here.Entries().at("a").TakesNewWork());
}

// Guards against dropping living servers whose registrations lapsed while the
// store was away, and (tas-south, hunt-d1ba-15) against keeping one that left
// for longer than 2 s.
TEST(BackendDirectory, KeepsLapsedEntriesForAWhile)
{
  BackendDirectory directory(kDrainMs);
  directory.ApplyList({ Entry("a"), Entry("b") }, 1000);
  directory.OnStoreCallFailed(5000);
  directory.ApplyList({ Entry("b") }, 5100);
  EXPECT_TRUE(directory.Entries().contains("a"));
  directory.Expire(5100 + 1599);
  EXPECT_TRUE(directory.Entries().contains("a"));
  EXPECT_TRUE(directory.Expire(5100 + 1601));
  EXPECT_FALSE(directory.Entries().contains("a"));
  EXPECT_TRUE(directory.Entries().contains("b"));
}

// Guards against a grace time that does not follow the deployment's bound for
// servers that leave.
TEST(BackendDirectory, GraceEndsBeforeTheDrainBound)
{
  // Bounds of the users' deployments and odd ones; the grace time itself is at
  // most 2.2 s.
  for (const TimeMs drainMs : { 700, 1000, 2000, 2500, 3000, 60000 }) {
    BackendDirectory directory(drainMs);
    directory.ApplyList({ Entry("a"), Entry("b") }, 1000);
    directory.OnStoreCallFailed(5000);
    directory.ApplyRemoved("a", 5000);
    const TimeMs endMs = 5000 + std::min<TimeMs>(drainMs - 400, 2200);
    EXPECT_FALSE(directory.Expire(endMs - 1)) << drainMs;
    EXPECT_TRUE(directory.Expire(endMs)) << drainMs;
  }
}

// Guards against failing calls that prolong the grace time again and again: the
// server left meanwhile (large eg-north trouble-1, rule DRAIN).
TEST(BackendDirectory, DisturbancesDoNotProlongTheGraceBeyondTheBound)
{
  BackendDirectory directory(3000);
  directory.ApplyList({ Entry("a"), Entry("b") }, 1000);
  directory.OnStoreCallFailed(5000);
  directory.ApplyRemoved("a", 5000);
  for (TimeMs nowMs = 5100; nowMs < 7600; nowMs += 100) {
    directory.OnStoreCallFailed(nowMs);
    EXPECT_FALSE(directory.Expire(nowMs)) << nowMs;
  }
  EXPECT_TRUE(directory.Expire(5000 + 3000 - 400));
}

// Guards against waiting for a server that said that it leaves.
TEST(BackendDirectory, DoesNotWaitForDrainingServers)
{
  BackendDirectory directory(kDrainMs);
  directory.ApplyList({ Entry("a", BackendState::Draining) }, 1000);
  directory.OnStoreCallFailed(1500);
  directory.ApplyRemoved("a", 1600);
  EXPECT_FALSE(directory.Entries().contains("a"));
}

// Guards against a leader that keeps a server which has left for its grace time
// although a gateway beside it saw the removal, and restores it at all others
// (tas-south leader-in-series, rule DRAIN).
TEST(BackendDirectory, RemovalSeenByOthersNeedsNoGrace)
{
  for (const bool toldFirst : { false, true }) {
    BackendDirectory directory(kDrainMs);
    directory.ApplyList({ Entry("a"), Entry("b") }, 1000);
    directory.OnStoreCallFailed(1500);
    if (toldFirst) {
      directory.ConfirmRemoved("a", 1590);
    }
    directory.ApplyRemoved("a", 1600);
    EXPECT_EQ(directory.Entries().contains("a"), !toldFirst);
    directory.ConfirmRemoved("a", 1610);
    EXPECT_FALSE(directory.Entries().contains("a"));
    // It is back, and goes missing with a later disturbance.
    directory.ApplyPut(Entry("a"), 2000);
    directory.OnStoreCallFailed(2100);
    directory.ApplyRemoved("a", 2200);
    EXPECT_TRUE(directory.Entries().contains("a"));
    EXPECT_TRUE(directory.Entries().contains("b"));
  }
}

// Guards against gateways that recompute all places with every beat of every
// server: with 350 servers it took half of the processor time of small
// gateways, which then served requests of callers that had left.
TEST(BackendDirectory, BeatsChangeNothing)
{
  BackendDirectory directory(kDrainMs);
  directory.ApplyList({ Entry("a"), Entry("b") }, 1000);
  EXPECT_EQ(directory.TakeChanges(), (std::set<std::string>{ "a", "b" }));
  auto beat = Entry("a");
  beat.coldRemainingMs_ = 700;
  directory.ApplyPut(beat, 1100);
  directory.ApplyList({ Entry("a"), Entry("b") }, 1200);
  EXPECT_TRUE(directory.TakeChanges().empty());
  directory.ApplyPut(Entry("a", BackendState::Draining), 1300);
  directory.ApplyRemoved("b", 1300);
  EXPECT_EQ(directory.TakeChanges(), (std::set<std::string>{ "a", "b" }));
  directory.Replace({ Entry("a") }, 1400);
  EXPECT_EQ(directory.TakeChanges(), (std::set<std::string>{ "a" }));
}

// Guards against a gateway that takes another directory for its own.
TEST(BackendDirectory, DigestTellsDirectoriesApart)
{
  BackendDirectory one(kDrainMs);
  BackendDirectory other(kDrainMs);
  one.ApplyList({ Entry("a"), Entry("b") }, 1);
  other.ApplyList({ Entry("b"), Entry("a") }, 2);
  EXPECT_EQ(one.Digest(), other.Digest());
  other.ApplyPut(Entry("a", BackendState::Draining), 3);
  EXPECT_NE(one.Digest(), other.Digest());
  other.Replace({ Entry("a"), Entry("b") }, 4);
  EXPECT_EQ(one.Digest(), other.Digest());
}

}
}

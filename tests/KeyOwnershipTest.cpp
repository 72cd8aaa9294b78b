#include "keyspace/KeyOwnership.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {
namespace {

/// A key ownership with two servers, driven by hand.
class KeyOwnershipTest : public testing::Test
{
protected:
  KeyOwnershipTest() { SetServers({ "a", "b" }); }

  void SetServers(const std::vector<std::string>& aUsable)
  {
    std::map<std::string, OwnerCandidate> candidates;
    for (const auto& id : aUsable) {
      candidates[id] = { born_[id], true, 1 };
    }
    ownership_.SetCandidates(candidates, nowMs_);
  }
  /// Proposes, commits, and returns the orders that follow.
  std::vector<KeyCommand> Step(const KeyOwnership::Balance& aBalance = {})
  {
    if (const auto change =
          ownership_.Propose([this] { return ++fence_; }, aBalance, nowMs_)) {
      ownership_.Commit(*change, nowMs_);
    }
    return ownership_.TakeCommands(nowMs_);
  }
  void Answer(const KeyCommand& aOrder, KeyCommandResult aResult)
  {
    ownership_.OnCommandDone(aOrder, aResult, "", nowMs_);
  }
  void AcceptAll(const std::vector<KeyCommand>& aOrders)
  {
    std::ranges::for_each(aOrders, [&](const auto& aOrder) {
      Answer(aOrder, KeyCommandResult::Accepted);
    });
  }
  /// Both servers hold their halves.
  void Start()
  {
    AcceptAll(Step());
    Step();
  }
  static bool Grants(const std::vector<KeyCommand>& aOrders,
                     const std::string& aBackend,
                     uint32_t aKey)
  {
    return std::ranges::any_of(aOrders, [&](const auto& aOrder) {
      return aOrder.kind_ == KeyCommandKind::Grant &&
             aOrder.backend_ == aBackend && aOrder.first_ <= aKey &&
             aKey <= aOrder.last_;
    });
  }
  static const KeyCommand* Release(const std::vector<KeyCommand>& aOrders)
  {
    const auto found =
      std::ranges::find(aOrders,
                        KeyCommandKind::Release,
                        [](const auto& aOrder) { return aOrder.kind_; });
    return found == aOrders.end() ? nullptr : &*found;
  }
  KeyOwnership::Balance MoveTo(uint32_t aFirst, uint32_t aLast, const char* aTo)
  {
    return [=](const KeyOwnership&) {
      return std::vector<KeyOwnership::Move>{ { aFirst, aLast, aTo } };
    };
  }

  std::map<std::string, int64_t> born_;
  LeaseTiming timing_;
  TimeMs nowMs_ = 1000;
  int64_t fence_ = 100;
  KeyOwnership ownership_{ "s", timing_ };
};

// Guards against keys without an owner, or with two, in the first table.
TEST_F(KeyOwnershipTest, FirstTableCoversAllKeys)
{
  Start();
  const auto& segments = ownership_.Segments();
  ASSERT_EQ(segments.size(), 2U);
  EXPECT_EQ(segments.front().first_, 0U);
  EXPECT_EQ(segments.back().last_, kKeyCount - 1);
  EXPECT_EQ(segments[0].last_ + 1, segments[1].first_);
  EXPECT_TRUE(ownership_.IsActive(0));
}

// Guards against a new owner that gets keys before the old one let them go.
TEST_F(KeyOwnershipTest, MoveWaitsForTheRelease)
{
  Start();
  nowMs_ += 10;
  auto orders = Step(MoveTo(0, 99, "b"));
  const auto* release = Release(orders);
  ASSERT_NE(release, nullptr);
  EXPECT_EQ(release->backend_, "a");
  EXPECT_FALSE(Grants(orders, "b", 50));
  Answer(*release, KeyCommandResult::Accepted);
  orders = ownership_.TakeCommands(nowMs_);
  EXPECT_TRUE(Grants(orders, "b", 50));
  EXPECT_FALSE(Grants(orders, "a", 50));
}

// Guards against taking a lost release for done: the old holder keeps its keys
// until its last grant has run out on a clock that is 2% slow.
TEST_F(KeyOwnershipTest, UnansweredReleaseWaitsForTheLapse)
{
  Start();
  const TimeMs grantedMs = nowMs_;
  nowMs_ += 10;
  auto orders = Step(MoveTo(0, 99, "b"));
  Answer(*Release(orders), KeyCommandResult::Unanswered);
  const TimeMs slowEndMs =
    grantedMs + timing_.leaseMs_ + timing_.leaseMs_ * 2 / 100;
  for (; nowMs_ <= slowEndMs; nowMs_ += 50) {
    orders = ownership_.TakeCommands(nowMs_);
    ASSERT_FALSE(Grants(orders, "b", 50)) << nowMs_;
    if (const auto* release = Release(orders)) {
      Answer(*release, KeyCommandResult::NotSent);
    }
  }
  nowMs_ += 100;
  EXPECT_TRUE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
}

// Guards against a renewal without an answer that is carried out after the
// release of the same keys was answered.
TEST_F(KeyOwnershipTest, LateRenewalKeepsTheMoveWaiting)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  const auto renewals = ownership_.TakeCommands(nowMs_);
  const auto renewal = std::ranges::find(
    renewals, "a", [](const auto& aOrder) { return aOrder.backend_; });
  ASSERT_NE(renewal, renewals.end());
  Answer(*renewal, KeyCommandResult::Unanswered);
  auto orders = Step(MoveTo(0, 99, "b"));
  const auto* release = Release(orders);
  ASSERT_NE(release, nullptr);
  Answer(*release, KeyCommandResult::Accepted);
  EXPECT_FALSE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
  nowMs_ += timing_.leaseMs_ * 102 / 100 + 400;
  EXPECT_TRUE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
}

// Guards against a grant under way that arrives after the release.
TEST_F(KeyOwnershipTest, RenewalInFlightKeepsTheMoveWaiting)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  const auto renewals = ownership_.TakeCommands(nowMs_);
  auto orders = Step(MoveTo(0, 99, "b"));
  Answer(*Release(orders), KeyCommandResult::Accepted);
  EXPECT_FALSE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
  AcceptAll(renewals);
  // It took effect after the release, so the keys are released once more.
  nowMs_ += timing_.retryIntervalMs_;
  orders = ownership_.TakeCommands(nowMs_);
  ASSERT_NE(Release(orders), nullptr);
  EXPECT_FALSE(Grants(orders, "b", 50));
}

// Guards against a fence that a server or an earlier leader could outbid.
TEST_F(KeyOwnershipTest, FencesGrowWithEveryMove)
{
  Start();
  const auto before = ownership_.Segments()[0].fence_;
  nowMs_ += 10;
  Step(MoveTo(0, 99, "b"));
  EXPECT_GT(ownership_.Segments()[0].fence_, before);
}

// Guards against keys that stay with a server that crashed or drains.
TEST_F(KeyOwnershipTest, LeavingServerLosesItsKeys)
{
  Start();
  nowMs_ += 10;
  SetServers({ "b" });
  const auto orders = Step();
  ASSERT_NE(Release(orders), nullptr);
  EXPECT_TRUE(std::ranges::all_of(ownership_.Segments(), [](const auto& aPart) {
    return aPart.owner_ == "b";
  }));
}

// Guards against a server that started again under its id and is believed to
// hold what its earlier life held.
TEST_F(KeyOwnershipTest, NewLifeGetsANewFence)
{
  Start();
  const auto before = ownership_.Segments()[0];
  nowMs_ += 10;
  born_["a"] = 77;
  SetServers({ "a", "b" });
  const auto orders = Step();
  EXPECT_TRUE(Grants(orders, "a", 0));
  EXPECT_GT(ownership_.Segments()[0].fence_, before.fence_);
  EXPECT_EQ(ownership_.Segments()[0].ownerStartTimeMs_, 77);
}

// Guards against a silent server that keeps its keys for good, and against
// grants to the next one before the silent one's hold is over.
TEST_F(KeyOwnershipTest, SilentServerIsReplacedAfterItsHold)
{
  Start();
  const TimeMs heldUntilMs = nowMs_ + timing_.leaseMs_ * 102 / 100;
  TimeMs movedMs = 0;
  for (; nowMs_ < 20000 && movedMs == 0; nowMs_ += 30) {
    for (const auto& order : Step()) {
      if (order.backend_ == "a") {
        Answer(order, KeyCommandResult::NotSent);
        continue;
      }
      if (order.kind_ == KeyCommandKind::Grant && order.first_ == 0) {
        movedMs = nowMs_;
      }
      Answer(order, KeyCommandResult::Accepted);
    }
  }
  EXPECT_GE(movedMs, heldUntilMs);
  EXPECT_LT(movedMs, heldUntilMs + 500);
}

// Guards against waiting for a holder whose address another server has taken
// over (eg-north trouble-3: 10 s without an owner).
TEST_F(KeyOwnershipTest, MisdirectedReleaseEndsTheHold)
{
  Start();
  KeyOwnership next("s", timing_);
  int64_t fence = 1 << 24;
  next.Adopt(
    ownership_.Segments(), [&] { return ++fence; }, nowMs_);
  std::map<std::string, OwnerCandidate> candidates;
  candidates["b"] = { 0, true, 1 };
  next.SetCandidates(candidates, nowMs_);
  const auto change = next.Propose([&] { return ++fence; }, {}, nowMs_);
  ASSERT_TRUE(change);
  next.Commit(*change, nowMs_);
  const auto orders = next.TakeCommands(nowMs_);
  const auto* release = Release(orders);
  ASSERT_NE(release, nullptr);
  EXPECT_EQ(release->backend_, "a");
  next.OnCommandDone(*release, KeyCommandResult::Misdirected, "", nowMs_);
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 0));
}

// Guards against a new leader that moves keys while the old one may still renew
// them, and against one that waits longer than it has to.
TEST_F(KeyOwnershipTest, TakeoverFencesTheOldLeaderOut)
{
  Start();
  KeyOwnership next("s", timing_);
  int64_t fence = 1 << 24;
  next.Adopt(
    ownership_.Segments(), [&] { return ++fence; }, nowMs_);
  std::map<std::string, OwnerCandidate> candidates;
  candidates["a"] = { 0, true, 1 };
  candidates["b"] = { 0, true, 1 };
  next.SetCandidates(candidates, nowMs_);
  auto grants = next.TakeCommands(nowMs_);
  ASSERT_EQ(grants.size(), 2U);
  // Server b takes the new fence; server a does not answer.
  for (const auto& order : grants) {
    next.OnCommandDone(order,
                       order.backend_ == "b" ? KeyCommandResult::Accepted
                                             : KeyCommandResult::NotSent,
                       "",
                       nowMs_);
  }
  const auto change =
    next.Propose([&] { return ++fence; }, MoveTo(0, 99, "b"), nowMs_);
  ASSERT_TRUE(change);
  next.Commit(*change, nowMs_);
  for (const auto& order : next.TakeCommands(nowMs_)) {
    EXPECT_FALSE(order.kind_ == KeyCommandKind::Grant && order.first_ == 0);
    next.OnCommandDone(order, KeyCommandResult::Accepted, "", nowMs_);
  }
  // The release alone does not help: the old leader may grant again.
  nowMs_ += timing_.leaseMs_ * 2;
  EXPECT_FALSE(Grants(next.TakeCommands(nowMs_), "b", 50));
  next.OnEarlierLeadersEnded(nowMs_);
  nowMs_ += timing_.leaseMs_ * 102 / 100 + 60;
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 50));
}

// Guards against a successor with fewer backend servers and shorter grants that
// takes the keys of a silent server before the longer grant has run out.
TEST_F(KeyOwnershipTest, LongerGrantsOfAnEarlierLeaderRunOut)
{
  Start();
  auto timing = LeaseTiming::For(100, 10000);
  const auto earlier = LeaseTiming::For(200, 10000);
  ASSERT_GT(earlier.leaseMs_, timing.leaseMs_);
  timing.maxEarlierLeaseMs_ = earlier.leaseMs_;
  KeyOwnership next("s", timing);
  int64_t fence = 1 << 24;
  next.Adopt(
    ownership_.Segments(), [&] { return ++fence; }, nowMs_);
  next.SetCandidates({ { "b", { 0, true, 1 } } }, nowMs_);
  next.OnEarlierLeadersEnded(nowMs_);
  const TimeMs heldUntilMs = nowMs_ + earlier.leaseMs_ * 102 / 100;
  if (const auto change = next.Propose([&] { return ++fence; }, {}, nowMs_)) {
    next.Commit(*change, nowMs_);
  }
  for (; nowMs_ <= heldUntilMs; nowMs_ += 50) {
    for (const auto& order : next.TakeCommands(nowMs_)) {
      ASSERT_FALSE(order.kind_ == KeyCommandKind::Grant && order.first_ == 0);
      next.OnCommandDone(order,
                         order.backend_ == "b" ? KeyCommandResult::Accepted
                                               : KeyCommandResult::Unanswered,
                         "",
                         nowMs_);
    }
  }
  nowMs_ += 400;
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 50));
}

// Guards against a leader that may have been replaced and grants a server anew
// that did not answer: it may be another life, which knows no newer fence.
TEST_F(KeyOwnershipTest, PossiblyReplacedLeaderOnlyProlongs)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  auto renewals = ownership_.TakeCommands(nowMs_, GrantScope::Renewals);
  ASSERT_EQ(renewals.size(), 2U);
  for (const auto& order : renewals) {
    Answer(order,
           order.backend_ == "a" ? KeyCommandResult::NotSent
                                 : KeyCommandResult::Accepted);
  }
  nowMs_ += timing_.renewIntervalMs_;
  renewals = ownership_.TakeCommands(nowMs_, GrantScope::Renewals);
  ASSERT_EQ(renewals.size(), 1U);
  EXPECT_EQ(renewals.front().backend_, "b");
  EXPECT_TRUE(Grants(ownership_.TakeCommands(nowMs_), "a", 50));
}

// Guards against grants that backend servers refuse as too long.
TEST(LeaseTiming, KeepsTheLongestHoldOfTheServers)
{
  for (const size_t servers : { size_t{ 8 }, size_t{ 500 } }) {
    const auto timing = LeaseTiming::For(servers, 1500);
    EXPECT_EQ(timing.leaseMs_, 1500);
    EXPECT_LT(timing.renewIntervalMs_, 700);
    EXPECT_GT(LeaseTiming::For(servers, 10000).leaseMs_, 2000);
  }
}

// Guards against a table that the store gives back changed.
TEST(KeyTable, SurvivesTheStore)
{
  KeyTable table{ 3, 9, 4000, {} };
  table.services_["s"] = { { 0, 99, "a", 5, 77, { "b", "c" } },
                           { 100, kKeyCount - 1, "b", 6, 78, {} } };
  KeyTable back;
  ASSERT_TRUE(DecodeKeyTable(EncodeKeyTable(table), back));
  EXPECT_EQ(back.term_, 3);
  EXPECT_EQ(back.writeId_, 9);
  EXPECT_EQ(back.leaseMs_, 4000);
  EXPECT_EQ(back.services_, table.services_);
  // Written by a version that did not name its grants.
  auto older = EncodeKeyTable(table);
  older.erase("holdMs");
  ASSERT_TRUE(DecodeKeyTable(older, back));
  EXPECT_GE(back.leaseMs_, 4000);
}

// Guards against a table with holes, overlaps or other content.
TEST(KeyTable, RefusesBrokenTables)
{
  KeyTable table{ 1, 1, 2500, {} };
  KeyTable back;
  table.services_["s"] = { { 0, 99, "a", 5, 77, {} } };
  EXPECT_FALSE(DecodeKeyTable(EncodeKeyTable(table), back));
  table.services_["s"] = { { 0, 99, "a", 5, 77, {} },
                           { 99, kKeyCount - 1, "a", 5, 77, {} } };
  EXPECT_FALSE(DecodeKeyTable(EncodeKeyTable(table), back));
  EXPECT_FALSE(DecodeKeyTable(nlohmann::json("text"), back));
}

// Guards against all keys going to the server that registers first: the first
// table waits until no new server has come for a while, but not for long when
// requests wait for an owner.
TEST(FirstTable, WaitsForTheServersThatAreRegistering)
{
  KeyOwnership ownership("s", {});
  std::map<std::string, OwnerCandidate> servers;
  EXPECT_FALSE(ownership.IsReadyForFirstTable({}, true, 10000));
  // One server each 300 ms, from 10 s on.
  for (int index = 0; index < 10; ++index) {
    servers[std::string(1, static_cast<char>('a' + index))] = { 1, true, 1 };
    ownership.SetCandidates(servers, 10000 + index * 300);
  }
  EXPECT_FALSE(ownership.IsReadyForFirstTable({}, false, 12700 + 599));
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, false, 12700 + 600));
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, true, 12700));
  // Servers that are known already start no new wait.
  ownership.SetCandidates(servers, 13200);
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, false, 13300));
  const auto table = ownership.Propose([] { return 1; }, {}, 13300);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->size(), 10U);
}

// Guards against a first table that never comes while servers come and go.
TEST(FirstTable, IsMadeAtTheLatestAfterTheLimit)
{
  KeyOwnership ownership("s", {});
  for (int index = 0; index < 20; ++index) {
    ownership.SetCandidates({ { std::to_string(index), { 1, true, 1 } } },
                            1000 + index * 400);
  }
  EXPECT_FALSE(ownership.IsReadyForFirstTable({}, false, 6999));
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, false, 8600));
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, true, 2000));
}

}
}

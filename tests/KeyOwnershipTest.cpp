#include "keyspace/KeyOwnership.hpp"

#include "gateway/LeaderElection.hpp"
#include "keyspace/KeyOwnerMap.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {
namespace {

/// KeyOwnership of two servers with manually controlled time and responses.
class KeyOwnershipTest : public testing::Test
{
protected:
  KeyOwnershipTest() { SetServers({ "a", "b" }); }

  void SetServers(const std::vector<std::string>& aUsable)
  {
    std::map<std::string, OwnerCandidate> candidates;
    for (const auto& id : aUsable) {
      candidates[id] = { startTimesMs_[id], true, 1 };
    }
    ownership_.SetCandidates(candidates, nowMs_);
  }
  /// Proposes and commits a table, and returns the commands that follow.
  std::vector<KeyCommand> Step(const KeyOwnership::Balance& aBalance = {})
  {
    if (const auto change =
          ownership_.Propose([this] { return ++fence_; }, aBalance, nowMs_)) {
      ownership_.Commit(*change, nowMs_);
    }
    return ownership_.TakeCommands(nowMs_);
  }
  void Complete(const KeyCommand& aCommand, KeyCommandResult aResult)
  {
    ownership_.OnCommandDone(aCommand, aResult, "", nowMs_);
  }
  void AcceptAll(const std::vector<KeyCommand>& aCommands)
  {
    std::ranges::for_each(aCommands, [&](const auto& aCommand) {
      Complete(aCommand, KeyCommandResult::Accepted);
    });
  }
  /// Makes both servers hold the leases for their halves of the keys.
  void Start()
  {
    AcceptAll(Step());
    Step();
  }
  static bool Grants(const std::vector<KeyCommand>& aCommands,
                     const std::string& aBackend,
                     uint32_t aKey)
  {
    return std::ranges::any_of(aCommands, [&](const auto& aCommand) {
      return aCommand.kind_ == KeyCommandKind::Grant &&
             aCommand.backend_ == aBackend && aCommand.first_ <= aKey &&
             aKey <= aCommand.last_;
    });
  }
  static const KeyCommand* Release(const std::vector<KeyCommand>& aCommands)
  {
    const auto found =
      std::ranges::find(aCommands,
                        KeyCommandKind::Release,
                        [](const auto& aCommand) { return aCommand.kind_; });
    return found == aCommands.end() ? nullptr : &*found;
  }
  KeyOwnership::Balance MoveTo(uint32_t aFirst, uint32_t aLast, const char* aTo)
  {
    return [=](const KeyOwnership&) {
      return std::vector<KeyOwnership::Move>{ { aFirst, aLast, aTo } };
    };
  }

  std::map<std::string, int64_t> startTimesMs_;
  LeaseTiming timing_;
  TimeMs nowMs_ = 1000;
  int64_t fence_ = 100;
  KeyOwnership ownership_{ "s", timing_ };
};

// Guards against keys without an owner or with two owners in the first table.
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

// Guards against granting a lease to the new owner before the previous owner
// has released its own.
TEST_F(KeyOwnershipTest, MoveWaitsForTheRelease)
{
  Start();
  nowMs_ += 10;
  auto commands = Step(MoveTo(0, 99, "b"));
  const auto* release = Release(commands);
  ASSERT_NE(release, nullptr);
  EXPECT_EQ(release->backend_, "a");
  EXPECT_FALSE(Grants(commands, "b", 50));
  Complete(*release, KeyCommandResult::Accepted);
  commands = ownership_.TakeCommands(nowMs_);
  EXPECT_TRUE(Grants(commands, "b", 50));
  EXPECT_FALSE(Grants(commands, "a", 50));
}

// Guards against treating an unanswered release as executed: the previous owner
// may use its keys until its last lease has expired on a clock that is 2% slow.
TEST_F(KeyOwnershipTest, UnansweredReleaseWaitsForLeaseExpiry)
{
  Start();
  const TimeMs grantedMs = nowMs_;
  nowMs_ += 10;
  auto commands = Step(MoveTo(0, 99, "b"));
  Complete(*Release(commands), KeyCommandResult::Unanswered);
  const TimeMs slowEndMs =
    grantedMs + timing_.leaseMs_ + timing_.leaseMs_ * 2 / 100;
  for (; nowMs_ <= slowEndMs; nowMs_ += 50) {
    commands = ownership_.TakeCommands(nowMs_);
    ASSERT_FALSE(Grants(commands, "b", 50)) << nowMs_;
    if (const auto* release = Release(commands)) {
      Complete(*release, KeyCommandResult::NotSent);
    }
  }
  nowMs_ += 100;
  EXPECT_TRUE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
}

// Guards against an unanswered renewal that is executed after the release of
// the same keys was accepted.
TEST_F(KeyOwnershipTest, UnansweredRenewalDelaysTheMove)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  const auto renewals = ownership_.TakeCommands(nowMs_);
  const auto renewal = std::ranges::find(
    renewals, "a", [](const auto& aCommand) { return aCommand.backend_; });
  ASSERT_NE(renewal, renewals.end());
  Complete(*renewal, KeyCommandResult::Unanswered);
  auto commands = Step(MoveTo(0, 99, "b"));
  const auto* release = Release(commands);
  ASSERT_NE(release, nullptr);
  Complete(*release, KeyCommandResult::Accepted);
  EXPECT_FALSE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
  nowMs_ += timing_.leaseMs_ * 102 / 100 + 400;
  EXPECT_TRUE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
}

// Guards against a renewal in flight that arrives after the release.
TEST_F(KeyOwnershipTest, RenewalInFlightDelaysTheMove)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  const auto renewals = ownership_.TakeCommands(nowMs_);
  auto commands = Step(MoveTo(0, 99, "b"));
  Complete(*Release(commands), KeyCommandResult::Accepted);
  EXPECT_FALSE(Grants(ownership_.TakeCommands(nowMs_), "b", 50));
  AcceptAll(renewals);
  // The renewal took effect after the release, so the keys are released again.
  nowMs_ += timing_.retryIntervalMs_;
  commands = ownership_.TakeCommands(nowMs_);
  ASSERT_NE(Release(commands), nullptr);
  EXPECT_FALSE(Grants(commands, "b", 50));
}

// Guards against a new fence that is not higher than those known to servers or
// earlier leaders.
TEST_F(KeyOwnershipTest, FencesGrowWithEveryMove)
{
  Start();
  const auto before = ownership_.Segments()[0].fence_;
  nowMs_ += 10;
  Step(MoveTo(0, 99, "b"));
  EXPECT_GT(ownership_.Segments()[0].fence_, before);
}

// Guards against keys that stay with a server that has crashed or is draining.
TEST_F(KeyOwnershipTest, LeavingServerLosesItsKeys)
{
  Start();
  nowMs_ += 10;
  SetServers({ "b" });
  const auto commands = Step();
  ASSERT_NE(Release(commands), nullptr);
  EXPECT_TRUE(std::ranges::all_of(ownership_.Segments(), [](const auto& aPart) {
    return aPart.owner_ == "b";
  }));
}

// Guards against assuming that a server that restarted under the same id still
// holds the leases of its previous incarnation.
TEST_F(KeyOwnershipTest, NewIncarnationGetsANewFence)
{
  Start();
  const auto before = ownership_.Segments()[0];
  nowMs_ += 10;
  startTimesMs_["a"] = 77;
  SetServers({ "a", "b" });
  const auto commands = Step();
  EXPECT_TRUE(Grants(commands, "a", 0));
  EXPECT_GT(ownership_.Segments()[0].fence_, before.fence_);
  EXPECT_EQ(ownership_.Segments()[0].ownerStartTimeMs_, 77);
}

// Guards against an unresponsive server that keeps its keys indefinitely, and
// against a grant to the next owner before that server's lease has expired.
TEST_F(KeyOwnershipTest, UnresponsiveServerIsReplacedAfterItsLease)
{
  Start();
  const TimeMs leaseEndMs = nowMs_ + timing_.leaseMs_ * 102 / 100;
  TimeMs movedMs = 0;
  for (; nowMs_ < 20000 && movedMs == 0; nowMs_ += 30) {
    for (const auto& command : Step()) {
      if (command.backend_ == "a") {
        Complete(command, KeyCommandResult::NotSent);
        continue;
      }
      if (command.kind_ == KeyCommandKind::Grant && command.first_ == 0) {
        movedMs = nowMs_;
      }
      Complete(command, KeyCommandResult::Accepted);
    }
  }
  EXPECT_GE(movedMs, leaseEndMs);
  EXPECT_LT(movedMs, leaseEndMs + 500);
}

// Guards against waiting for the lease of a server whose address is now used by
// another server, which left keys without an owner for 10 s (run eg-north
// trouble-3).
TEST_F(KeyOwnershipTest, MisdirectedReleaseEndsTheLease)
{
  Start();
  KeyOwnership next("s", timing_);
  int64_t fence = 1 << 24;
  next.Adopt(
    ownership_.Segments(), [&] { return ++fence; }, nowMs_);
  std::map<std::string, OwnerCandidate> candidates;
  candidates["b"] = { 0, true, 1 };
  next.SetCandidates(candidates, nowMs_);
  for (const auto& command : next.TakeCommands(nowMs_)) {
    next.OnCommandDone(command,
                       command.backend_ == "b" ? KeyCommandResult::Accepted
                                               : KeyCommandResult::NotSent,
                       "",
                       nowMs_);
  }
  const auto change = next.Propose([&] { return ++fence; }, {}, nowMs_);
  ASSERT_TRUE(change);
  next.Commit(*change, nowMs_);
  const auto commands = next.TakeCommands(nowMs_);
  const auto* release = Release(commands);
  ASSERT_NE(release, nullptr);
  EXPECT_EQ(release->backend_, "a");
  next.OnCommandDone(*release, KeyCommandResult::Misdirected, "", nowMs_);
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 0));
}

// Guards against two owners: a renewal that is in flight when the release is
// sent may reach the server after it, and its answer the leader before.
TEST_F(KeyOwnershipTest, ReleaseBesideARenewalProvesNothing)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  const auto renewals = ownership_.TakeCommands(nowMs_);
  ASSERT_TRUE(Grants(renewals, "a", 0));
  const auto commands = Step(MoveTo(0, 9, "b"));
  AcceptAll(renewals);
  if (const auto* release = Release(commands)) {
    Complete(*release, KeyCommandResult::Accepted);
  }
  EXPECT_FALSE(Grants(Step(), "b", 0));
}

// Guards against two owners: the answer to a release of an earlier move proves
// nothing about a grant that the server was sent since, because the next owner
// left.
TEST_F(KeyOwnershipTest, LateAnswerOfAnEarlierReleaseProvesNothing)
{
  Start();
  SetServers({ "b", "c" });
  const auto early = *Release(Step());
  ASSERT_EQ(early.backend_, "a");
  SetServers({ "a" });
  std::vector<KeyCommand> grants;
  for (const TimeMs endMs = nowMs_ + 2 * timing_.leaseMs_; nowMs_ < endMs;
       nowMs_ += 50) {
    for (const auto& command : Step()) {
      if (command.backend_ == "a") {
        grants.push_back(command);
      }
      Complete(command, KeyCommandResult::Accepted);
    }
  }
  ASSERT_TRUE(Grants(grants, "a", 0));
  SetServers({ "b" });
  const auto late = Step();
  ASSERT_NE(Release(late), nullptr);
  Complete(early, KeyCommandResult::Accepted);
  const auto next = Step();
  EXPECT_FALSE(Grants(next, "b", 0));
  ASSERT_NE(Release(next), nullptr);
  Complete(*Release(next), KeyCommandResult::Accepted);
  EXPECT_TRUE(Grants(Step(), "b", 0));
}

// Guards against a move that waits for the retry interval after a release that
// overlapped a renewal, and against releases without a pause until then.
TEST_F(KeyOwnershipTest, ReleasesAgainWhenTheRenewalIsAnswered)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  const auto renewals = ownership_.TakeCommands(nowMs_);
  Complete(*Release(Step(MoveTo(0, 9, "b"))), KeyCommandResult::Accepted);
  EXPECT_EQ(Release(Step()), nullptr);
  AcceptAll(renewals);
  const auto again = Step();
  ASSERT_NE(Release(again), nullptr);
  Complete(*Release(again), KeyCommandResult::Accepted);
  EXPECT_TRUE(Grants(Step(), "b", 0));
}

// Guards against keys without an owner because the new one rejects each grant
// with the token of the previous one.
TEST_F(KeyOwnershipTest, RejectedTokenIsNotSentAgain)
{
  Start();
  SetServers({ "b" });
  const auto release = *Release(Step());
  ownership_.OnCommandDone(
    release, KeyCommandResult::Accepted, "token", nowMs_);
  const auto tokens = [](const std::vector<KeyCommand>& aCommands) {
    std::vector<std::string> result;
    std::ranges::transform(
      aCommands, std::back_inserter(result), &KeyCommand::handover_);
    return result;
  };
  const auto grants = Step();
  EXPECT_EQ(tokens(grants), std::vector<std::string>{ "token" });
  Complete(grants.front(), KeyCommandResult::Misdirected);
  nowMs_ += timing_.retryIntervalMs_;
  const auto retried = Step();
  EXPECT_EQ(tokens(retried), std::vector<std::string>{ "" });
  AcceptAll(retried);
  EXPECT_TRUE(Grants(retried, "b", 0));
}

// Guards against a new leader that moves keys while an earlier leader may still
// renew their leases, and against a new leader that waits longer than
// necessary.
TEST_F(KeyOwnershipTest, TakeoverFencesTheEarlierLeader)
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
  // Server b accepts the new fence; server a doesn't respond.
  for (const auto& command : grants) {
    next.OnCommandDone(command,
                       command.backend_ == "b" ? KeyCommandResult::Accepted
                                               : KeyCommandResult::NotSent,
                       "",
                       nowMs_);
  }
  const auto change =
    next.Propose([&] { return ++fence; }, MoveTo(0, 99, "b"), nowMs_);
  ASSERT_TRUE(change);
  next.Commit(*change, nowMs_);
  for (const auto& command : next.TakeCommands(nowMs_)) {
    EXPECT_FALSE(command.kind_ == KeyCommandKind::Grant && command.first_ == 0);
    next.OnCommandDone(command, KeyCommandResult::Accepted, "", nowMs_);
  }
  // A release is not sufficient, since the earlier leader may renew the lease.
  nowMs_ += timing_.leaseMs_ * 2;
  EXPECT_FALSE(Grants(next.TakeCommands(nowMs_), "b", 50));
  next.OnEarlierLeadersEnded(nowMs_);
  nowMs_ += timing_.leaseMs_ * 102 / 100 + 60;
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 50));
}

// Guards against grants to the owners of a restored table, or to those that
// gossip has shown since, while a server that neither names may hold a lease.
TEST_F(KeyOwnershipTest, RestoredTableWaitsForUnknownServers)
{
  Start();
  KeyOwnerMap known;
  known.Apply("s", { 0, 99, { "b", fence_ + 1, true } });
  const auto segments = MergeKnownOwners(
    ownership_.Segments(), known.Ranges("s"), [](const auto&) { return 0; });
  const auto* moved = FindSegment(segments, 50);
  EXPECT_EQ(moved->owner_, "b");
  EXPECT_EQ(moved->previous_, (std::vector<std::string>{ "a", "" }));
  KeyOwnership next("s", timing_);
  int64_t fence = 1 << 24;
  next.Adopt(
    segments, [&] { return ++fence; }, nowMs_);
  next.SetCandidates({ { "a", { 0, true, 1 } }, { "b", { 0, true, 1 } } },
                     nowMs_);
  next.OnEarlierLeadersEnded(nowMs_);
  const TimeMs leaseEndMs = nowMs_ + timing_.leaseMs_ * 102 / 100;
  for (; nowMs_ <= leaseEndMs; nowMs_ += 50) {
    for (const auto& command : next.TakeCommands(nowMs_)) {
      ASSERT_EQ(command.kind_, KeyCommandKind::Release);
      ASSERT_EQ(command.backend_, "a");
      next.OnCommandDone(command, KeyCommandResult::Accepted, "", nowMs_);
    }
  }
  nowMs_ += 100;
  const auto grants = next.TakeCommands(nowMs_);
  EXPECT_TRUE(Grants(grants, "b", 50));
  EXPECT_TRUE(Grants(grants, "a", 100));
}

// Guards against a restored table that lacks a whole service.
TEST_F(KeyOwnershipTest, RestoredTableWithoutAServiceIsCompleted)
{
  KeyOwnerMap known;
  known.Apply("s", { 0, 99, { "b", 7, true } });
  const auto segments =
    MergeKnownOwners({}, known.Ranges("s"), [](const auto&) { return 5; });
  ASSERT_EQ(segments.size(), 2U);
  EXPECT_EQ(segments[0].owner_, "b");
  EXPECT_EQ(segments[0].ownerStartTimeMs_, 5);
  EXPECT_EQ(segments[1].last_, kKeyCount - 1);
  EXPECT_TRUE(MergeKnownOwners({}, {}, [](const auto&) { return 0; }).empty());
}

// Guards against a new leader with fewer backend servers and shorter leases
// that moves the keys of an unresponsive server before the longer lease of an
// earlier leader has expired.
TEST_F(KeyOwnershipTest, WaitsForLongerLeasesOfAnEarlierLeader)
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
  const TimeMs leaseEndMs = nowMs_ + earlier.leaseMs_ * 102 / 100;
  for (; nowMs_ <= leaseEndMs; nowMs_ += 50) {
    if (const auto change = next.Propose([&] { return ++fence; }, {}, nowMs_)) {
      next.Commit(*change, nowMs_);
    }
    for (const auto& command : next.TakeCommands(nowMs_)) {
      ASSERT_FALSE(command.kind_ == KeyCommandKind::Grant &&
                   command.backend_ == "b" && command.first_ == 0);
      next.OnCommandDone(command,
                         command.backend_ == "b" ? KeyCommandResult::Accepted
                                                 : KeyCommandResult::Unanswered,
                         "",
                         nowMs_);
    }
  }
  nowMs_ += 400;
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 50));
}

// Guards against a new leader that takes a fence which a server accepted at
// once for a proof: a replaced leader that does not know it opens connections
// for some time, and a restarted server takes its grants (review/7).
TEST_F(KeyOwnershipTest, EarlyFencesProveNothing)
{
  Start();
  KeyOwnership next("s", timing_);
  int64_t fence = 1 << 24;
  next.Adopt(
    ownership_.Segments(), [&] { return ++fence; }, nowMs_);
  next.SetCandidates({ { "a", { 0, false, 1 } }, { "b", { 0, true, 1 } } },
                     nowMs_);
  const TimeMs connectUntilMs = nowMs_ + LeaderTiming::kMaxUnconfirmedMs;
  bool fencedLate = false;
  TimeMs movedMs = 0;
  for (; movedMs == 0 && nowMs_ < connectUntilMs + 1000; nowMs_ += 10) {
    if (const auto change = next.Propose([&] { return ++fence; }, {}, nowMs_)) {
      next.Commit(*change, nowMs_);
    }
    for (const auto& command : next.TakeCommands(nowMs_)) {
      const bool isGrant = command.kind_ == KeyCommandKind::Grant;
      fencedLate |=
        isGrant && command.backend_ == "a" && nowMs_ >= connectUntilMs;
      if (isGrant && command.backend_ == "b" && command.first_ == 0) {
        EXPECT_TRUE(fencedLate) << nowMs_ - connectUntilMs;
        movedMs = nowMs_;
      }
      next.OnCommandDone(command, KeyCommandResult::Accepted, "", nowMs_);
    }
  }
  EXPECT_GE(movedMs, connectUntilMs);
  EXPECT_TRUE(fencedLate);
}

// Guards against a new leader that delays moves although the earlier leaders
// are known to have ended.
TEST_F(KeyOwnershipTest, FencesProveAtOnceThatEndedLeadersAreRejected)
{
  Start();
  KeyOwnership next("s", timing_);
  int64_t fence = 1 << 24;
  next.Adopt(
    ownership_.Segments(), [&] { return ++fence; }, nowMs_);
  next.OnEarlierLeadersEnded(nowMs_);
  next.SetCandidates({ { "a", { 0, false, 1 } }, { "b", { 0, true, 1 } } },
                     nowMs_);
  const auto accept = [&](const std::vector<KeyCommand>& aCommands) {
    for (const auto& command : aCommands) {
      next.OnCommandDone(command, KeyCommandResult::Accepted, "", nowMs_);
    }
  };
  accept(next.TakeCommands(nowMs_));
  const auto change = next.Propose([&] { return ++fence; }, {}, nowMs_);
  ASSERT_TRUE(change);
  next.Commit(*change, nowMs_);
  accept(next.TakeCommands(nowMs_));
  EXPECT_TRUE(Grants(next.TakeCommands(nowMs_), "b", 0));
}

// Guards against a release by a leader that may have been replaced: no server
// refuses it, and the keys may belong to the server again.
TEST_F(KeyOwnershipTest, PossiblyReplacedLeaderReleasesNothing)
{
  Start();
  const auto change =
    ownership_.Propose([this] { return ++fence_; }, MoveTo(0, 99, "b"), nowMs_);
  ASSERT_TRUE(change);
  ownership_.Commit(*change, nowMs_);
  const auto commands = ownership_.TakeCommands(nowMs_, GrantScope::Renewals);
  EXPECT_EQ(Release(commands), nullptr);
  const auto later = ownership_.TakeCommands(nowMs_);
  EXPECT_NE(Release(later), nullptr);
}

// Guards against a server that counts as lost, although the leader itself sent
// it no commands, and against leases that are renewed no more, because their
// renewals had to wait for a connection.
TEST_F(KeyOwnershipTest, WithheldCommandsSayNothingAboutTheServer)
{
  Start();
  for (int round = 0; round < 20; ++round, nowMs_ += 100) {
    for (const auto& command : ownership_.TakeCommands(nowMs_)) {
      Complete(command, KeyCommandResult::Withheld);
    }
  }
  EXPECT_FALSE(ownership_.IsLost("a", nowMs_));
  nowMs_ += timing_.retryIntervalMs_;
  EXPECT_EQ(ownership_.TakeCommands(nowMs_, GrantScope::Renewals).size(), 2U);
}

// Guards against a leader that may have been replaced and grants a new lease to
// a server that failed to respond. The server may be a new incarnation, which
// does not know the fence of a newer leader.
TEST_F(KeyOwnershipTest, PossiblyReplacedLeaderOnlyRenews)
{
  Start();
  nowMs_ += timing_.renewIntervalMs_;
  auto renewals = ownership_.TakeCommands(nowMs_, GrantScope::Renewals);
  ASSERT_EQ(renewals.size(), 2U);
  for (const auto& command : renewals) {
    Complete(command,
             command.backend_ == "a" ? KeyCommandResult::NotSent
                                     : KeyCommandResult::Accepted);
  }
  nowMs_ += timing_.renewIntervalMs_;
  renewals = ownership_.TakeCommands(nowMs_, GrantScope::Renewals);
  ASSERT_EQ(renewals.size(), 1U);
  EXPECT_EQ(renewals.front().backend_, "b");
  EXPECT_TRUE(Grants(ownership_.TakeCommands(nowMs_), "a", 50));
}

// Guards against leases that backend servers reject as too long.
TEST(LeaseTiming, RespectsTheLongestLeaseOfTheServers)
{
  for (const size_t servers : { size_t{ 8 }, size_t{ 500 } }) {
    const auto timing = LeaseTiming::For(servers, 1500);
    EXPECT_EQ(timing.leaseMs_, 1500);
    EXPECT_LT(timing.renewIntervalMs_, 700);
    EXPECT_GT(LeaseTiming::For(servers, 10000).leaseMs_, 2000);
  }
}

// Guards against a table that is changed by encoding and decoding it.
TEST(KeyTable, RoundTrips)
{
  KeyTable table{ 3, 9, 4000, {} };
  table.services_["s"] = { { 0, 99, "a", 5, 77, { "b", "c" } },
                           { 100, kKeyCount - 1, "b", 6, 78, {} } };
  KeyTable decoded;
  ASSERT_TRUE(DecodeKeyTable(EncodeKeyTable(table), decoded));
  EXPECT_EQ(decoded.term_, 3);
  EXPECT_EQ(decoded.writeId_, 9);
  EXPECT_EQ(decoded.leaseMs_, 4000);
  EXPECT_EQ(decoded.services_, table.services_);
  // Written by a version that didn't store the longest lease.
  auto older = EncodeKeyTable(table);
  older.erase("holdMs");
  ASSERT_TRUE(DecodeKeyTable(older, decoded));
  EXPECT_GE(decoded.leaseMs_, 4000);
}

// Guards against accepting tables with gaps, overlaps or malformed content.
TEST(KeyTable, RejectsMalformedTables)
{
  KeyTable table{ 1, 1, 2500, {} };
  KeyTable decoded;
  table.services_["s"] = { { 0, 99, "a", 5, 77, {} } };
  EXPECT_FALSE(DecodeKeyTable(EncodeKeyTable(table), decoded));
  table.services_["s"] = { { 0, 99, "a", 5, 77, {} },
                           { 99, kKeyCount - 1, "a", 5, 77, {} } };
  EXPECT_FALSE(DecodeKeyTable(EncodeKeyTable(table), decoded));
  EXPECT_FALSE(DecodeKeyTable(nlohmann::json("text"), decoded));
}

// Guards against assigning all keys to the server that registers first: the
// first table waits until no new server has registered for a while, but only
// briefly if requests are waiting for an owner.
TEST(FirstTable, WaitsForTheServersThatAreRegistering)
{
  KeyOwnership ownership("s", {});
  std::map<std::string, OwnerCandidate> servers;
  EXPECT_FALSE(ownership.IsReadyForFirstTable({}, true, 10000));
  // One server registers every 300 ms, starting at 10 s.
  for (int index = 0; index < 10; ++index) {
    servers[std::string(1, static_cast<char>('a' + index))] = { 1, true, 1 };
    ownership.SetCandidates(servers, 10000 + index * 300);
  }
  EXPECT_FALSE(ownership.IsReadyForFirstTable({}, false, 12700 + 599));
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, false, 12700 + 600));
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, true, 12700));
  // Servers that are already known don't extend the wait.
  ownership.SetCandidates(servers, 13200);
  EXPECT_TRUE(ownership.IsReadyForFirstTable({}, false, 13300));
  const auto table = ownership.Propose([] { return 1; }, {}, 13300);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->size(), 10U);
}

// Guards against a first table that is delayed indefinitely while servers keep
// registering.
TEST(FirstTable, IsCreatedAtTheLatestAfterTheLimit)
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

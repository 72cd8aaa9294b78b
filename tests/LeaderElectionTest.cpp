#include "gateway/LeaderElection.hpp"

#include "common/Strings.hpp"
#include "gossip_types.h"
#include "platform/ObjectCodec.hpp"
#include "tests/GatewayFixture.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr int64_t kNowMs = 1700000000000;

/// An election in which the store contains the lease of another gateway, either
/// from the start or from this gateway's attempt to create it.
class LeaderElectionTest : public testing::Test
{
protected:
  void HandleRequest(ScriptedServer::Exchange& aExchange)
  {
    const bool isRead = aExchange.head_.method_ == "GET";
    writes_ += isRead ? 0 : 1;
    reads_ += isRead ? 1 : 0;
    if (isRead && onRead_) {
      onRead_();
    }
    if (silent_) {
      return;
    }
    if (!stored_.empty() && isRead) {
      aExchange.write_(Respond(200, stored_));
      return;
    }
    if (isRead && writes_ == 0 && winnerMs_ == 0) {
      aExchange.write_(Respond(404, ""));
      return;
    }
    const auto winner =
      Concat(R"({"metadata": {"name": "leader", "revision": 12}, "spec": {)",
             R"("term": 1, "instance": "other", "bootId": 2, "earlier": [],)",
             R"("renewedAtMs": )",
             winnerMs_,
             R"(}, "status": {}})");
    const bool loses =
      !isRead && (replaced_ || (writes_ == 1 && winnerMs_ == 0));
    aExchange.write_(Respond(loses ? 409 : 200, winner));
  }
  /// Makes this gateway the leader.
  void Lead()
  {
    winnerMs_ = kNowMs - 5000;
    election_.Start();
    ASSERT_TRUE(RunLoopUntil(loop_, [&] { return elected_ == 1; }));
    ASSERT_EQ(election_.AllowedGrantScope(), GrantScope::All);
  }
  /// Receives gossip of three followers, so that the leader isn't isolated.
  void HearFollowers()
  {
    for (const char* name : { "f1", "f2", "f3" }) {
      Hear(name);
    }
  }
  void Hear(const char* aName, int64_t aTerm = 0)
  {
    wire::Gossip gossip;
    gossip.instance = aName;
    gossip.term = aTerm;
    mesh_.RecordHeard(gossip, {});
  }
  std::string Respond(int aStatus, const std::string& aBody) const
  {
    auto text = TextResponse(aStatus, aBody);
    return text.insert(text.find("\r\n") + 2,
                       Concat("Store-Era: ", era_, "\r\n"));
  }
  /// Expects that the gateway reads the lease, does not write it and is not
  /// elected.
  void ExpectWaitAfterRead()
  {
    ASSERT_TRUE(RunLoopUntil(loop_, [&] { return reads_ == 1; }));
    RunLoopFor(loop_, LeaderTiming::kElectionTimeoutMs / 2);
    EXPECT_EQ(elected_, 0);
    EXPECT_EQ(writes_, 0);
  }

  EventLoop loop_;
  EventLog log_{ loop_, LogLevel::Error, STDERR_FILENO };
  HttpClient client_{ loop_ };
  platform::ObjectCodec objects_;
  int reads_ = 0;
  int writes_ = 0;
  int elected_ = 0;
  int leadershipsLost_ = 0;
  bool silent_ = false;   ///< the store does not respond
  bool replaced_ = false; ///< the store contains the lease of another leader
  std::function<void()> onRead_; ///< called before the response to a read
  std::string stored_; ///< response to reads instead of the winner's lease
  int64_t era_ = 0;
  int earlierLeadersEnded_ = 0;
  int64_t winnerMs_ = 0; ///< last renewal of the other gateway's lease
  ScriptedServer server_{ loop_, [this](auto& aExchange) {
                           HandleRequest(aExchange);
                         } };
  StoreClient store_{ loop_, log_, client_, objects_, server_.Address() };
  PeerMesh mesh_{ loop_, log_, "self", "d1", {}, [] { return 0; } };
  LeaderElection election_{ loop_,
                            log_,
                            store_,
                            mesh_,
                            { "self", 1 },
                            100,
                            [] { return kNowMs; },
                            { [this](int64_t) { ++elected_; },
                              [this] { ++leadershipsLost_; },
                              [this] { ++earlierLeadersEnded_; } } };
};

// Guards against repeated elections at the first start: the loser of the race
// to create the lease replaced the winner before the gossip of the winner
// arrived.
TEST_F(LeaderElectionTest, LoserOfCreateRaceWaitsForWinner)
{
  election_.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return writes_ == 1; }));
  RunLoopFor(loop_, LeaderTiming::kElectionTimeoutMs / 2);
  EXPECT_EQ(elected_, 0);
  EXPECT_EQ(writes_, 1);
}

// Guards against repeated elections by a gateway that reads the lease after the
// race.
TEST_F(LeaderElectionTest, StartingGatewayWaitsForRecentlyRenewedLeader)
{
  winnerMs_ = kNowMs - 300;
  election_.Start();
  ExpectWaitAfterRead();
}

// Guards against a second election by a slower candidate that takes over before
// the first gossip of the new leader arrives.
TEST_F(LeaderElectionTest, SlowerCandidateWaitsForNewLeader)
{
  wire::Gossip old;
  old.instance = "old";
  old.leading = true;
  winnerMs_ = kNowMs - 50;
  election_.Start();
  election_.OnGossip(old);
  ExpectWaitAfterRead();
}

// Guards against a candidate that replaces the new leader although gossip of it
// arrives while the candidate reads the lease: the lease then has no newer term
// than the gossip (accra-grown inc-2f35).
TEST_F(LeaderElectionTest, CandidateGivesUpIfLeaderGossipArrivesDuringRead)
{
  winnerMs_ = kNowMs - 50;
  onRead_ = [this] {
    wire::Gossip leader;
    leader.instance = "other";
    leader.term = 1;
    leader.leading = true;
    election_.OnGossip(leader);
  };
  election_.Start();
  ExpectWaitAfterRead();
}

// Guards against a crash on a lease whose fields another writer stored with
// other types.
TEST_F(LeaderElectionTest, ReplacesUnreadableLease)
{
  stored_ = R"({"metadata": {"name": "leader", "revision": 12}, "spec": {
    "term": "x", "instance": 5, "bootId": {}, "renewedAtMs": "soon",
    "earlier": [1, "a", {"instance": []}]}, "status": {}})";
  election_.Start();
  EXPECT_TRUE(RunLoopUntil(loop_, [&] { return writes_ == 1; }));
}

// Guards against a term, and so fences, that an earlier era of the store has
// given out, when neither the copy nor this gateway knows them.
TEST_F(LeaderElectionTest, TermsOfALaterEraAreAboveAllEarlierOnes)
{
  era_ = 2;
  winnerMs_ = kNowMs - 5000;
  election_.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return elected_ == 1; }));
  EXPECT_GT(election_.Term(), 2 << 16);
}

// Guards against a leader that counts all earlier ones as ended because a
// restored store does not name the last one.
TEST_F(LeaderElectionTest, LeaderThatTheCopyLacksMayStillSendCommands)
{
  era_ = 2;
  wire::Gossip last;
  last.instance = "last";
  last.bootId = 4;
  last.term = 3;
  last.leading = true;
  election_.OnGossip(last);
  winnerMs_ = kNowMs - 5000;
  election_.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return elected_ == 1; }));
  // The leader that the copy names is heard again after a restart.
  wire::Gossip other;
  other.instance = "other";
  other.bootId = 6;
  election_.OnGossip(other);
  EXPECT_EQ(earlierLeadersEnded_, 0);
  last.bootId = 5;
  last.leading = false;
  election_.OnGossip(last);
  EXPECT_EQ(earlierLeadersEnded_, 1);
}

// Guards against a leader that is cut off from the store and grants leases to
// restarted servers, because the other gateways still count as alive after the
// first of them has replaced it (review/7).
TEST_F(LeaderElectionTest, UnconfirmedLeaderOnlyRenews)
{
  Lead();
  silent_ = true;
  HearFollowers();
  RunLoopFor(loop_, LeaderTiming::kMaxUnconfirmedMs + 100);
  EXPECT_TRUE(election_.IsLeading());
  EXPECT_TRUE(election_.IsProbablySoleLeader());
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::Renewals);
  silent_ = false;
  EXPECT_TRUE(RunLoopUntil(
    loop_, [&] { return election_.AllowedGrantScope() == GrantScope::All; }));
}

// Guards against keys that lapse in an outage of the store, because the leader
// opens no connections although it hears all other gateways, and against a
// leader that takes a part of them for all.
TEST_F(LeaderElectionTest, GossipOfAllOthersConfirmsALeaderInAnOutage)
{
  Lead();
  silent_ = true;
  RunLoopFor(loop_, LeaderTiming::kMaxUnconfirmedMs + 100);
  HearFollowers();
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::All);
  EXPECT_EQ(election_.AllowedGrantScope(loop_.NowMs() + 1),
            GrantScope::Renewals);
  Hear("f2", election_.Term() + 1);
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::Renewals);
  Hear("f2", election_.Term());
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::All);
  RunLoopFor(loop_, LeaderTiming::kMaxUnheardMs + 100);
  Hear("f1");
  Hear("f3");
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::Renewals);
}

// Guards against a replaced leader that learns of its successor only with its
// next regular renewal, although servers reject its fences.
TEST_F(LeaderElectionTest, RejectedFenceUncoversTheSuccessor)
{
  Lead();
  replaced_ = true;
  election_.OnFenceRejected();
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::Renewals);
  RunLoopFor(loop_, LeaderTiming::kRenewIntervalMs / 4);
  EXPECT_EQ(leadershipsLost_, 1);
  EXPECT_FALSE(election_.MaySendCommands());
}

// Guards against a faulty server that unseats a leader by rejecting all fences,
// and against a renewal that was sent before the rejection and refutes it.
TEST_F(LeaderElectionTest, RejectedFenceUnseatsNoConfirmedLeader)
{
  Lead();
  silent_ = true;
  const int writesBefore = writes_;
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return writes_ > writesBefore; }));
  election_.OnFenceRejected();
  silent_ = false;
  RunLoopFor(loop_, LeaderTiming::kRenewIntervalMs / 4);
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::Renewals);
  ASSERT_TRUE(RunLoopUntil(
    loop_, [&] { return election_.AllowedGrantScope() == GrantScope::All; }));
  EXPECT_EQ(leadershipsLost_, 0);
}

// Guards against a grant to a server that restarted after the leader was last
// confirmed, and against a wait for the next regular renewal.
TEST_F(LeaderElectionTest, ConfirmationIsRenewedOnDemand)
{
  Lead();
  RunLoopFor(loop_, LeaderTiming::kMinRenewIntervalMs);
  const TimeMs nowMs = loop_.NowMs();
  EXPECT_EQ(election_.AllowedGrantScope(nowMs), GrantScope::Renewals);
  EXPECT_EQ(election_.AllowedGrantScope(), GrantScope::All);
  election_.RequireConfirmation(nowMs);
  RunLoopFor(loop_, LeaderTiming::kRenewIntervalMs / 4);
  EXPECT_EQ(election_.AllowedGrantScope(nowMs), GrantScope::All);
}

// Guards against waiting for a leader that exited together with all other
// processes.
TEST_F(LeaderElectionTest, StartingGatewayReplacesExpiredLeader)
{
  winnerMs_ = kNowMs - 5000;
  election_.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return reads_ == 1; }));
  RunLoopFor(loop_, LeaderTiming::kElectionTimeoutMs / 2);
  EXPECT_EQ(writes_, 1);
}

}
}

#include "gateway/LeaderElection.hpp"

#include "common/Strings.hpp"
#include "gossip_types.h"
#include "platform/Objects.hpp"
#include "tests/GatewayFixture.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr int64_t kNowMs = 1700000000000;

/// An election whose store holds the object of another gateway, from the start
/// or as soon as this one tries to create it.
class LeaderElectionTest : public testing::Test
{
protected:
  void Serve(ScriptedServer::Exchange& aExchange)
  {
    const bool isRead = aExchange.head_.method_ == "GET";
    writes_ += isRead ? 0 : 1;
    reads_ += isRead ? 1 : 0;
    if (isRead && onRead_) {
      onRead_();
    }
    if (!stored_.empty() && isRead) {
      aExchange.write_(TextResponse(200, stored_));
      return;
    }
    if (isRead && writes_ == 0 && winnerMs_ == 0) {
      aExchange.write_(TextResponse(404, ""));
      return;
    }
    const auto winner =
      Concat(R"({"metadata": {"name": "leader", "revision": 12}, "spec": {)",
             R"("term": 1, "instance": "other", "bootId": 2, "earlier": [],)",
             R"("renewedAtMs": )",
             winnerMs_,
             R"(}, "status": {}})");
    const bool loses = writes_ == 1 && !isRead && winnerMs_ == 0;
    aExchange.write_(TextResponse(loses ? 409 : 200, winner));
  }
  /// It reads the object and leaves it to the other gateway.
  void ExpectToWaitAfterTheRead()
  {
    ASSERT_TRUE(RunLoopUntil(loop_, [&] { return reads_ == 1; }));
    RunLoopFor(loop_, LeaderTiming::kSilenceMs / 2);
    EXPECT_EQ(elected_, 0);
    EXPECT_EQ(writes_, 0);
  }

  EventLoop loop_;
  EventLog log_{ loop_, LogLevel::Error, STDERR_FILENO };
  HttpClient client_{ loop_ };
  platform::Objects objects_;
  int reads_ = 0;
  int writes_ = 0;
  int elected_ = 0;
  std::function<void()> onRead_; ///< runs before a read is answered
  std::string stored_;   ///< answer to reads instead of the winner's object
  int64_t winnerMs_ = 0; ///< last renewal of the other's object
  ScriptedServer server_{ loop_,
                          [this](auto& aExchange) { Serve(aExchange); } };
  StoreLink store_{ loop_, log_, client_, objects_, server_.Address() };
  PeerMesh mesh_{ loop_, log_, "self", "d1", {}, [] { return 0; } };
  LeaderElection election_{ loop_,
                            log_,
                            store_,
                            mesh_,
                            { "self", 1 },
                            100,
                            [] { return kNowMs; },
                            { [this](int64_t) { ++elected_; }, [] {}, [] {} } };
};

// Guards against several elections at the first start: who loses the race to
// create the object replaced the winner before hearing of it.
TEST_F(LeaderElectionTest, TheLoserOfARaceWaitsForTheWinner)
{
  election_.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return writes_ == 1; }));
  RunLoopFor(loop_, LeaderTiming::kSilenceMs / 2);
  EXPECT_EQ(elected_, 0);
  EXPECT_EQ(writes_, 1);
}

// Guards against the same by a gateway that reads the object after the race.
TEST_F(LeaderElectionTest, AStartingGatewayWaitsForALeaderThatRenewed)
{
  winnerMs_ = kNowMs - 300;
  election_.Start();
  ExpectToWaitAfterTheRead();
}

// Guards against a second election by a candidate that was slower and takes
// over before the new leader's first gossip arrives.
TEST_F(LeaderElectionTest, ASlowerCandidateWaitsForTheNewLeader)
{
  wire::Gossip old;
  old.instance = "old";
  old.leading = true;
  winnerMs_ = kNowMs - 50;
  election_.Start();
  election_.OnGossip(old);
  ExpectToWaitAfterTheRead();
}

// Guards against a candidate that hears the new leader while it reads the
// object, finds no newer term there and replaces it (accra-grown inc-2f35).
TEST_F(LeaderElectionTest, ACandidateThatHearsTheLeaderWhileItReadsGivesUp)
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
  ExpectToWaitAfterTheRead();
}

// Guards against a process that ends because another writer has stored fields
// of other types.
TEST_F(LeaderElectionTest, ReplacesAnObjectThatItCannotRead)
{
  stored_ = R"({"metadata": {"name": "leader", "revision": 12}, "spec": {
    "term": "x", "instance": 5, "bootId": {}, "renewedAtMs": "soon",
    "earlier": [1, "a", {"instance": []}]}, "status": {}})";
  election_.Start();
  EXPECT_TRUE(RunLoopUntil(loop_, [&] { return writes_ == 1; }));
}

// Guards against a wait for a leader that ended with all other processes.
TEST_F(LeaderElectionTest, AStartingGatewayReplacesALeaderOfThePast)
{
  winnerMs_ = kNowMs - 5000;
  election_.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return reads_ == 1; }));
  RunLoopFor(loop_, LeaderTiming::kSilenceMs / 2);
  EXPECT_EQ(writes_, 1);
}

}
}

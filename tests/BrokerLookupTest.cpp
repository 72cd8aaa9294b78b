#include "gateway/BrokerLookup.hpp"

#include "common/ShortHash.hpp"
#include "common/Strings.hpp"
#include "gossip_types.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr int kPeers = 40;
constexpr uint32_t kServices = 50;
/// Until the next look at the living gateways.
constexpr TimeMs kRefreshMs = 120;

/// A gateway that knows others from the store. Nothing is sent.
class BrokerLookupTest : public testing::Test
{
protected:
  BrokerLookupTest()
  {
    for (int index = 0; index < kPeers; ++index) {
      mesh_.AddRegistered(Name(index), {}, 1, "a", 100);
    }
  }
  ~BrokerLookupTest() override { ::close(logFd_); }

  static std::string Name(int aIndex) { return Concat("g", aIndex); }
  void RunFor(TimeMs aMs)
  {
    Timer timer(loop_, [this] { loop_.Stop(); });
    timer.Start(aMs);
    loop_.Run();
  }
  void Hear(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      wire::Gossip gossip;
      gossip.instance = Name(index);
      gossip.failureDomain = "a";
      gossip.cpuPercent = 100;
      mesh_.RecordHeard(gossip, {});
    }
  }
  /// The leader lists the first aCount gateways.
  void List(int aCount)
  {
    std::vector<int32_t> members;
    for (int index = 0; index < aCount; ++index) {
      members.push_back(static_cast<int32_t>(ShortHash(Name(index))));
    }
    mesh_.RecordMembers(members);
  }
  std::vector<std::optional<uint32_t>> Brokers()
  {
    std::vector<std::optional<uint32_t>> brokers;
    for (uint32_t service = 0; service < kServices; ++service) {
      brokers.push_back(lookup_.Find(service, ShortHash("a")));
    }
    return brokers;
  }
  /// What all gateways choose that know the first aCount ones to be alive.
  std::vector<std::optional<uint32_t>> BrokersAmong(int aCount)
  {
    std::vector<BrokerCandidate> candidates = {
      { ShortHash("self"), ShortHash("a"), 100 }
    };
    for (int index = 0; index < aCount; ++index) {
      candidates.push_back({ ShortHash(Name(index)), ShortHash("a"), 100 });
    }
    std::vector<std::optional<uint32_t>> brokers;
    for (uint32_t service = 0; service < kServices; ++service) {
      brokers.push_back(ChooseBroker(candidates, service, ShortHash("a")));
    }
    return brokers;
  }

  EventLoop loop_;
  int logFd_ = ::dup(STDERR_FILENO);
  EventLog log_{ loop_, LogLevel::Warning, logFd_ };
  PeerMesh mesh_{ loop_,
                  log_,
                  "self",
                  "a",
                  [](const wire::Gossip&, const Endpoint&, const Endpoint&) {},
                  [] { return 0; } };
  BrokerLookup lookup_{ loop_, mesh_, "self", "a", 100 };
};

// Guards against brokers that are chosen among the few gateways which this one
// heard first after a restart of all.
TEST_F(BrokerLookupTest, KnowsNoneUntilEnoughGatewaysAreHeard)
{
  EXPECT_FALSE(lookup_.Find(1, ShortHash("a")));
  Hear(static_cast<int>(kMaxDirectGateways) - 1);
  RunFor(kRefreshMs);
  EXPECT_FALSE(lookup_.Find(1, ShortHash("a")));
  Hear(static_cast<int>(kMaxDirectGateways));
  RunFor(kRefreshMs);
  EXPECT_TRUE(lookup_.Find(1, ShortHash("a")));
}

// Guards against another choice on each gateway while no leader lists the
// living ones, for instance a leader that is frozen for 3 s: a gateway of a
// large fleet hears only some of the others itself.
TEST_F(BrokerLookupTest, KeepsTheLastListWhileTheLeaderIsSilent)
{
  Hear(kPeers);
  List(30);
  RunFor(kRefreshMs);
  EXPECT_EQ(Brokers(), BrokersAmong(30));
  RunFor(PeerMesh::kAliveMs + 500);
  Hear(12);
  RunFor(kRefreshMs);
  EXPECT_EQ(Brokers(), BrokersAmong(30));
  List(29);
  RunFor(kRefreshMs);
  EXPECT_EQ(Brokers(), BrokersAmong(29));
}

// Guards against the new leader, which gets no lists, keeping one that names
// lost gateways.
TEST_F(BrokerLookupTest, GatewayThatHearsMostNeedsNoList)
{
  List(kPeers);
  RunFor(PeerMesh::kAliveMs + 100);
  Hear(kPeers - 1);
  RunFor(kRefreshMs);
  EXPECT_EQ(Brokers(), BrokersAmong(kPeers - 1));
}

}
}

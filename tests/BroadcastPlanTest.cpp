#include "policy/BroadcastPlan.hpp"

#include "gateway/PeerMesh.hpp"
#include "gossip_types.h"
#include "tests/GatewayFixture.hpp"
#include "tests/ReservedPort.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

std::vector<BroadcastTarget> Fleet(int aDomains, int aPerDomain)
{
  std::vector<BroadcastTarget> members;
  for (int domain = 0; domain < aDomains; ++domain) {
    for (int index = 0; index < aPerDomain; ++index) {
      members.push_back({ "g" + std::to_string(domain * 1000 + index),
                          "d" + std::to_string(domain),
                          index < 3 ? 50 : 10,
                          true });
    }
  }
  return members;
}

// Guards against unnecessary dependence on relays in small fleets.
TEST(BroadcastPlan, SendsDirectlyInSmallFleets)
{
  const auto plan = PlanBroadcast("d0", Fleet(4, 4));
  EXPECT_EQ(plan.direct_.size(), 16U);
  EXPECT_TRUE(plan.relays_.empty());
}

// Guards against traffic between failure domains that grows with the number of
// gateways: it is the same with 300 and 2,300 gateways.
TEST(BroadcastPlan, SendsToTwoRelaysOfEachOtherDomain)
{
  for (const int perDomain : { 50, 383 }) {
    const auto members = Fleet(6, perDomain);
    const auto plan = PlanBroadcast("d2", members);
    EXPECT_EQ(plan.direct_.size(), static_cast<size_t>(perDomain));
    EXPECT_EQ(plan.relays_.size(), 10U);
    std::set<std::string> domains;
    for (const auto index : plan.relays_) {
      EXPECT_EQ(members[index].cpuPercent_, 50);
      domains.insert(members[index].domain_);
    }
    EXPECT_EQ(domains.size(), 5U);
    EXPECT_FALSE(domains.contains("d2"));
  }
}

// Guards against a domain that receives nothing while its largest gateways are
// down, and against skipping gateways whose domain is unknown.
TEST(BroadcastPlan, PrefersLiveRelays)
{
  auto members = Fleet(2, 20);
  for (int index = 20; index < 23; ++index) {
    members[index].alive_ = false;
  }
  members[25].domain_.clear();
  const auto plan = PlanBroadcast("d0", members);
  EXPECT_EQ(plan.direct_.size(), 21U);
  ASSERT_EQ(plan.relays_.size(), 2U);
  for (const auto index : plan.relays_) {
    EXPECT_TRUE(members[index].alive_);
  }
  // If no gateway of a domain is known to be alive, the first ones are tried.
  std::ranges::for_each(members, [](auto& aMember) { aMember.alive_ = false; });
  EXPECT_EQ(PlanBroadcast("d0", members).relays_.size(), 2U);
}

/// PeerMesh on the loopback interface that stores received messages.
class MeshNode
{
public:
  MeshNode(EventLoop& aLoop,
           EventLog& aLog,
           const std::string& aName,
           const std::string& aDomain)
    : name_(aName)
    , domain_(aDomain)
    , mesh_(
        aLoop,
        aLog,
        aName,
        aDomain,
        [this](const wire::Gossip& aGossip,
               const Endpoint& aOrigin,
               const Endpoint& aSender) {
          received_.push_back(aGossip);
          origins_.push_back(aOrigin);
          senders_.push_back(aSender);
        },
        [this] { return version_; })
  {
    Endpoint::Parse(port_.Address(), endpoint_);
    opened_ = mesh_.Open(endpoint_);
  }
  void AddPeer(const MeshNode& aOther, int aCpuPercent)
  {
    mesh_.AddRegistered(
      aOther.name_, aOther.endpoint_, 1, aOther.domain_, aCpuPercent);
  }

  /// Reserves the port number, which other tests might use for TCP.
  ReservedPort port_;
  std::string name_;
  std::string domain_;
  Endpoint endpoint_;
  bool opened_ = false;
  int64_t version_ = 5;
  std::vector<wire::Gossip> received_;
  std::vector<Endpoint> origins_;
  std::vector<Endpoint> senders_;
  PeerMesh mesh_;
};

// Guards against relays that don't forward, that forward in a loop, that hide
// the original sender, or that announce a configuration version which they
// don't have.
TEST(PeerMesh, RelaysForwardWithinTheirDomain)
{
  EventLoop loop;
  EventLog log(loop, LogLevel::Error, STDERR_FILENO);
  MeshNode leader(loop, log, "a", "d1");
  MeshNode relay1(loop, log, "b", "d2");
  MeshNode relay2(loop, log, "c", "d2");
  MeshNode member(loop, log, "d", "d2");
  ASSERT_TRUE(leader.opened_ && relay1.opened_ && relay2.opened_ &&
              member.opened_);
  leader.AddPeer(relay1, 50);
  leader.AddPeer(relay2, 50);
  leader.AddPeer(member, 10);
  for (int index = 0; index < 20; ++index) {
    leader.mesh_.AddRegistered(
      "x" + std::to_string(index), leader.endpoint_, 1, "d1", 10);
  }
  for (auto* node : { &relay1, &relay2, &member }) {
    for (auto* other : { &relay1, &relay2, &member }) {
      if (node != other) {
        node->AddPeer(*other, 10);
      }
    }
  }
  relay1.version_ = 4;
  wire::Gossip gossip;
  gossip.instance = "a";
  gossip.configVersion = 5;
  leader.mesh_.SendToAll(gossip);
  RunLoopFor(loop, 200);
  ASSERT_EQ(member.received_.size(), 2U);
  std::set<int64_t> versions;
  for (size_t index = 0; index < 2; ++index) {
    EXPECT_FALSE(member.received_[index].passOn);
    EXPECT_EQ(member.origins_[index].port_, leader.endpoint_.port_);
    EXPECT_NE(member.senders_[index].port_, leader.endpoint_.port_);
    versions.insert(member.received_[index].configVersion);
  }
  EXPECT_EQ(versions, (std::set<int64_t>{ 4, 5 }));
  EXPECT_EQ(relay1.received_.size(), 2U);
  EXPECT_EQ(relay2.received_.size(), 2U);
}

// Guards against gateways of a large fleet that consider each other dead
// because they receive messages from few other gateways.
TEST(PeerMesh, MemberListOfTheLeaderKeepsPeersAlive)
{
  EventLoop loop;
  EventLog log(loop, LogLevel::Error, STDERR_FILENO);
  MeshNode leader(loop, log, "a", "d1");
  MeshNode other(loop, log, "b", "d1");
  MeshNode third(loop, log, "c", "d2");
  leader.AddPeer(other, 10);
  leader.AddPeer(third, 10);
  other.AddPeer(third, 10);
  EXPECT_EQ(other.mesh_.AliveCount(loop.NowMs()), 0U);
  wire::Gossip heard;
  heard.instance = "c";
  heard.failureDomain = "d2";
  leader.mesh_.RecordHeard(heard, third.endpoint_);
  other.mesh_.RecordMembers(leader.mesh_.MemberHashes(loop.NowMs()));
  EXPECT_EQ(other.mesh_.AliveCount(loop.NowMs()), 1U);
  const auto alive = other.mesh_.AliveGateways(loop.NowMs());
  ASSERT_EQ(alive.size(), 1U);
  EXPECT_EQ(alive[0].second, "d2");
  EXPECT_EQ(other.mesh_.AliveCount(loop.NowMs() + PeerMesh::kAliveMs), 0U);
}

}
}

#include "gateway/SlotExchange.hpp"

#include "common/ShortHash.hpp"
#include "common/Strings.hpp"
#include "gossip_types.h"
#include "platform/RequestCodec.hpp"
#include "tests/ReservedPort.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr int kGateways = 20;
constexpr int kServers = 2;
constexpr int kSlots = 3;
constexpr TimeMs kGossipMs = 250;
constexpr TimeMs kWorkMs = 10;

class IgnoringObserver final : public BackendObserver
{
public:
  void OnAttemptFinished(const std::shared_ptr<Backend>&,
                         const AttemptCrashInfo&,
                         AttemptOutcome) override
  {
  }
  void OnBackendDown(const Backend&) override {}
  void OnBackendRemoved(const Backend&) override {}
};

/// The slot messages of one gateway.
struct Node
{
  Node(EventLoop& aLoop, EventLog& aLog, std::string aName, std::string aDomain)
    : name_(std::move(aName))
    , domain_(std::move(aDomain))
    , metrics_(registry_)
    , mesh_(
        aLoop,
        aLog,
        name_,
        domain_,
        [this](const wire::Gossip& aGossip,
               const Endpoint& aOrigin,
               const Endpoint&) {
          if (!silent_) {
            mesh_.RecordHeard(aGossip, aOrigin);
            exchange_.OnReceived(aGossip);
          }
        },
        [] { return 0; })
    , exchange_(aLoop,
                aLog,
                metrics_,
                mesh_,
                name_,
                domain_,
                100,
                {},
                { [this] { return MakeGossip(); },
                  [this] { onDecided_(); },
                  [](const std::string&) { return ColdLimits{}; },
                  [](const std::string&) { return false; } })
  {
    Endpoint::Parse(port_.Address(), endpoint_);
    mesh_.Open(endpoint_);
  }
  wire::Gossip MakeGossip() const
  {
    wire::Gossip gossip;
    gossip.instance = name_;
    gossip.failureDomain = domain_;
    gossip.cpuPercent = 100;
    return gossip;
  }

  std::string name_;
  std::string domain_;
  MetricsRegistry registry_;
  GatewayMetrics metrics_;
  ReservedPort port_;
  Endpoint endpoint_;
  bool silent_ = false; ///< neither hears nor says anything
  std::function<void()> onDecided_ = [] {};
  PeerMesh mesh_;
  SlotExchange exchange_;
};

/// Gateways of the failure domains "a" and "b", and the servers of a service in
/// both.
class SlotExchangeTest : public testing::Test
{
protected:
  SlotExchangeTest()
  {
    std::map<std::string, BackendEntry> entries;
    std::set<std::string> ids;
    for (const std::string domain : { "a", "b" }) {
      for (int index = 0; index < kServers; ++index) {
        BackendEntry entry;
        entry.id_ = Concat("i-", domain, index);
        entry.service_ = "s";
        entry.address_ = Concat("127.0.0.1:", ids.size() + 1);
        entry.failureDomain_ = domain;
        entry.slots_ = kSlots;
        ids.insert(entry.id_);
        entries[entry.id_] = entry;
      }
    }
    pool_.Update(entries, ids);
    for (int index = 0; index < kGateways; ++index) {
      nodes_.push_back(std::make_unique<Node>(
        loop_, log_, Concat("g", index), index % 2 == 0 ? "a" : "b"));
      nodes_.back()->exchange_.UpdateServers(pool_);
    }
    for (const auto& node : nodes_) {
      for (const auto& other : nodes_) {
        if (other != node) {
          node->mesh_.AddRegistered(
            other->name_, other->endpoint_, 1, other->domain_, 100);
        }
      }
    }
    Gossip();
    RunFor(20);
  }
  ~SlotExchangeTest() override { ::close(logFd_); }

  void Gossip()
  {
    gossipTimer_.Start(kGossipMs);
    for (const auto& node : nodes_) {
      if (!node->silent_) {
        node->mesh_.SendToAll(node->MakeGossip());
      }
    }
  }
  void RunFor(TimeMs aMs)
  {
    Timer timer(loop_, [this] { loop_.Stop(); });
    timer.Start(aMs);
    loop_.Run();
  }
  SlotDecision Ask(Node& aNode, uint64_t aRequester)
  {
    SlotRequest request;
    request.service_ = ShortHash("s");
    request.objectiveMs_ = 2000;
    request.objectiveLeftMs_ = 2000;
    request.remainingMs_ = 5000;
    return aNode.exchange_.Client().Ask(
      aRequester, request, ShortHash(aNode.domain_), loop_.NowMs());
  }
  Node& BrokerOf(const std::string& aDomain)
  {
    std::vector<BrokerCandidate> candidates;
    for (const auto& node : nodes_) {
      candidates.push_back(
        { ShortHash(node->name_), ShortHash(node->domain_), 100 });
    }
    const auto broker =
      ChooseBroker(candidates, ShortHash("s"), ShortHash(aDomain));
    return **std::ranges::find_if(nodes_, [&](const auto& aNode) {
      return ShortHash(aNode->name_) == *broker;
    });
  }

  EventLoop loop_;
  int logFd_ = ::dup(STDERR_FILENO);
  EventLog log_{ loop_, LogLevel::Warning, logFd_ };
  MetricsRegistry registry_;
  GatewayMetrics metrics_{ registry_ };
  platform::RequestCodec codec_;
  IgnoringObserver observer_;
  RequestLimiter limiter_{ { [] { return RequestLimiter::FleetView{}; },
                             [] {} },
                           1 };
  BackendPool pool_{ loop_,
                     log_,
                     metrics_,
                     codec_,
                     observer_,
                     limiter_,
                     { [](const BackendEntry&) {},
                       [](const BackendEntry&, LimitChange) {} } };
  Timer gossipTimer_{ loop_, [this] { Gossip(); } };
  std::vector<std::unique_ptr<Node>> nodes_;
};

// Guards against servers that get more requests than they have slots, and
// against slots or requests that are lost between gateways. Load: all gateways
// of a domain ask at once, three times as many requests as there are slots.
TEST_F(SlotExchangeTest, GatewaysShareTheSlotsOfADomain)
{
  std::map<uint32_t, int> running;
  int most = 0;
  size_t served = 0;
  std::vector<std::unique_ptr<Timer>> work;
  const auto run = [&](Node& aNode, const SlotDecision& aDecision) {
    ASSERT_EQ(aDecision.state_, SlotState::Assigned);
    most = std::max(most, ++running[aDecision.server_]);
    work.push_back(std::make_unique<Timer>(loop_, [&, aDecision] {
      --running[aDecision.server_];
      ++served;
      aNode.exchange_.Client().Return(
        aDecision.number_, SlotOutcome::Served, kWorkMs, {});
    }));
    work.back()->Start(kWorkMs);
  };
  size_t asked = 0;
  for (const auto& node : nodes_) {
    if (node->domain_ != "a") {
      continue;
    }
    std::vector<uint64_t> requesters = { 1, 2 };
    asked += requesters.size();
    node->onDecided_ = [&, requesters] {
      for (const auto requester : requesters) {
        const auto decision =
          node->exchange_.Client().Check(requester, loop_.NowMs());
        if (decision.state_ != SlotState::Pending &&
            decision.state_ != SlotState::Unasked) {
          run(*node, decision);
        }
      }
    };
    for (const auto requester : requesters) {
      const auto decision = Ask(*node, requester);
      if (decision.state_ != SlotState::Pending) {
        run(*node, decision);
      }
    }
  }
  RunFor(400);
  EXPECT_EQ(served, asked);
  EXPECT_EQ(most, kSlots);
  // No slot stayed taken.
  Node& node = *nodes_[2];
  node.onDecided_ = [] {};
  for (uint64_t requester = 10; requester < 10 + kServers * kSlots;
       ++requester) {
    Ask(node, requester);
  }
  RunFor(20);
  EXPECT_EQ(node.exchange_.Client().SlotsInUse(), size_t{ kServers * kSlots });
}

// Guards against a broker whose loss blocks requests for longer than kSilentMs,
// and against a domain that stays without a broker.
TEST_F(SlotExchangeTest, LossOfABrokerBlocksNoRequest)
{
  Node& lost = BrokerOf("a");
  Node& node = **std::ranges::find_if(nodes_, [&](const auto& aNode) {
    return aNode->domain_ == "a" && aNode.get() != &lost;
  });
  Ask(node, 1);
  RunFor(10);
  EXPECT_EQ(node.exchange_.Client().Check(1, loop_.NowMs()).state_,
            SlotState::Assigned);
  lost.silent_ = true;
  const TimeMs startMs = loop_.NowMs();
  std::optional<TimeMs> decidedMs;
  node.onDecided_ = [&] { decidedMs = loop_.NowMs(); };
  EXPECT_EQ(Ask(node, 2).state_, SlotState::Pending);
  RunFor(2 * SlotClient::kSilentMs);
  // By the deputy.
  EXPECT_EQ(node.exchange_.Client().Check(2, loop_.NowMs()).state_,
            SlotState::Assigned);
  ASSERT_TRUE(decidedMs);
  // Two polls, and what a busy machine adds.
  EXPECT_LT(*decidedMs - startMs, SlotClient::kSilentMs + 30);
  RunFor(PeerMesh::kAliveMs + kGossipMs);
  Ask(node, 3);
  RunFor(10);
  EXPECT_EQ(node.exchange_.Client().Check(3, loop_.NowMs()).state_,
            SlotState::Assigned);
}

// Guards against gateways that schedule alone, each for itself, after their
// start or cut off from the others.
TEST_F(SlotExchangeTest, LoneGatewayKnowsNoBroker)
{
  for (const auto& node : nodes_) {
    node->silent_ = node != nodes_.front();
  }
  RunFor(PeerMesh::kAliveMs + kGossipMs);
  EXPECT_EQ(Ask(*nodes_.front(), 1).state_, SlotState::Unscheduled);
}

// Guards against full domains that do not learn of the room of idle ones, whose
// brokers have nothing to do. Load: twice the slots of one domain, none in the
// other.
TEST_F(SlotExchangeTest, RequestsReachTheRoomOfAnotherDomain)
{
  Node& node = *nodes_.front();
  uint64_t requester = 0;
  const auto domainOf = [&](uint32_t aServer) {
    for (const auto& backend : pool_.OfService("s")) {
      if (backend->idHash_ == aServer) {
        return backend->entry_.failureDomain_;
      }
    }
    return std::string();
  };
  std::map<std::string, int> assigned;
  std::set<uint64_t> pending;
  const auto check = [&] {
    std::erase_if(pending, [&](uint64_t aRequester) {
      const auto decision =
        node.exchange_.Client().Check(aRequester, loop_.NowMs());
      if (decision.state_ == SlotState::Assigned) {
        ++assigned[domainOf(decision.server_)];
      }
      return decision.state_ != SlotState::Pending;
    });
  };
  node.onDecided_ = check;
  // Slots are taken until the end of the test.
  const auto fill = [&] {
    for (int slot = 0; slot < kServers * kSlots; ++slot) {
      pending.insert(++requester);
      Ask(node, requester);
      check();
      RunFor(kWorkMs);
    }
  };
  fill();
  RunFor(2000);
  fill();
  EXPECT_EQ(assigned["a"], kServers * kSlots);
  EXPECT_GT(assigned["b"], 0);
}

}
}

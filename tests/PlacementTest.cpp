#include "policy/Placement.hpp"

#include "policy/FleetLoadTable.hpp"
#include "policy/PreferredServers.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr PlacementRequest kRequest{ 2000, 300, 0, 0 };

PlacementCandidate Server(double aExpectedMs, double aWorkMs)
{
  PlacementCandidate candidate;
  candidate.expectedMs_ = aExpectedMs;
  candidate.serviceTimeMs_ = aWorkMs;
  return candidate;
}

// Guards against a request that queues at a busy server while another is free.
TEST(Placement, ChoosesTheLowestExpectedLatency)
{
  const std::vector servers = { Server(250, 100), Server(120, 120) };
  const auto decision = Place({}, kRequest, servers);
  EXPECT_EQ(decision.verdict_, PlacementVerdict::Send);
  EXPECT_EQ(decision.index_, 1U);
}

// Guards against queues that make all responses late. A request that can't be
// served within its objective waits for an eighth of it and is then rejected,
// with a Retry-After that the caller honours.
TEST(Placement, RejectsRequestsThatWouldBeLate)
{
  const std::vector servers = { Server(900, 100) };
  auto request = kRequest;
  EXPECT_EQ(Place({}, request, servers).verdict_, PlacementVerdict::Wait);
  request.waitedMs_ = 40;
  const auto decision = Place({}, request, servers);
  EXPECT_EQ(decision.verdict_, PlacementVerdict::Refuse);
  EXPECT_GE(decision.retryAfterMs_, 30);
  EXPECT_LE(decision.retryAfterMs_, request.remainingMs_ / 3);
}

// Guards against rejecting requests for a slow server that has no queue.
TEST(Placement, UsesASlowServerThatDoesNotQueue)
{
  EXPECT_EQ(Place({}, kRequest, std::vector{ Server(700, 700) }).verdict_,
            PlacementVerdict::Send);
}

// Guards against sending a request to servers that are down, have already
// failed it or are full, and against waiting when no server can become
// available.
TEST(Placement, SkipsUnusableServers)
{
  auto down = Server(100, 100);
  down.down_ = true;
  auto tried = Server(100, 100);
  tried.tried_ = true;
  EXPECT_EQ(Place({}, kRequest, std::vector{ down, tried }).verdict_,
            PlacementVerdict::Refuse);
  auto full = Server(100, 100);
  full.full_ = true;
  EXPECT_EQ(Place({}, kRequest, std::vector{ full }).verdict_,
            PlacementVerdict::Wait);
}

// Guards against partially failing servers that attract requests because they
// fail fast.
TEST(Placement, AvoidsFailingServers)
{
  auto failing = Server(80, 80);
  failing.failureShare_ = 0.4;
  EXPECT_EQ(
    Place({}, kRequest, std::vector{ failing, Server(150, 150) }).index_, 1U);
}

// Guards against large bodies and responses that cross failure domains without
// need.
TEST(Placement, KeepsLargeBodiesInTheirDomain)
{
  auto far = Server(70, 70);
  far.sameDomain_ = false;
  auto request = kRequest;
  const std::vector servers = { far, Server(90, 90) };
  EXPECT_EQ(Place({}, request, servers).index_, 0U);
  request.bytes_ = 1500;
  EXPECT_EQ(Place({}, request, servers).index_, 0U);
  request.bytes_ = 60000;
  EXPECT_EQ(Place({}, request, servers).index_, 1U);
}

// Guards against requests that become late to save cross-domain traffic: a
// server of the same domain whose response is only just within the objective
// has no advantage.
TEST(Placement, CrossesDomainsWhenTheOwnDomainQueues)
{
  auto far = Server(120, 100);
  far.sameDomain_ = false;
  auto request = kRequest;
  request.bytes_ = 60000;
  EXPECT_EQ(Place({}, request, std::vector{ far, Server(220, 100) }).index_,
            0U);
  EXPECT_EQ(Place({}, request, std::vector{ far, Server(200, 100) }).index_,
            1U);
}

std::vector<NodeLocation> Names(const char* aPrefix, int aCount, int aDomains)
{
  std::vector<NodeLocation> names;
  for (int index = 0; index < aCount; ++index) {
    names.emplace_back(aPrefix + std::to_string(index),
                       "d" + std::to_string(index % aDomains));
  }
  return names;
}

// Guards against servers that no gateway prefers: if there are enough servers,
// each of them is preferred by a gateway.
RC_GTEST_PROP(PreferredServers, EveryServerIsPreferredByAGateway, ())
{
  const auto gateways =
    Names("g", *rc::gen::inRange(1, 70), *rc::gen::inRange(1, 5));
  const auto servers =
    Names("s", *rc::gen::inRange(1, 150), *rc::gen::inRange(1, 6));
  std::map<std::string, int> preferringGateways;
  size_t most = 0;
  for (const auto& [gateway, domain] : gateways) {
    const auto own = PreferredServers(gateway, gateways, servers);
    most = std::max(most, own.size());
    for (const auto& server : own) {
      ++preferringGateways[server];
    }
  }
  if (servers.size() >= gateways.size() * 6) {
    RC_ASSERT(preferringGateways.size() == servers.size());
  }
  // With more gateways than servers, gateways share a server.
  for (const auto& [server, count] : preferringGateways) {
    RC_ASSERT(count <= static_cast<int>(gateways.size()));
  }
}

// Guards against loads that are sent repeatedly although nothing has changed.
TEST(FleetLoadTable, ReturnsEachChangeOnce)
{
  FleetLoadTable table;
  table.Add({ 7, 100, 3 }, 1000);
  EXPECT_EQ(table.TakeChanged(1000).size(), 1U);
  EXPECT_TRUE(table.TakeChanged(1100).empty());
  table.Add({ 7, 0, 5 }, 1200);
  const auto changed = table.TakeChanged(1200);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed[0].load_, 5);
  EXPECT_EQ(changed[0].serviceTimeMs_, 100)
    << "an unknown time keeps the known one";
  EXPECT_TRUE(table.TakeChanged(1200 + FleetLoadTable::kExpiryMs + 1).empty());
  EXPECT_EQ(table.ServiceTimeMs(7), 0);
}

}
}

#include "scheduling/BrokerChoice.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kDomains = 4;
constexpr uint32_t kServices = 400;

/// Gateways with drawn hashes, spread over the domains 1 to kDomains.
std::vector<BrokerCandidate> MakeGateways(size_t aCount)
{
  std::mt19937 random(20261206);
  std::vector<BrokerCandidate> gateways;
  for (size_t index = 0; index < aCount; ++index) {
    const auto gateway = static_cast<uint32_t>(random());
    const auto domain = static_cast<uint32_t>(index % kDomains + 1);
    gateways.push_back({ gateway, domain, 100 });
  }
  return gateways;
}

// Guards against brokers in another domain while the own one has gateways.
TEST(BrokerChoice, TakesAGatewayOfTheDomain)
{
  const auto gateways = MakeGateways(40);
  for (uint32_t service = 1; service <= kServices; ++service) {
    const auto broker = ChooseBroker(gateways, service, 2);
    ASSERT_TRUE(broker);
    const auto found =
      std::ranges::find(gateways, *broker, &BrokerCandidate::gateway_);
    EXPECT_EQ(found->domain_, 2u);
  }
  EXPECT_FALSE(ChooseBroker({}, 1, 2));
}

// Guards against small gateways that schedule while larger ones are there.
TEST(BrokerChoice, TakesTheMostCpu)
{
  auto gateways = MakeGateways(40);
  gateways[4].cpuPercent_ = 200;
  EXPECT_EQ(ChooseBroker(gateways, 7, gateways[4].domain_),
            gateways[4].gateway_);
}

// Guards against gateways that choose differently with the same view.
TEST(BrokerChoice, DoesNotDependOnTheOrder)
{
  auto gateways = MakeGateways(40);
  const auto broker = ChooseBroker(gateways, 7, 1);
  std::ranges::reverse(gateways);
  EXPECT_EQ(ChooseBroker(gateways, 7, 1), broker);
}

// Guards against a loss that moves the services of other gateways, and against
// one gateway that is the broker of most services.
TEST(BrokerChoice, LossOfAGatewayMovesOnlyItsServices)
{
  const auto gateways = MakeGateways(40);
  const auto lost = gateways.front();
  auto left = gateways;
  left.erase(left.begin());
  std::map<uint32_t, uint32_t> counts;
  for (uint32_t service = 1; service <= kServices; ++service) {
    const auto before = ChooseBroker(gateways, service, lost.domain_);
    const auto after = ChooseBroker(left, service, lost.domain_);
    ++counts[*before];
    if (*before == lost.gateway_) {
      EXPECT_NE(*after, lost.gateway_);
    } else {
      EXPECT_EQ(after, before);
    }
  }
  // Ten gateways share the services; none has three times its part.
  EXPECT_EQ(counts.size(), gateways.size() / kDomains);
  for (const auto& [gateway, count] : counts) {
    EXPECT_LT(count, 3 * kServices * kDomains / gateways.size());
  }
}

// Guards against domains without gateways that nobody schedules, or all the
// same gateway.
TEST(BrokerChoice, GatewaysOfOtherDomainsShareThoseWithoutAny)
{
  const auto gateways = MakeGateways(40);
  std::map<uint32_t, int> counts;
  for (uint32_t domain = 100; domain < 140; ++domain) {
    const auto broker = ChooseBroker(gateways, 7, domain);
    ASSERT_TRUE(broker);
    ++counts[*broker];
  }
  EXPECT_GT(counts.size(), 10u);
}

}
}

#include "gateway/GatewaySettings.hpp"

#include "common/Strings.hpp"

#include <array>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

SettingsAction Parse(Settings& aSettings, Settings::Environment aEnvironment)
{
  for (const auto* name : { "INSTANCE", "FAILURE_DOMAIN" }) {
    aEnvironment[Concat("CACTUSPITCH_", name)] = "a";
  }
  for (const auto* name :
       { "LISTEN", "READY_LISTEN", "PEER_LISTEN", "METRICS_LISTEN", "STORE" }) {
    aEnvironment[Concat("CACTUSPITCH_", name)] = "127.0.0.1:1";
  }
  std::string program = "gateway";
  std::array<char*, 2> arguments = { program.data(), nullptr };
  return aSettings.Parse(1, arguments.data(), aEnvironment);
}

// Guards against defaults that differ from those of the decision itself, and
// against a wrong unit.
TEST(GatewaySettings, CostOfCrossing)
{
  Settings defaults(GatewaySettingSpecs());
  ASSERT_EQ(Parse(defaults, {}), SettingsAction::Run);
  const auto read = ReadGatewaySettings(defaults).crossing_;
  EXPECT_EQ(read.msPerKb_, CrossingOptions{}.msPerKb_);
  EXPECT_EQ(read.maxCostShare_, CrossingOptions{}.maxCostShare_);

  Settings settings(GatewaySettingSpecs());
  ASSERT_EQ(Parse(settings,
                  { { "CACTUSPITCH_CROSS_DOMAIN_COST_MS_PER_KB", "20" },
                    { "CACTUSPITCH_CROSS_DOMAIN_COST_MAX_PERCENT", "25" } }),
            SettingsAction::Run);
  EXPECT_EQ(ReadGatewaySettings(settings).crossing_.msPerKb_, 20);
  EXPECT_EQ(ReadGatewaySettings(settings).crossing_.maxCostShare_, 0.25);
}

// Guards against a start with costs that no request can have.
TEST(GatewaySettings, InvalidCostOfCrossing)
{
  for (const auto* text : { "-1", "10001", "x", "5.5" }) {
    Settings settings(GatewaySettingSpecs());
    EXPECT_EQ(
      Parse(settings, { { "CACTUSPITCH_CROSS_DOMAIN_COST_MS_PER_KB", text } }),
      SettingsAction::Invalid)
      << text;
  }
  for (const auto* text : { "0", "101", "nan" }) {
    Settings settings(GatewaySettingSpecs());
    EXPECT_EQ(Parse(settings,
                    { { "CACTUSPITCH_CROSS_DOMAIN_COST_MAX_PERCENT", text } }),
              SettingsAction::Invalid)
      << text;
  }
}

}
}

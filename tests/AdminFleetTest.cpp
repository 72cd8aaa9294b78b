#include "Deployment.hpp"
#include "common/Strings.hpp"
#include "ctl/ApiClient.hpp"
#include "standin/LoadGenerator.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr char kService[] = "registry-query";
constexpr TimeMs kWaitMs = 8000;

DeploymentOptions Options()
{
  DeploymentOptions options;
  options.instances_ = 2;
  options.withAdmin_ = true;
  options.adminFlags_ = { "--slo-interval-ms", "1000" };
  options.services_ = { { .name_ = kService } };
  return options;
}

/// Routers, assigners, admin processes and backend servers as real processes.
class AdminFleetTest : public testing::Test
{
protected:
  AdminFleetTest()
    : deployment_(BINARY_DIR, Options())
  {
  }

  void SetUp() override { ASSERT_EQ(deployment_.Start(), ""); }

  nlohmann::json Get(const std::string& aTarget, int aAdmin = 0)
  {
    const ApiClient client(clock_,
                           { deployment_.AdminAddress(aAdmin), "", 10000 });
    const auto response = client.Get(aTarget);
    return response.ok() ? response->body_ : nlohmann::json();
  }

  int64_t SloRequests(int aAdmin)
  {
    const auto report = Get("/v1/slo", aAdmin);
    int64_t requests = 0;
    for (const auto& objective :
         report.value("objectives", nlohmann::json::array())) {
      if (objective.at("objective") == "availability") {
        requests += objective.at("windows").at(2).at("requests").get<int64_t>();
      }
    }
    return requests;
  }

  /// Request count once it has not changed for 2.5 save intervals.
  int64_t WaitForStableCount(int aAdmin)
  {
    constexpr TimeMs kQuietMs = 2500;
    auto count = SloRequests(aAdmin);
    while (WaitFor(kQuietMs, [&] { return SloRequests(aAdmin) != count; })) {
      count = SloRequests(aAdmin);
    }
    return count;
  }

  int64_t Load()
  {
    LoadOptions load;
    load.targets_ = deployment_.Routers();
    load.services_ = { kService };
    load.rate_ = 300;
    load.durationMs_ = 1000;
    load.warmupMs_ = 0;
    load.connections_ = 8;
    load.postPercent_ = 0;
    load.maxAttempts_ = 1;
    return RunLoad(clock_, load).Requests();
  }

  SteadyClock clock_;
  Deployment deployment_;
};

// Guards against a change that is reported as in force before all processes use
// it, and against responses that do not reflect the assigners' current tables
// and reasons of moves. The owner of a key is killed to cause a move.
TEST_F(AdminFleetTest, ChangesAndMovesOfRealProcessesAreShown)
{
  const ApiClient client(clock_, { deployment_.AdminAddress(0), "", 10000 });
  const auto base = Get("/v1/defaults").value("version", int64_t{ 0 });
  const auto changed =
    client.Post("/v1/changes",
                { { "baseVersion", base },
                  { "author", "ann" },
                  { "reason", "test" },
                  { "defaults", { { "latencyMs", 400 } } } });
  ASSERT_TRUE(changed.ok());
  ASSERT_EQ(changed->status_, 200) << changed->text_;
  const auto wait = Get(Concat("/v1/wait?timeoutMs=5000&version=", base + 1));
  EXPECT_TRUE(wait.value("inForce", false)) << wait;
  EXPECT_EQ(wait.value("processes", 0), 4) << wait;

  const auto owner = Get(Concat("/v1/owner?key=k&service=", kService));
  const auto killed = owner.at("owner").at("id").get<std::string>();
  ASSERT_TRUE(std::ranges::count(deployment_.BackendNames(kService), killed))
    << owner;
  deployment_.Fleet().Kill(killed);
  EXPECT_TRUE(WaitFor(kWaitMs, [&] {
    const auto now = Get(Concat("/v1/owner?key=k&service=", kService));
    return now.at("owner").is_object() && now.at("owner").at("id") != killed &&
           now.at("epoch") > owner.at("epoch") && now.at("since").is_number();
  }));
  const auto moves = Get(Concat("/v1/moves?service=", kService)).at("moves");
  ASSERT_FALSE(moves.empty());
  EXPECT_TRUE(std::ranges::any_of(moves,
                                  [&](const auto& aMove) {
                                    return aMove.at("from") == killed &&
                                           !aMove.at("reason").empty() &&
                                           aMove.at("reason") != "";
                                  }))
    << moves.front();
  EXPECT_GT(Get("/v1/measures")
              .at("services")
              .at(kService)
              .at("churnPeakPercent")
              .get<double>(),
            0);
}

// Guards against slices without a load although the routers report their load.
TEST_F(AdminFleetTest, SlicesShowTheLoadOfTheRouters)
{
  ASSERT_GT(Load(), 0);
  EXPECT_TRUE(WaitFor(kWaitMs, [&] {
    const auto slices =
      Get(Concat("/v1/slices?service=", kService)).at("slices");
    return std::ranges::any_of(slices, [](const auto& aSlice) {
      return aSlice.at("load").is_number() && aSlice.at("load") > 0;
    });
  }));
}

// Guards against request counts of the SLO report that are lost or counted
// twice when the admin process that saved them and the router that counted them
// are killed and restarted.
TEST_F(AdminFleetTest, BurnReportSurvivesReplacedProcesses)
{
  // Probe requests that the deployment itself sends are counted as well.
  const auto before = WaitForStableCount(0);
  const auto sent = Load();
  const auto counted = WaitForStableCount(0);
  EXPECT_EQ(counted - before, sent);
  deployment_.Fleet().Kill("router-0");
  deployment_.Fleet().Kill("admin-0");
  deployment_.LaunchRouter(0);
  deployment_.LaunchAdmin(0);
  EXPECT_EQ(SloRequests(1), counted);
  ASSERT_TRUE(WaitFor(kWaitMs, [&] {
    return HttpCall("GET", deployment_.Routers()[0], "/_ready").has_value() &&
           SloRequests(0) == counted;
  }));
  EXPECT_EQ(WaitForStableCount(0), counted);
}

}
}

#include "Deployment.hpp"
#include "common/Strings.hpp"
#include "rpc/ThriftChannel.hpp"

#include <AssignerPeer.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thrift/TOutput.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kWaitMs = 8000;

DeploymentOptions Options()
{
  DeploymentOptions options;
  options.services_ = { { .name_ = "ledger", .backends_ = 3 } };
  options.assignerFlags_ = { "--slices", "16" };
  return options;
}

class AssignerTest : public testing::Test
{
protected:
  AssignerTest()
    : deployment_(BINARY_DIR, Options())
  {
    // By default Thrift prints every refused connection.
    apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
    EXPECT_EQ(deployment_.Start(), "");
  }

  nlohmann::json Status(int aIndex) const
  {
    ThriftChannel<wire::AssignerPeerClient> channel(
      deployment_.AssignerRpc(aIndex), 500, 1000);
    wire::ProcessStatus status;
    const auto called =
      channel.Run([&](auto& aClient) { aClient.GetStatus(status); });
    return called.ok() ? nlohmann::json::parse(status.json)["groups"][0]
                       : nlohmann::json::object();
  }

  /// Index of the instance that reports the role, -1 when none does.
  int Find(const std::string& aRole) const
  {
    for (int i = 0; i < 3; ++i) {
      if (Status(i).value("role", "") == aRole) {
        return i;
      }
    }
    return -1;
  }

  bool IsServedBy(const std::string& aServer) const
  {
    const auto status = Status(Find("assigner"));
    for (const auto& server : status.value("servers", nlohmann::json())) {
      if (server["server"] == aServer) {
        return server["state"] == "leased";
      }
    }
    return false;
  }

  Deployment deployment_;
};

// Guards against a planned stop that leaves the groups without an assigner
// until the deputy's timeout expires.
TEST_F(AssignerTest, StoppingAssignerHandsOver)
{
  const int first = Find("assigner");
  ASSERT_GE(first, 0);
  const auto term = Status(first)["term"].get<Term>();
  const auto name = Concat("assigner-", first);
  EXPECT_EQ(deployment_.Fleet().Terminate(name, kWaitMs), 0)
    << deployment_.Fleet().LogTail(name);
  const int second = Find("assigner");
  ASSERT_GE(second, 0);
  EXPECT_EQ(Status(second)["term"].get<Term>(), term + 1);
}

// Guards against a group without an assigner after its assigner was killed, and
// against a restarted assigner that wrongly takes the group back.
TEST_F(AssignerTest, DeputyTakesOverFromAKilledAssigner)
{
  const int first = Find("assigner");
  ASSERT_GE(first, 0);
  deployment_.Fleet().Kill(Concat("assigner-", first));
  EXPECT_TRUE(WaitFor(kWaitMs, [&] { return Find("assigner") >= 0; }));
  deployment_.LaunchAssigner(first);
  EXPECT_TRUE(WaitFor(kWaitMs, [&] { return !Status(first).empty(); }));
  EXPECT_NE(Status(first).value("role", ""), "assigner");
}

// Guards against an assigner that cannot start without the store. While the
// store is down, the tables come from other assigners.
TEST_F(AssignerTest, StartsWhileTheStoreIsDown)
{
  const int idle = Find("none");
  ASSERT_GE(idle, 0);
  const auto name = Concat("assigner-", idle);
  deployment_.Fleet().Kill(name);
  deployment_.Fleet().Kill("store");
  deployment_.LaunchAssigner(idle);
  EXPECT_TRUE(WaitFor(
    kWaitMs,
    [&] {
      return HttpCall("GET", deployment_.Address(name), "/_ready").has_value();
    }))
    << deployment_.Fleet().LogTail(name);
}

// Guards against a backend server that is not granted slices after a restart.
TEST_F(AssignerTest, RestartedBackendServerIsLeasedAgain)
{
  deployment_.Fleet().Kill("b-ledger-0");
  EXPECT_TRUE(WaitFor(kWaitMs, [&] { return !IsServedBy("b-ledger-0"); }));
  deployment_.LaunchBackend("b-ledger-0");
  EXPECT_TRUE(WaitFor(kWaitMs, [&] { return IsServedBy("b-ledger-0"); }));
}

}
}

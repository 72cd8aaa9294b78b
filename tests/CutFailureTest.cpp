#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

constexpr char kServer[] = "b-inspection-ledger-0";

DeploymentOptions OptionsWithCut()
{
  auto options = FailureRun::DefaultOptions();
  options.cuts_ = { kServer };
  return options;
}

class CutFailureTest : public FailureFixture
{
protected:
  CutFailureTest()
    : FailureFixture(OptionsWithCut())
  {
  }

  void RunWithCutMode(const char* aMode)
  {
    ASSERT_TRUE(run_.GetDeployment().SetCutMode(kServer, aMode));
    EXPECT_TRUE(run_.AllKeysServed());
    FailureRun::SleepFor(1000);
    ASSERT_TRUE(run_.GetDeployment().SetCutMode(kServer, "pass"));
    FailureRun::SleepFor(1500);
    EXPECT_TRUE(run_.AllKeysServed());
  }
};

// Guards against a backend server that receives neither requests nor commands
// and still executes its requests in flight for keys that have moved.
TEST_F(CutFailureTest, ServerReceivesNothing)
{
  RunWithCutMode("drop-up");
}

// Guards against renewing the lease of a backend server that receives requests
// but whose responses are lost: only a received response may renew the lease.
TEST_F(CutFailureTest, ServerResponsesAreLost)
{
  RunWithCutMode("drop-down");
}

// Guards against treating a backend server as failed because its open
// connections went silent: new connections to the server still work.
TEST_F(CutFailureTest, NewConnectionsReplaceSilentOnes)
{
  ASSERT_TRUE(run_.GetDeployment().SetCutMode(kServer, "silence-open"));
  EXPECT_TRUE(run_.AllKeysServed());
  FailureRun::SleepFor(1000);
}

}
}

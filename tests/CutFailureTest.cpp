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

// Guards against a server that gets no requests or orders and goes on to run
// those that are under way, for keys that moved.
TEST_F(CutFailureTest, ServerReceivesNothing)
{
  RunWithCutMode("drop-up");
}

// Guards against a server that still gets requests but whose answers are lost:
// only a received answer may renew its lease.
TEST_F(CutFailureTest, ServerResponsesAreLost)
{
  RunWithCutMode("drop-down");
}

// Guards against a server that is blamed for connections that went silent.
TEST_F(CutFailureTest, NewConnectionsReplaceSilentOnes)
{
  ASSERT_TRUE(run_.GetDeployment().SetCutMode(kServer, "silence-open"));
  EXPECT_TRUE(run_.AllKeysServed());
  FailureRun::SleepFor(1000);
}

}
}

#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

constexpr char kServer[] = "b-inspection-ledger-0";

DeploymentOptions WithCut()
{
  auto options = FailureRun::DefaultOptions();
  options.cuts_ = { kServer };
  return options;
}

class CutFailureTest : public FailureFixture
{
protected:
  CutFailureTest()
    : FailureFixture(WithCut())
  {
  }

  void CutAndHeal(const char* aMode)
  {
    ASSERT_TRUE(run_.Running().SetCut(kServer, aMode));
    EXPECT_TRUE(run_.IsServed());
    FailureRun::Let(1000);
    ASSERT_TRUE(run_.Running().SetCut(kServer, "pass"));
    FailureRun::Let(1500);
    EXPECT_TRUE(run_.IsServed());
  }
};

// Guards against a server that gets no requests or orders and goes on to run
// those that are under way, for keys that moved.
TEST_F(CutFailureTest, ServerThatHearsNothing)
{
  CutAndHeal("drop-up");
}

// Guards against a server that still gets requests but whose answers are lost:
// only a received answer may renew its lease.
TEST_F(CutFailureTest, ServerThatIsNotHeard)
{
  CutAndHeal("drop-down");
}

// Guards against a server that is blamed for connections that went silent.
TEST_F(CutFailureTest, NewConnectionsReplaceSilentOnes)
{
  ASSERT_TRUE(run_.Running().SetCut(kServer, "silence-open"));
  EXPECT_TRUE(run_.IsServed());
  FailureRun::Let(1000);
}

}
}

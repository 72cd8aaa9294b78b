#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

DeploymentOptions Unchecked()
{
  auto options = FailureRun::DefaultOptions();
  options.services_.front().checksFence_ = false;
  return options;
}

class UncheckedServerTest : public FailureFixture
{
protected:
  UncheckedServerTest()
    : FailureFixture(Unchecked())
  {
  }
};

// Guards against two servers that run requests of one key when the servers do
// not check who gives an order, and a paused one resumes.
TEST_F(UncheckedServerTest, PausedOwnerReturns)
{
  const auto owner = run_.OwnerOf("key-0");
  run_.Fleet().Pause(owner);
  EXPECT_TRUE(run_.IsServed());
  run_.Fleet().Resume(owner);
  FailureRun::Let(2000);
  EXPECT_TRUE(run_.IsServed());
}

// Guards against a paused router that resumes and forwards requests to former
// owners, which run whatever they get.
TEST_F(UncheckedServerTest, PausedRouterReturns)
{
  run_.Fleet().Pause("router-1");
  run_.Fleet().Kill(run_.OwnerOf("key-0"));
  EXPECT_TRUE(run_.IsServed());
  run_.Fleet().Resume("router-1");
  FailureRun::Let(1000);
}

}
}

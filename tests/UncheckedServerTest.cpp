#include "common/Strings.hpp"
#include "tests/FailureFixture.hpp"

#include <thread>
#include <vector>

namespace cactuspitch {
namespace {

DeploymentOptions OptionsWithoutFenceCheck()
{
  auto options = FailureRun::DefaultOptions();
  options.services_.front().checksFence_ = false;
  return options;
}

class UncheckedServerTest : public FailureFixture
{
protected:
  UncheckedServerTest()
    : FailureFixture(OptionsWithoutFenceCheck())
  {
    // Clients of the paused router 1 would get no response, so the load goes to
    // the other two routers.
    run_.UseRouters({ 0, 2 });
  }
};

// Guards against two backend servers that execute requests for one key when a
// paused server resumes and the servers don't check which assigner sent a
// command.
TEST_F(UncheckedServerTest, PausedOwnerReturns)
{
  const auto owner = run_.OwnerOf("key-0");
  run_.Fleet().Pause(owner);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume(owner);
  FailureRun::SleepFor(2000);
  EXPECT_TRUE(run_.AllKeysServed());
}

// Guards against a paused router that resumes and forwards requests to former
// owners, which execute every request that they receive.
TEST_F(UncheckedServerTest, PausedRouterReturns)
{
  run_.Fleet().Pause("router-1");
  // These requests wait in the sockets of the paused router, which reads them
  // after it resumes.
  const auto router = run_.GetDeployment().Routers()[1];
  std::vector<std::thread> callers;
  for (int key = 0; key < 20; ++key) {
    callers.emplace_back([&router, key] {
      HttpCall("GET", router, Concat("/inspection-ledger/key-", key));
    });
  }
  run_.Fleet().Pause(run_.OwnerOf("key-0"));
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume("router-1");
  for (auto& caller : callers) {
    caller.join();
  }
  FailureRun::SleepFor(1000);
}

}
}

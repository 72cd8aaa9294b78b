#include "tests/FailureRun.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

// Guards against a router that resumes with a stale table and sends requests to
// former owners, which execute them. Clients of the paused router would get no
// response, so the load goes to the other two routers.
TEST(StaleRouterTest, ResumedRouterCausesNoExecutionByAFormerOwner)
{
  FailureRun run(BINARY_DIR, FailureRun::DefaultOptions());
  run.UseRouters({ 0, 1 });
  ASSERT_EQ(run.Start(), "");
  FailureRun::SleepFor(1000);
  run.Fleet().Pause("router-2");
  const auto owner = run.OwnerOf("key-0");
  run.Fleet().Pause(owner);
  EXPECT_TRUE(run.AllKeysServed());
  run.Fleet().Resume(owner);
  run.Fleet().Resume("router-2");
  const auto router = run.GetDeployment().Routers()[2];
  EXPECT_TRUE(WaitFor(15000, [&] {
    return HttpCall("GET", router, "/inspection-ledger/key-0").has_value();
  }));
  EXPECT_EQ(run.Finish(), "");
}

}
}

#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

using RouterFailureTest = FailureFixture;

// Guards against a repeat of a non-idempotent request that runs again after
// the router of its first send is gone.
TEST_F(RouterFailureTest, KilledAndRestartedRouter)
{
  run_.Fleet().Kill("router-1");
  FailureRun::SleepFor(2000);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.GetDeployment().LaunchRouter(1);
  EXPECT_TRUE(WaitFor(20000, [this] {
    return HttpCall("GET", run_.GetDeployment().Routers()[1], "/_ready")
      .has_value();
  }));
  FailureRun::SleepFor(1000);
}

}
}

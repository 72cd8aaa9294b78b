#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

using RouterFailureTest = FailureFixture;

// Guards against a second execution of a non-idempotent request: its client
// resends it through another router after the first router was killed.
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

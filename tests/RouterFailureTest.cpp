#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

using RouterFailureTest = FailureFixture;

// Guards against a repeat of a non-idempotent request that runs again after
// the router of its first send is gone.
TEST_F(RouterFailureTest, KilledAndRestartedRouter)
{
  run_.Fleet().Kill("router-1");
  FailureRun::Let(2000);
  EXPECT_TRUE(run_.IsServed());
  run_.Running().LaunchRouter(1);
  EXPECT_TRUE(WaitFor(20000, [this] {
    return HttpCall("GET", run_.Running().Routers()[1], "/_ready").has_value();
  }));
  FailureRun::Let(1000);
}

}
}

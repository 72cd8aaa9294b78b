#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

using StoreFailureTest = FailureFixture;

// Guards against requests that fail while the store doesn't respond.
TEST_F(StoreFailureTest, StoppedStoreDoesNotStopRequests)
{
  run_.Fleet().Pause("store");
  FailureRun::SleepFor(4000);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume("store");
  FailureRun::SleepFor(1000);
  EXPECT_TRUE(run_.AllKeysServed());
}

// Guards against an assigner that treats a write as failed when only the
// response was lost, and against one that ends its term because a single store
// call failed.
TEST_F(StoreFailureTest, LostResponsesAndRandomFailures)
{
  ASSERT_TRUE(run_.GetDeployment().SetStoreFault(
    R"({"seed": 7, "failRate": 0.3, "loseAnswerRate": 0.5, "slowMs": 50,
        "lagMs": {"server": 1000, "instance": 1000}})"));
  run_.Fleet().Kill(run_.OwnerOf("key-0"));
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Kill(run_.OwnerOf("key-1"));
  EXPECT_TRUE(run_.AllKeysServed());
}

}
}

#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

class PlannedStopTest : public FailureFixture
{
protected:
  // A stopping router relies on the balancer, which sends no new requests.
  PlannedStopTest() { run_.UseReadinessChecks(); }

  /// No request was lost or cut short.
  void ExpectNoRequestLost()
  {
    EXPECT_EQ(run_.Finish(), "");
    for (const auto outcome :
         { LoadOutcome::Lost, LoadOutcome::Unknown, LoadOutcome::Truncated }) {
      EXPECT_EQ(run_.Report().Count(outcome), 0) << EnumName(outcome);
    }
  }
  void TearDown() override {}
};

// Guards against a leaving server that gets new work after 3 s, or whose
// requests in flight are cut off.
TEST_F(PlannedStopTest, DrainedServerIsLeftInTime)
{
  const auto owner = run_.OwnerOf("key-0");
  const auto address = run_.GetDeployment().Address(owner);
  ASSERT_TRUE(HttpCall("POST", address, "/_drain"));
  FailureRun::SleepFor(4000);
  const auto stats = HttpCall("GET", address, "/_stats");
  ASSERT_TRUE(stats);
  EXPECT_NE(stats->find("\"arrivedLate\":0"), std::string::npos) << *stats;
  EXPECT_TRUE(run_.AllKeysServed());
  EXPECT_NE(run_.OwnerOf("key-0"), owner);
  ExpectNoRequestLost();
}

// Guards against a router that cuts requests off when it is stopped.
TEST_F(PlannedStopTest, StoppedRouterFinishesItsRequests)
{
  EXPECT_EQ(run_.Fleet().Terminate("router-1", 30000), 0);
  ExpectNoRequestLost();
}

// Guards against unavailable keys while an assigner hands its groups over.
TEST_F(PlannedStopTest, StoppedAssignerHandsOver)
{
  const auto index = run_.AssignerIndex();
  ASSERT_TRUE(index);
  const auto name = "assigner-" + std::to_string(*index);
  EXPECT_EQ(run_.Fleet().Terminate(name, 30000), 0);
  EXPECT_TRUE(run_.AllKeysServed());
  EXPECT_NE(run_.AssignerIndex(), index);
  ExpectNoRequestLost();
}

}
}

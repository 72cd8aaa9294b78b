#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

class PlannedStopTest : public FailureFixture
{
protected:
  // A stopping router relies on the load balancer to send it no new requests.
  PlannedStopTest() { run_.UseReadinessChecks(); }

  /// Stops the load and expects that no request was lost or truncated and that
  /// no outcome is unknown.
  void ExpectNoRequestLost()
  {
    EXPECT_EQ(run_.Finish(), "");
    for (const auto outcome : { LoadOutcome::ConnectionLost,
                                LoadOutcome::Unknown,
                                LoadOutcome::Truncated }) {
      EXPECT_EQ(run_.Report().Count(outcome), 0) << EnumName(outcome);
    }
  }
  void TearDown() override {}
};

// Guards against a draining server that gets new requests later than 3 s after
// the drain began, and against losing its requests in flight.
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

// Guards against a router that aborts requests in flight when it is stopped.
TEST_F(PlannedStopTest, StoppedRouterFinishesItsRequests)
{
  EXPECT_EQ(run_.Fleet().Terminate("router-1", 30000), 0);
  ExpectNoRequestLost();
}

// Guards against keys that become unavailable while a stopping assigner hands
// its groups over to another instance.
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

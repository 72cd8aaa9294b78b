#include "common/Strings.hpp"
#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

class AssignerFailureTest : public FailureFixture
{
protected:
  void SetUp() override
  {
    FailureFixture::SetUp();
    const auto index = run_.AssignerIndex();
    ASSERT_TRUE(index);
    index_ = *index;
    assigner_ = Concat("assigner-", index_);
  }

  bool WaitForOtherAssigner()
  {
    return WaitFor(20000, [this] {
      const auto now = run_.AssignerIndex();
      return now && *now != index_;
    });
  }

  int index_ = 0;
  std::string assigner_;
};

// Guards against a group that stays without an assigner after its assigner was
// killed.
TEST_F(AssignerFailureTest, DeputyTakesOverFromAKilledAssigner)
{
  run_.Fleet().Kill(assigner_);
  EXPECT_TRUE(WaitForOtherAssigner());
  run_.Fleet().Kill(run_.OwnerOf("key-0"));
  EXPECT_TRUE(run_.AllKeysServed());
}

// Guards against an assigner that resumes after a pause and sends commands of
// its old term.
TEST_F(AssignerFailureTest, ResumedAssignerStepsDown)
{
  run_.Fleet().Pause(assigner_);
  EXPECT_TRUE(WaitForOtherAssigner());
  run_.Fleet().Kill(run_.OwnerOf("key-0"));
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume(assigner_);
  FailureRun::SleepFor(2000);
  EXPECT_TRUE(run_.AllKeysServed());
}

// Guards against two active assigners after assigner and owner are lost
// together.
TEST_F(AssignerFailureTest, OwnerAndAssignerAreLostTogether)
{
  const auto owner = run_.OwnerOf("key-0");
  run_.Fleet().Pause(owner);
  run_.Fleet().Pause(assigner_);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume(assigner_);
  run_.Fleet().Resume(owner);
  FailureRun::SleepFor(2000);
  EXPECT_TRUE(run_.AllKeysServed());
}

}
}

#include "tests/FailureFixture.hpp"

namespace cactuspitch {
namespace {

class OwnerFailureTest : public FailureFixture
{
protected:
  void SetUp() override
  {
    FailureFixture::SetUp();
    owner_ = run_.OwnerOf("key-0");
    ASSERT_FALSE(owner_.empty());
  }

  std::string owner_;
};

// Guards against keys left without an owner, and non-idempotent requests that
// run twice, after the owner's process is killed.
TEST_F(OwnerFailureTest, KilledOwnerIsReplaced)
{
  run_.Fleet().Kill(owner_);
  EXPECT_TRUE(run_.AllKeysServed());
  EXPECT_NE(run_.OwnerOf("key-0"), owner_);
}

// Guards against an owner that resumes after its lease expired and executes
// requests for keys that another server owns by then.
TEST_F(OwnerFailureTest, PausedOwnerReturnsWithoutOwnership)
{
  run_.Fleet().Pause(owner_);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume(owner_);
  FailureRun::SleepFor(2000);
  EXPECT_TRUE(run_.AllKeysServed());
}

// Guards against a failover that needs the store: the owner is killed while the
// store doesn't respond.
TEST_F(OwnerFailureTest, OwnerIsReplacedWhileTheStoreIsSilent)
{
  run_.Fleet().Pause("store");
  FailureRun::SleepFor(2000);
  run_.Fleet().Kill(owner_);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume("store");
  FailureRun::SleepFor(1000);
  EXPECT_TRUE(run_.AllKeysServed());
}

}
}

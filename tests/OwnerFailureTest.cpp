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

// Guards against keys that stay without an owner, or requests that run twice,
// after the owner's process is gone.
TEST_F(OwnerFailureTest, KilledOwnerIsReplaced)
{
  run_.Fleet().Kill(owner_);
  EXPECT_TRUE(run_.AllKeysServed());
  EXPECT_NE(run_.OwnerOf("key-0"), owner_);
}

// Guards against an owner that resumes after its lease has ended and runs
// requests of keys that another server owns by now.
TEST_F(OwnerFailureTest, PausedOwnerReturnsWithoutOwnership)
{
  run_.Fleet().Pause(owner_);
  EXPECT_TRUE(run_.AllKeysServed());
  run_.Fleet().Resume(owner_);
  FailureRun::SleepFor(2000);
  EXPECT_TRUE(run_.AllKeysServed());
}

// Guards against a takeover that needs the store.
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

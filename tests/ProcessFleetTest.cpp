#include "tests/ProcessFleet.hpp"

#include "tests/ReservedPort.hpp"

#include <csignal>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kWaitMs = 10000;

class ProcessFleetTest : public testing::Test
{
protected:
  ProcessFleetTest()
    : fleet_(std::make_unique<ProcessFleet>(BINARY_DIR))
  {
    fleet_->Launch("store", "standin-store", { "--listen", port_.Address() });
    EXPECT_TRUE(WaitFor(kWaitMs, [this] { return IsAnswering(); }));
  }

  bool IsAnswering() const
  {
    return HttpCall("GET", port_.Address(), "/_health").has_value();
  }

  ReservedPort port_;
  std::unique_ptr<ProcessFleet> fleet_;
};

// Guards against a pause that has not begun when the test goes on.
TEST_F(ProcessFleetTest, PausedProcessIsSilentUntilResumed)
{
  fleet_->Pause("store");
  EXPECT_FALSE(IsAnswering());
  EXPECT_TRUE(fleet_->IsRunning("store"));
  fleet_->Resume("store");
  EXPECT_TRUE(WaitFor(kWaitMs, [this] { return IsAnswering(); }));
  EXPECT_EQ(fleet_->Terminate("store", kWaitMs), 0);
}

// Guards against processes that outlive a failed test, a paused one included.
TEST_F(ProcessFleetTest, DestructorEndsAllProcesses)
{
  const pid_t pid = fleet_->Pid("store");
  fleet_->Pause("store");
  fleet_.reset();
  EXPECT_EQ(kill(pid, 0), -1);
}

// Guards against a program that does not start and is taken as running.
TEST_F(ProcessFleetTest, MissingProgramHasEnded)
{
  fleet_->Launch("other", "no-such-program", {});
  EXPECT_TRUE(WaitFor(kWaitMs, [this] { return !fleet_->IsRunning("other"); }));
  fleet_->Kill("store");
  EXPECT_FALSE(fleet_->IsRunning("store"));
}

}
}

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
    EXPECT_TRUE(WaitFor(kWaitMs, [this] { return IsResponding(); }));
  }

  bool IsResponding() const
  {
    return HttpCall("GET", port_.Address(), "/_health").has_value();
  }

  ReservedPort port_;
  std::unique_ptr<ProcessFleet> fleet_;
};

// Guards against Pause() returning before the process has stopped.
TEST_F(ProcessFleetTest, PausedProcessDoesNotRespondUntilResumed)
{
  fleet_->Pause("store");
  EXPECT_FALSE(IsResponding());
  EXPECT_TRUE(fleet_->IsRunning("store"));
  fleet_->Resume("store");
  EXPECT_TRUE(WaitFor(kWaitMs, [this] { return IsResponding(); }));
  EXPECT_EQ(fleet_->Terminate("store", kWaitMs), 0);
}

// Guards against processes, also paused ones, that outlive a failed test.
TEST_F(ProcessFleetTest, DestructorEndsAllProcesses)
{
  const pid_t pid = fleet_->Pid("store");
  fleet_->Pause("store");
  fleet_.reset();
  EXPECT_EQ(kill(pid, 0), -1);
}

// Guards against a program that fails to start but is reported as running.
TEST_F(ProcessFleetTest, MissingProgramHasEnded)
{
  fleet_->Launch("other", "no-such-program", {});
  EXPECT_TRUE(WaitFor(kWaitMs, [this] { return !fleet_->IsRunning("other"); }));
  fleet_->Kill("store");
  EXPECT_FALSE(fleet_->IsRunning("store"));
}

}
}

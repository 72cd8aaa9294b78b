#include "gateway/BackendLoad.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr int kSlots = 3;
constexpr double kWorkMs = 100;

BackendLoad MakeMeasured()
{
  BackendLoad load(kSlots);
  for (int index = 0; index < 10; ++index) {
    load.OnResponse(kWorkMs, 0, index);
  }
  return load;
}

// Load: servers on shared hosts, a fifth of them three times slower at any
// moment. Guards against requests that go to a server while its host is slow
// although another one has room.
TEST(BackendLoad, ExpectsMoreTimeWhileTheHostIsSlow)
{
  auto load = MakeMeasured();
  load.OnReport({ 0, 0, kSlots, 3 }, 1000);
  EXPECT_GT(load.ServiceTimeMs(1000), 2 * kWorkMs);
  // The report is worth little after a few changes of the host's speed.
  EXPECT_LT(load.ServiceTimeMs(2500), 1.1 * kWorkMs);
}

// Guards against servers that report no slowness and are treated differently
// than before.
TEST(BackendLoad, ReportsOfThreeFiguresLeaveTheServiceTime)
{
  auto load = MakeMeasured();
  load.OnReport({ 1, 0, kSlots, {} }, 1000);
  EXPECT_DOUBLE_EQ(load.ServiceTimeMs(1000), kWorkMs);
}

}
}

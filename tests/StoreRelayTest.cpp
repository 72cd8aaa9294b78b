#include "gateway/StoreRelay.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

/// Time from a change to its being in force everywhere.
constexpr TimeMs kConfigBoundMs = 2000;

// Guards against calls that grow with the fleet while the store is there.
TEST(StoreRelay, FewWatchInCalmTimes)
{
  EXPECT_EQ(StoreRelay::WantedWatchers(0, 2300), StoreRelay::kWatchers);
  EXPECT_EQ(StoreRelay::WantedWatchers(1200, 68), StoreRelay::kWatchers);
  EXPECT_EQ(StoreRelay::WantedWatchers(0, 2), 2U);
}

// Guards against a change that nobody hears of in time because the store turns
// away just the instances that watch (tas-south trouble-1, rule CONFIG).
TEST(StoreRelay, OthersWatchBeforeTheBound)
{
  EXPECT_EQ(StoreRelay::WantedWatchers(kConfigBoundMs - 500, 8), 8U);
  EXPECT_GT(StoreRelay::WantedWatchers(kConfigBoundMs - 500, 68),
            5 * StoreRelay::kWatchers);
}

// Guards against gateways that never watch although no other reaches the store.
TEST(StoreRelay, AllWatchInTheEnd)
{
  EXPECT_EQ(StoreRelay::WantedWatchers(5000, 68), 68U);
}

}
}

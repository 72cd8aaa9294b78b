#include "common/KeyHash.hpp"
#include "policy/HotKeySketch.hpp"
#include "policy/LoadMerger.hpp"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

KeyHash Key(int aIndex)
{
  return HashKey("key" + std::to_string(aIndex));
}

/// Adds 1,000 requests/s for aSeconds, a fifth of them for the hot key.
void Feed(HotKeySketch& aSketch, KeyHash aHot, TimeMs aBeginMs, int aSeconds)
{
  std::mt19937_64 random(static_cast<uint64_t>(aBeginMs) + 1);
  for (int i = 0; i < 1000 * aSeconds; ++i) {
    const bool isHot = i % 5 == 0;
    aSketch.Add(isHot ? aHot : random(), 1, aBeginMs + i);
  }
}

// Guards against missing a hot key among many cold ones, and against a lower
// bound above the true rate.
TEST(HotKeySketch, FindsTheHotKeyAmongMany)
{
  HotKeySketch sketch;
  Feed(sketch, Key(1), 0, 30);
  const auto top = sketch.Top(1, 30000).front();
  EXPECT_EQ(top.hash_, Key(1));
  EXPECT_NEAR(top.perSecond_, 200, 20);
  EXPECT_LE(top.perSecond_ - top.errorPerSecond_, 220);
}

// Guards against a former hot key that hides one that became hot seconds ago.
TEST(HotKeySketch, NewHotKeyShowsWithinSeconds)
{
  HotKeySketch sketch;
  Feed(sketch, Key(1), 0, 600);
  Feed(sketch, Key(2), 600000, 4);
  const auto top = sketch.Top(2, 604000);
  EXPECT_EQ(top[0].hash_, Key(2));
  EXPECT_GT(top[0].perSecond_, 100);
}

// Guards against wrong sums when the sketches of several threads are merged,
// also after hours in which the weights were rescaled many times.
TEST(HotKeySketch, MergeAddsRates)
{
  constexpr TimeMs kHours = 36000000;
  HotKeySketch left;
  HotKeySketch right;
  Feed(left, Key(1), 0, 10);
  Feed(left, Key(1), kHours, 30);
  Feed(right, Key(1), kHours, 30);
  left.Merge(right, kHours + 30000);
  const auto top = left.Top(1, kHours + 30000).front();
  EXPECT_EQ(top.hash_, Key(1));
  EXPECT_NEAR(top.perSecond_, 400, 40);
}

GroupTable TwoSlices()
{
  GroupTable table;
  table.servers_ = { { .id_ = "a" }, { .id_ = "b" } };
  table.slices_ = { { 0, 1, 0, 1 }, { 1000, 1, 1, 0 } };
  return table;
}

RouterLoadReport Load(const char* aRouter, double aBusyMs)
{
  return {
    aRouter, 1000, { { 0, 100, aBusyMs }, { 1000, 50, aBusyMs } }, { { 5, 25 } }
  };
}

// Guards against the load of one router replacing that of another.
TEST(LoadMerger, SumsRoutersAndWeighsHotKeys)
{
  LoadMerger merger;
  EXPECT_TRUE(merger.Add(Load("r1", 400), 0));
  EXPECT_TRUE(merger.Add(Load("r2", 200), 0));
  BalanceInput input;
  const auto table = TwoSlices();
  merger.Fill(table, 100, input);
  EXPECT_DOUBLE_EQ(input.sliceLoad_[0], 600);
  EXPECT_DOUBLE_EQ(input.sliceLoad_[1], 600);
  ASSERT_EQ(input.hotKeys_.size(), 1u);
  EXPECT_DOUBLE_EQ(input.hotKeys_[0].load_, 150);
}

// Guards against counting the last load of a router forever after it has
// exited.
TEST(LoadMerger, RouterWithoutReportsIsDropped)
{
  LoadMerger merger;
  merger.Add(Load("r1", 400), 0);
  merger.Add(Load("r2", 200), 4000);
  BalanceInput input;
  const auto table = TwoSlices();
  merger.Fill(table, 6000, input);
  EXPECT_EQ(merger.Routers(), 1u);
  EXPECT_DOUBLE_EQ(input.sliceLoad_[0], 200);
}

// Guards against malformed reports that would invalidate all balancing
// decisions.
TEST(LoadMerger, ImplausibleReportsAreIgnored)
{
  LoadMerger merger;
  auto negative = Load("r1", 1);
  negative.slices_[0].requests_ = -1;
  auto emptyWindow = Load("r1", 1);
  emptyWindow.windowMs_ = 0;
  EXPECT_FALSE(merger.Add(Load("r1", std::nan("")), 0));
  EXPECT_FALSE(merger.Add(Load("r1", -1), 0));
  EXPECT_FALSE(merger.Add(Load("r1", INFINITY), 0));
  EXPECT_FALSE(merger.Add(Load("r1", 1e9), 0));
  EXPECT_FALSE(merger.Add(Load("", 1), 0));
  EXPECT_FALSE(merger.Add(negative, 0));
  EXPECT_FALSE(merger.Add(emptyWindow, 0));
  EXPECT_EQ(merger.Routers(), 0u);
  EXPECT_EQ(merger.Rejected(), 7);
}

// Guards against losing load that was measured with the table before a merge.
TEST(LoadMerger, LoadOfMergedSlicesIsKept)
{
  LoadMerger merger;
  merger.Add(Load("r1", 400), 0);
  auto table = TwoSlices();
  table.slices_.pop_back();
  BalanceInput input;
  merger.Fill(table, 100, input);
  EXPECT_DOUBLE_EQ(input.sliceLoad_[0], 800);
}

}
}

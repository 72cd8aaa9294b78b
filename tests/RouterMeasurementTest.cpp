#include "router/LatencyHistogram.hpp"
#include "router/LoadRecorder.hpp"
#include "router/SloCounters.hpp"

#include <algorithm>
#include <numeric>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

// Guards against a p99 that is off by more than the width of a bucket. The
// silence limit and the load reports depend on it.
RC_GTEST_PROP(LatencyHistogram, P99IsWithinOneEighth, ())
{
  auto samples = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int64_t>>(rc::gen::inRange(1, 30000000)));
  LatencyHistogram histogram;
  for (const auto sample : samples) {
    histogram.Record(sample);
  }
  const auto window = histogram.EndWindow();
  std::ranges::sort(samples);
  const auto above = samples.size() / 100;
  const auto exactMs =
    static_cast<double>(samples[samples.size() - 1 - above]) / 1000;
  RC_ASSERT(window.samples_ == static_cast<int64_t>(samples.size()));
  RC_ASSERT(window.p99Ms_ >= exactMs * 0.999);
  RC_ASSERT(window.p99Ms_ <= exactMs * 1.126 + 0.001);
}

// Guards against losing or double-counting requests across threads and windows,
// which would distort the measured load.
TEST(LoadRecorder, ThreadsAndWindowsAddUp)
{
  constexpr int kThreads = 8;
  constexpr int kRequests = 2000;
  const SteadyClock clock;
  LoadRecorder measurements(clock);
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < kRequests; ++n) {
        measurements.Record("svc", n % 2 == 0 ? 0 : 100, n % 2, 0.5);
      }
    });
  }
  int64_t requests = 0;
  double busyMs = 0;
  const auto collect = [&] {
    for (const auto& slice : measurements.EndWindow(10).slices_) {
      requests += slice.requests_;
      busyMs += slice.busyMs_;
    }
  };
  collect();
  for (auto& thread : threads) {
    thread.join();
  }
  collect();
  EXPECT_EQ(requests, kThreads * kRequests);
  EXPECT_DOUBLE_EQ(busyMs, kThreads * kRequests * 0.5);
}

// Guards against a hot key that is missed because only some requests are
// sampled.
TEST(LoadRecorder, HotKeyComesFirst)
{
  constexpr KeyHash kHot = 7;
  const SteadyClock clock;
  LoadRecorder measurements(clock);
  for (KeyHash n = 0; n < 20000; ++n) {
    measurements.Record("svc", 0, n % 5 == 0 ? kHot : 1000 + n, 1);
  }
  const auto window = measurements.EndWindow(3);
  ASSERT_EQ(window.hotKeys_.size(), 1u);
  EXPECT_EQ(window.hotKeys_[0].second.at(0).hash_, kHot);
}

// Guards against counting a request in the wrong minute of the burn report, and
// against memory use that grows with each minute.
TEST(SloCounters, MinutesAreSeparateAndExpire)
{
  int64_t minute = 100;
  SloCounters counters([&] { return minute; });
  counters.Record("svc", "", "s1", "cairo-a");
  counters.Record("svc", "slow", "s1", "cairo-a");
  counters.Record("svc", "slow", "s1", "cairo-a");
  minute = 101;
  counters.Record("svc", "slow", "s2", "giza-a");
  const auto all = counters.Since(100);
  ASSERT_EQ(all.size(), 3u);
  EXPECT_EQ(all[0].cause_, "");
  EXPECT_EQ(all[0].requests_, 1);
  EXPECT_EQ(all[1].cause_, "slow");
  EXPECT_EQ(all[1].requests_, 2);
  EXPECT_EQ(all[1].epochMinute_, 100);
  EXPECT_EQ(all[2].server_, "s2");
  EXPECT_EQ(all[2].failureDomain_, "giza-a");
  EXPECT_EQ(counters.Since(101).size(), 1u);
  minute = 101 + SloCounters::kRetentionMinutes + 1;
  EXPECT_TRUE(counters.Since(0).empty());
}

}
}

#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace cactuspitch {

/// Lock-free histogram of durations with a relative error of 1/8 and
/// exponential decay over recent windows.
class LatencyHistogram
{
public:
  /// Sample count and mean of the last window; p99 over decayed windows.
  struct Window
  {
    int64_t samples_ = 0;
    double meanMs_ = 0;
    double p99Ms_ = 0;
  };

  void Record(int64_t aMicros);
  /// Ends the window and returns its statistics. Only one thread may call it.
  /// Each call halves the weight of earlier windows, so that a few samples do
  /// not change the quantile much.
  Window EndWindow();

private:
  static constexpr size_t kBuckets = 320;
  static size_t BucketOf(int64_t aMicros);
  static double UpperMicros(size_t aBucket);

  std::array<std::atomic<uint32_t>, kBuckets> counts_{};
  std::atomic<int64_t> sumMicros_ = 0;
  std::array<double, kBuckets> decayed_{};
};

}

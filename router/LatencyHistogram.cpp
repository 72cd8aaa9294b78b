#include "LatencyHistogram.hpp"

#include <algorithm>
#include <bit>

namespace cactuspitch {

namespace detail {

constexpr unsigned kSubBits = 3;
constexpr uint64_t kSubBuckets = 1U << kSubBits;
constexpr double kMicrosPerMs = 1000;

}

size_t LatencyHistogram::BucketOf(int64_t aMicros)
{
  const auto value = static_cast<uint64_t>(std::max<int64_t>(aMicros, 0));
  if (value < detail::kSubBuckets) {
    return value;
  }
  const auto shift =
    static_cast<unsigned>(std::bit_width(value)) - 1 - detail::kSubBits;
  const auto bucket =
    (shift + 1) * detail::kSubBuckets + (value >> shift) - detail::kSubBuckets;
  return std::min<size_t>(bucket, kBuckets - 1);
}

double LatencyHistogram::UpperMicros(size_t aBucket)
{
  if (aBucket < detail::kSubBuckets) {
    return static_cast<double>(aBucket);
  }
  const auto shift = aBucket / detail::kSubBuckets - 1;
  const auto base = aBucket % detail::kSubBuckets + detail::kSubBuckets;
  return static_cast<double>(((base + 1) << shift) - 1);
}

void LatencyHistogram::Record(int64_t aMicros)
{
  counts_[BucketOf(aMicros)].fetch_add(1, std::memory_order_relaxed);
  sumMicros_.fetch_add(aMicros, std::memory_order_relaxed);
}

LatencyHistogram::Window LatencyHistogram::EndWindow()
{
  Window window;
  double total = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    const auto count = counts_[i].exchange(0, std::memory_order_relaxed);
    window.samples_ += count;
    decayed_[i] = decayed_[i] / 2 + count;
    total += decayed_[i];
  }
  const auto sum = sumMicros_.exchange(0, std::memory_order_relaxed);
  if (window.samples_ > 0) {
    window.meanMs_ = static_cast<double>(sum) / detail::kMicrosPerMs /
                     static_cast<double>(window.samples_);
  }
  constexpr double kTailShare = 0.01;
  double above = 0;
  for (size_t i = kBuckets; i-- > 0;) {
    above += decayed_[i];
    if (above > total * kTailShare) {
      window.p99Ms_ = UpperMicros(i) / detail::kMicrosPerMs;
      break;
    }
  }
  return window;
}

}

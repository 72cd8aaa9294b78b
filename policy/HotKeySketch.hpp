#pragma once

#include "common/Types.hpp"

#include <array>
#include <cstddef>
#include <vector>

namespace cactuspitch {

struct HotKey
{
  KeyHash hash_ = 0;
  double perSecond_ = 0;      ///< upper bound of the weight per second
  double errorPerSecond_ = 0; ///< perSecond_ minus this is a lower bound
};

/// Space-saving sketch of the heaviest keys with exponential decay. Memory is
/// fixed. Not thread-safe: each thread keeps its own and they are merged.
class HotKeySketch
{
public:
  static constexpr size_t kEntries = 256;
  /// Keys that became hot show within seconds, and old ones are forgotten.
  static constexpr TimeMs kHalfLifeMs = 3000;

  HotKeySketch();

  void Add(KeyHash aHash, double aWeight, TimeMs aNowMs);
  void Merge(const HotKeySketch& aOther, TimeMs aNowMs);
  /// Heaviest keys first.
  std::vector<HotKey> Top(size_t aCount, TimeMs aNowMs) const;

private:
  struct Entry
  {
    KeyHash hash_ = 0;
    double weight_ = 0; ///< grown by the inverse of the decay since originMs_
    double error_ = 0;
  };
  /// Open addressing keeps the load factor at or below a half.
  static constexpr size_t kBuckets = 2 * kEntries;
  static constexpr int16_t kEmpty = -1;

  double Growth(TimeMs aNowMs) const;
  void Rescale(TimeMs aNowMs);
  void AddScaled(KeyHash aHash, double aWeight, double aError);
  size_t FindBucket(KeyHash aHash) const;
  void EraseBucket(size_t aBucket);
  void SiftDown(size_t aIndex);
  void SiftUp(size_t aIndex);
  void SwapEntries(size_t aLeft, size_t aRight);

  std::array<Entry, kEntries> heap_; ///< lightest entry first
  std::array<int16_t, kBuckets> buckets_;
  size_t size_ = 0;
  TimeMs originMs_ = 0;
};

}

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

/// Space-Saving sketch of the heaviest keys with exponential decay, of constant
/// size. Not thread-safe: each thread keeps its own sketch, and the sketches
/// are merged.
class HotKeySketch
{
public:
  static constexpr size_t kEntries = 256;
  /// New hot keys show within seconds, and former ones disappear.
  static constexpr TimeMs kHalfLifeMs = 3000;

  HotKeySketch();

  void Add(KeyHash aHash, double aWeight, TimeMs aNowMs);
  void Merge(const HotKeySketch& aOther, TimeMs aNowMs);
  /// At most aCount keys, the heaviest first.
  std::vector<HotKey> Top(size_t aCount, TimeMs aNowMs) const;

private:
  struct Entry
  {
    KeyHash hash_ = 0;
    double weight_ = 0; ///< scaled by the inverse of the decay since originMs_
    double error_ = 0;
  };
  /// Keeps the load factor of the open-addressing table at 0.5 or below.
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

  std::array<Entry, kEntries> heap_; ///< min-heap by weight
  std::array<int16_t, kBuckets> buckets_;
  size_t size_ = 0;
  TimeMs originMs_ = 0;
};

}

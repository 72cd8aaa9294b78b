#include "policy/HotKeySketch.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <utility>

namespace cactuspitch {

namespace {

/// Weights are rescaled at this growth, before they lose precision.
constexpr double kMaxGrowth = 1LL << 40;

}

HotKeySketch::HotKeySketch()
{
  buckets_.fill(kEmpty);
}

void HotKeySketch::Add(KeyHash aHash, double aWeight, TimeMs aNowMs)
{
  double growth = Growth(aNowMs);
  if (growth > kMaxGrowth) {
    Rescale(aNowMs);
    growth = 1;
  }
  AddScaled(aHash, aWeight * growth, 0);
}

void HotKeySketch::Merge(const HotKeySketch& aOther, TimeMs aNowMs)
{
  Rescale(aNowMs);
  const double otherGrowth = aOther.Growth(aNowMs);
  for (size_t i = 0; i < aOther.size_; ++i) {
    const Entry& entry = aOther.heap_[i];
    AddScaled(
      entry.hash_, entry.weight_ / otherGrowth, entry.error_ / otherGrowth);
  }
}

std::vector<HotKey> HotKeySketch::Top(size_t aCount, TimeMs aNowMs) const
{
  // In a steady state the weight is rate x half-life / ln 2.
  constexpr double kMsPerSecond = 1000;
  const double perSecond =
    std::numbers::ln2 * kMsPerSecond / (kHalfLifeMs * Growth(aNowMs));
  std::vector<HotKey> keys;
  keys.reserve(size_);
  for (size_t i = 0; i < size_; ++i) {
    const Entry& entry = heap_[i];
    keys.push_back(
      { entry.hash_, entry.weight_ * perSecond, entry.error_ * perSecond });
  }
  const size_t count = std::min(aCount, keys.size());
  std::ranges::partial_sort(keys,
                            keys.begin() + static_cast<ptrdiff_t>(count),
                            std::greater<>(),
                            &HotKey::perSecond_);
  keys.resize(count);
  return keys;
}

double HotKeySketch::Growth(TimeMs aNowMs) const
{
  return std::exp2(static_cast<double>(aNowMs - originMs_) / kHalfLifeMs);
}

void HotKeySketch::Rescale(TimeMs aNowMs)
{
  const double growth = Growth(aNowMs);
  for (size_t i = 0; i < size_; ++i) {
    heap_[i].weight_ /= growth;
    heap_[i].error_ /= growth;
  }
  originMs_ = aNowMs;
}

void HotKeySketch::AddScaled(KeyHash aHash, double aWeight, double aError)
{
  const size_t bucket = FindBucket(aHash);
  if (buckets_[bucket] != kEmpty) {
    const auto index = static_cast<size_t>(buckets_[bucket]);
    heap_[index].weight_ += aWeight;
    heap_[index].error_ += aError;
    SiftDown(index);
    return;
  }
  if (size_ < kEntries) {
    heap_[size_] = { aHash, aWeight, aError };
    buckets_[bucket] = static_cast<int16_t>(size_);
    SiftUp(size_++);
    return;
  }
  // The new key replaces the lightest entry and inherits its weight as error.
  const Entry lightest = heap_[0];
  EraseBucket(FindBucket(lightest.hash_));
  heap_[0] = { aHash, lightest.weight_ + aWeight, lightest.weight_ + aError };
  buckets_[FindBucket(aHash)] = 0;
  SiftDown(0);
}

size_t HotKeySketch::FindBucket(KeyHash aHash) const
{
  size_t bucket = aHash % kBuckets;
  while (buckets_[bucket] != kEmpty &&
         heap_[static_cast<size_t>(buckets_[bucket])].hash_ != aHash) {
    bucket = (bucket + 1) % kBuckets;
  }
  return bucket;
}

void HotKeySketch::EraseBucket(size_t aBucket)
{
  // Backward-shift deletion leaves no gap in any probe sequence.
  size_t hole = aBucket;
  size_t next = aBucket;
  for (;;) {
    next = (next + 1) % kBuckets;
    if (buckets_[next] == kEmpty) {
      break;
    }
    const size_t home =
      heap_[static_cast<size_t>(buckets_[next])].hash_ % kBuckets;
    const size_t fromHome = (next + kBuckets - home) % kBuckets;
    const size_t fromHole = (next + kBuckets - hole) % kBuckets;
    if (fromHome >= fromHole) {
      buckets_[hole] = buckets_[next];
      hole = next;
    }
  }
  buckets_[hole] = kEmpty;
}

void HotKeySketch::SiftDown(size_t aIndex)
{
  for (size_t index = aIndex;;) {
    size_t lightest = index;
    for (const size_t child : { 2 * index + 1, 2 * index + 2 }) {
      if (child < size_ && heap_[child].weight_ < heap_[lightest].weight_) {
        lightest = child;
      }
    }
    if (lightest == index) {
      return;
    }
    SwapEntries(index, lightest);
    index = lightest;
  }
}

void HotKeySketch::SiftUp(size_t aIndex)
{
  size_t index = aIndex;
  while (index > 0) {
    const size_t parent = (index - 1) / 2;
    if (heap_[parent].weight_ <= heap_[index].weight_) {
      return;
    }
    SwapEntries(index, parent);
    index = parent;
  }
}

void HotKeySketch::SwapEntries(size_t aLeft, size_t aRight)
{
  // Buckets are looked up before the swap, while the heap matches them.
  const size_t left = FindBucket(heap_[aLeft].hash_);
  const size_t right = FindBucket(heap_[aRight].hash_);
  std::swap(heap_[aLeft], heap_[aRight]);
  std::swap(buckets_[left], buckets_[right]);
}

}

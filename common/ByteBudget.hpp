#pragma once

#include <cstddef>
#include <memory>

namespace cactuspitch {

/// Limit of the bytes that all buffers of one kind hold together.
class ByteBudget
{
public:
  explicit ByteBudget(size_t aLimitBytes)
    : limitBytes_(aLimitBytes)
  {
  }

  size_t UsedBytes() const { return usedBytes_; }
  bool IsUsedUp() const { return usedBytes_ >= limitBytes_; }

private:
  friend class ByteShare;

  size_t limitBytes_;
  size_t usedBytes_ = 0;
};

/// Part of a budget that one buffer takes up, returned when the share ends.
class ByteShare
{
public:
  explicit ByteShare(std::shared_ptr<ByteBudget> aBudget);
  ~ByteShare();
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  /// Takes up aBytes in all, whether or not the budget allows it.
  void Set(size_t aBytes);
  /// Takes up at least aBytes in all. Returns false, without a change, if that
  /// exceeds the budget and other shares are in use.
  bool TryGrowTo(size_t aBytes);
  size_t Bytes() const { return bytes_; }

private:
  std::shared_ptr<ByteBudget> budget_;
  size_t bytes_ = 0;
};

}

#pragma once

#include "common/Types.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace cactuspitch {

/// Limits the requests that a backend server runs at once; further requests
/// wait in a bounded queue.
class ConcurrencyLimiter
{
public:
  enum class AcquireResult : uint8_t
  {
    Acquired,
    QueueFull,
    TimedOut ///< no slot became free within the timeout
  };

  ConcurrencyLimiter(int aSlots, int aMaxWaiting)
    : slots_(aSlots)
    , maxWaiting_(aMaxWaiting)
  {
  }

  /// Blocks until a slot is free, at most aTimeoutMs. After Acquired the caller
  /// must call Release().
  AcquireResult Acquire(TimeMs aTimeoutMs)
  {
    std::unique_lock lock(mutex_);
    if (running_ < slots_ && waiting_ == 0) {
      ++running_;
      return AcquireResult::Acquired;
    }
    if (waiting_ >= maxWaiting_) {
      return AcquireResult::QueueFull;
    }
    ++waiting_;
    const bool acquired =
      slotFreed_.wait_for(lock, std::chrono::milliseconds(aTimeoutMs), [this] {
        return running_ < slots_;
      });
    --waiting_;
    running_ += acquired ? 1 : 0;
    return acquired ? AcquireResult::Acquired : AcquireResult::TimedOut;
  }

  void Release()
  {
    {
      const std::lock_guard lock(mutex_);
      --running_;
    }
    slotFreed_.notify_one();
  }

  int Running() const
  {
    const std::lock_guard lock(mutex_);
    return running_;
  }

private:
  const int slots_;
  const int maxWaiting_;
  mutable std::mutex mutex_;
  std::condition_variable slotFreed_;
  int running_ = 0;
  int waiting_ = 0;
};

}

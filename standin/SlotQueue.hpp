#pragma once

#include "common/Types.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace cactuspitch {

/// Slots of a backend server with a short queue in front of them.
class SlotQueue
{
public:
  enum class Entry : uint8_t
  {
    Slot,
    Full,    ///< the queue is full
    TimedOut ///< no slot in time
  };

  SlotQueue(int aSlots, int aQueue)
    : slots_(aSlots)
    , queue_(aQueue)
  {
  }

  Entry Enter(TimeMs aTimeoutMs)
  {
    std::unique_lock lock(mutex_);
    if (running_ < slots_ && waiting_ == 0) {
      ++running_;
      return Entry::Slot;
    }
    if (waiting_ >= queue_) {
      return Entry::Full;
    }
    ++waiting_;
    const bool free = freed_.wait_for(lock,
                                      std::chrono::milliseconds(aTimeoutMs),
                                      [this] { return running_ < slots_; });
    --waiting_;
    running_ += free ? 1 : 0;
    return free ? Entry::Slot : Entry::TimedOut;
  }

  void Leave()
  {
    {
      const std::lock_guard lock(mutex_);
      --running_;
    }
    freed_.notify_one();
  }

  int Running() const
  {
    const std::lock_guard lock(mutex_);
    return running_;
  }

private:
  const int slots_;
  const int queue_;
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
};

}

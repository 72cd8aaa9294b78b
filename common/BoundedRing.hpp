#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Thread-safe bounded queue on a ring buffer. Producers never block: a full
/// queue rejects the item, so that a slow consumer cannot stall the data path.
template<typename T>
class BoundedRing
{
public:
  explicit BoundedRing(size_t aCapacity)
    : slots_(aCapacity)
  {
  }

  /// False when the queue is full or closed; aItem is then unchanged.
  bool TryPush(T&& aItem)
  {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || count_ == slots_.size()) {
        return false;
      }
      slots_[(head_ + count_) % slots_.size()] = std::move(aItem);
      ++count_;
    }
    ready_.notify_one();
    return true;
  }

  /// Waits up to aTimeout for an item. Empty on timeout, and when the queue is
  /// closed and has no more items.
  std::optional<T> Pop(std::chrono::milliseconds aTimeout)
  {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, aTimeout, [this] { return count_ > 0 || closed_; });
    if (count_ == 0) {
      return std::nullopt;
    }
    T item = std::move(slots_[head_]);
    head_ = (head_ + 1) % slots_.size();
    --count_;
    return item;
  }

  /// Rejects further items and wakes all consumers. Queued items can still be
  /// popped.
  void Close()
  {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

private:
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<T> slots_;
  size_t head_ = 0;
  size_t count_ = 0;
  bool closed_ = false;
};

}

#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Discrete-event clock in microseconds; events of one time run in the order
/// in which they were added.
class EventQueue
{
public:
  using Action = std::function<void()>;

  int64_t NowUs() const { return nowUs_; }
  int64_t NowMs() const { return nowUs_ / 1000; }

  void At(int64_t aTimeUs, Action aAction)
  {
    events_.push(
      { aTimeUs < nowUs_ ? nowUs_ : aTimeUs, next_++, std::move(aAction) });
  }
  void After(double aDelayUs, Action aAction)
  {
    At(nowUs_ + static_cast<int64_t>(aDelayUs), std::move(aAction));
  }
  void RunUntil(int64_t aEndUs)
  {
    while (!events_.empty() && events_.top().timeUs_ <= aEndUs) {
      nowUs_ = events_.top().timeUs_;
      // The event is discarded next, so it may be moved from.
      Action action = std::move(const_cast<Event&>(events_.top()).action_);
      events_.pop();
      action();
    }
    nowUs_ = aEndUs;
  }

private:
  struct Event
  {
    int64_t timeUs_ = 0;
    uint64_t order_ = 0;
    Action action_;
    bool operator<(const Event& aOther) const
    {
      return std::pair(timeUs_, order_) >
             std::pair(aOther.timeUs_, aOther.order_);
    }
  };

  std::priority_queue<Event> events_;
  int64_t nowUs_ = 0;
  uint64_t next_ = 0;
};

}

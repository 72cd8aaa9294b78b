#pragma once

#include "net/EventLoop.hpp"

#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace cactuspitch {

/// Tasks that run once on a loop after a while, unless this ends before.
class DelayedTasks
{
public:
  explicit DelayedTasks(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  void After(TimeMs aDelayMs, std::function<void()> aTask)
  {
    // A timer that runs its task is swept by a later call only: the task runs
    // after the timer's own handler.
    std::erase_if(timers_,
                  [](const auto& aTimer) { return !aTimer->IsActive(); });
    timers_.push_back(std::make_unique<Timer>(
      loop_, [this, task = std::move(aTask)] { loop_.Defer(task); }));
    timers_.back()->Start(aDelayMs);
  }

private:
  EventLoop& loop_;
  std::list<std::unique_ptr<Timer>> timers_;
};

}

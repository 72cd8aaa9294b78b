#pragma once

#include "net/EventLoop.hpp"

#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace cactuspitch {

/// One-shot delayed callbacks on an event loop; those that are still pending
/// when this object is destroyed do not run.
class DelayedTasks
{
public:
  explicit DelayedTasks(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  void After(TimeMs aDelayMs, std::function<void()> aTask)
  {
    // Only a later call deletes an expired timer. Its task is deferred until
    // the timer's handler has returned, so a task may call After().
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

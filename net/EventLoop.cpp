#include "net/EventLoop.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr double kMsPerSecond = 1000;
constexpr unsigned kLoopFlags =
  static_cast<unsigned>(EVBACKEND_EPOLL) | static_cast<unsigned>(EVFLAG_NOENV);

}

EventLoop::EventLoop()
  : loop_(ev_loop_new(detail::kLoopFlags))
{
  if (loop_ == nullptr) {
    throw std::runtime_error("cannot create an epoll instance");
  }
  ev_prepare_init(&prepare_, &EventLoop::OnPrepare);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_check_init(&check_, &EventLoop::OnCheck);
  check_.data = this;
  ev_set_priority(&check_, EV_MAXPRI);
  ev_check_start(loop_, &check_);
}

EventLoop::~EventLoop()
{
  RunDeferred();
  ev_prepare_stop(loop_, &prepare_);
  ev_check_stop(loop_, &check_);
  ev_loop_destroy(loop_);
}

void EventLoop::Run()
{
  ev_run(loop_, 0);
}

void EventLoop::Stop()
{
  ev_break(loop_, EVBREAK_ALL);
}

TimeMs EventLoop::NowMs() const
{
  if (nowMs_ == 0) {
    nowMs_ = SteadyClock().NowMs();
  }
  return nowMs_;
}

void EventLoop::Defer(std::function<void()> aCallback)
{
  deferred_.push_back(std::move(aCallback));
}

void EventLoop::OnPrepare(struct ev_loop*, ev_prepare* aWatcher, int)
{
  static_cast<EventLoop*>(aWatcher->data)->RunDeferred();
}

void EventLoop::OnCheck(struct ev_loop*, ev_check* aWatcher, int)
{
  static_cast<EventLoop*>(aWatcher->data)->nowMs_ = 0;
}

void EventLoop::RunDeferred()
{
  while (!deferred_.empty()) {
    auto tasks = std::exchange(deferred_, {});
    std::ranges::for_each(tasks, [](auto& aCallback) { aCallback(); });
  }
}

Timer::Timer(EventLoop& aLoop, std::function<void()> aCallback)
  : loop_(aLoop)
  , callback_(std::move(aCallback))
{
  ev_timer_init(&watcher_, &Timer::OnTimer, 0, 0);
  watcher_.data = this;
}

Timer::~Timer()
{
  Stop();
}

void Timer::Start(TimeMs aDelayMs)
{
  Stop();
  const auto delayMs = std::max<TimeMs>(aDelayMs, 0);
  ev_timer_set(
    &watcher_, static_cast<double>(delayMs) / detail::kMsPerSecond, 0);
  ev_timer_start(loop_.Native(), &watcher_);
}

void Timer::Stop()
{
  ev_timer_stop(loop_.Native(), &watcher_);
}

void Timer::OnTimer(struct ev_loop*, ev_timer* aWatcher, int)
{
  static_cast<Timer*>(aWatcher->data)->callback_();
}

IoWatcher::IoWatcher(EventLoop& aLoop, IoCallback aCallback)
  : loop_(aLoop)
  , callback_(std::move(aCallback))
{
  ev_io_init(&watcher_, &IoWatcher::OnIo, -1, 0);
  watcher_.data = this;
}

IoWatcher::~IoWatcher()
{
  Stop();
}

void IoWatcher::Set(int aFd, bool aRead, bool aWrite)
{
  const int events = (aRead ? EV_READ : 0) | (aWrite ? EV_WRITE : 0);
  if (events == events_ && watcher_.fd == aFd) {
    return;
  }
  ev_io_stop(loop_.Native(), &watcher_);
  events_ = events;
  ev_io_set(&watcher_, aFd, events);
  if (events != 0) {
    ev_io_start(loop_.Native(), &watcher_);
  }
}

void IoWatcher::Stop()
{
  ev_io_stop(loop_.Native(), &watcher_);
  events_ = 0;
}

void IoWatcher::OnIo(struct ev_loop*, ev_io* aWatcher, int aEvents)
{
  static_cast<IoWatcher*>(aWatcher->data)
    ->callback_((aEvents & EV_READ) != 0, (aEvents & EV_WRITE) != 0);
}

SignalWatcher::SignalWatcher(EventLoop& aLoop,
                             int aSignal,
                             std::function<void()> aCallback)
  : loop_(aLoop)
  , callback_(std::move(aCallback))
{
  ev_signal_init(&watcher_, &SignalWatcher::OnSignal, aSignal);
  watcher_.data = this;
  ev_signal_start(loop_.Native(), &watcher_);
}

SignalWatcher::~SignalWatcher()
{
  ev_signal_stop(loop_.Native(), &watcher_);
}

void SignalWatcher::OnSignal(struct ev_loop*, ev_signal* aWatcher, int)
{
  static_cast<SignalWatcher*>(aWatcher->data)->callback_();
}

}

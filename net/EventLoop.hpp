#pragma once

#include "common/Clock.hpp"

#include <cstdint>
#include <functional>
#include <vector>

#include <ev.h>

namespace cactuspitch {

/// Single-threaded event loop (libev, epoll).
class EventLoop final : public Clock
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Run();
  void Stop();
  /// CLOCK_BOOTTIME in ms, read once per iteration of the loop. It includes the
  /// time for which the instance was suspended, so that leases expire in that
  /// time too.
  TimeMs NowMs() const override;
  /// Runs aCallback after the handlers of this iteration. An object that ends
  /// in a handler of its own is destroyed this way.
  void Defer(std::function<void()> aCallback);

  struct ev_loop* Native() { return loop_; }

private:
  static void OnPrepare(struct ev_loop*, ev_prepare* aWatcher, int);
  static void OnCheck(struct ev_loop*, ev_check* aWatcher, int);
  void RunDeferred();

  struct ev_loop* loop_;
  ev_prepare prepare_;
  ev_check check_;
  mutable TimeMs nowMs_ = 0;
  std::vector<std::function<void()>> deferred_;
};

/// One-shot timer that can be started again.
class Timer
{
public:
  Timer(EventLoop& aLoop, std::function<void()> aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(TimeMs aDelayMs);
  void Stop();
  bool IsActive() const { return ev_is_active(&watcher_); }

private:
  static void OnTimer(struct ev_loop*, ev_timer* aWatcher, int);

  EventLoop& loop_;
  std::function<void()> callback_;
  ev_timer watcher_;
};

/// Watches a file descriptor, which stays owned by the caller.
class IoWatcher
{
public:
  using IoCallback = std::function<void(bool aReadable, bool aWritable)>;

  IoWatcher(EventLoop& aLoop, IoCallback aCallback);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  void Set(int aFd, bool aRead, bool aWrite);
  void Stop();

private:
  static void OnIo(struct ev_loop*, ev_io* aWatcher, int aEvents);

  EventLoop& loop_;
  IoCallback callback_;
  ev_io watcher_;
  int events_ = 0;
};

/// Runs a callback on the loop when a signal arrives.
class SignalWatcher
{
public:
  SignalWatcher(EventLoop& aLoop, int aSignal, std::function<void()> aCallback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
  static void OnSignal(struct ev_loop*, ev_signal* aWatcher, int);

  EventLoop& loop_;
  std::function<void()> callback_;
  ev_signal watcher_;
};

}

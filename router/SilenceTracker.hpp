#pragma once

#include "common/Clock.hpp"
#include "policy/SilentConnectionDetector.hpp"

#include <mutex>

namespace cactuspitch {

/// SilentConnectionDetector of one backend server, for many threads.
class SilenceTracker
{
public:
  using Id = SilentConnectionDetector::ConnectionId;

  explicit SilenceTracker(const Clock& aClock)
    : clock_(aClock)
  {
  }

  Id Open()
  {
    const std::lock_guard lock(mutex_);
    return detector_.Open(clock_.NowMs());
  }
  void Close(Id aId)
  {
    const std::lock_guard lock(mutex_);
    detector_.Close(aId);
  }
  void OnSend(Id aId)
  {
    const std::lock_guard lock(mutex_);
    detector_.OnSend(aId, clock_.NowMs());
  }
  void OnAnswer(Id aId)
  {
    const std::lock_guard lock(mutex_);
    detector_.OnAnswer(aId, clock_.NowMs());
  }
  bool IsSilent(Id aId) const
  {
    const std::lock_guard lock(mutex_);
    return detector_.IsSilent(aId, clock_.NowMs());
  }
  TimeMs LimitMs() const
  {
    const std::lock_guard lock(mutex_);
    return detector_.SilenceLimitMs();
  }

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  SilentConnectionDetector detector_;
};

}

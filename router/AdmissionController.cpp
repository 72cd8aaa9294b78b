#include "AdmissionController.hpp"

#include <algorithm>
#include <chrono>

namespace cactuspitch {

namespace detail {

/// Empty actions. Each thread reuses one object so that the hot path does not
/// allocate.
GateActions& ClearedActions()
{
  static thread_local GateActions actions;
  actions.run_.clear();
  actions.refuse_.clear();
  actions.nextPollMs_ = INT64_MAX;
  return actions;
}

}

AdmissionController::AdmissionController(const Clock& aClock,
                                         std::unique_ptr<ServerGate> aGate)
  : clock_(aClock)
  , gate_(std::move(aGate))
{
}

AdmissionResult AdmissionController::Acquire(KeyHash aKey, TimeMs aDeadlineMs)
{
  auto& actions = detail::ClearedActions();
  std::unique_lock lock(mutex_);
  const auto id = nextId_++;
  gate_->Arrive({ id, aKey, aDeadlineMs }, clock_.NowMs(), actions);
  AdmissionResult result;
  bool decided = false;
  std::erase_if(actions.run_, [&](uint64_t aId) {
    result.admitted_ |= aId == id;
    return aId == id;
  });
  decided = result.admitted_;
  std::erase_if(actions.refuse_, [&](const RefusedRequest& aRefused) {
    if (aRefused.id_ == id) {
      decided = true;
      result.retryAfterMs_ = aRefused.retryAfterMs_;
    }
    return aRefused.id_ == id;
  });
  Apply(actions);
  return decided ? result : Wait(lock, id, aDeadlineMs);
}

AdmissionResult AdmissionController::Wait(std::unique_lock<std::mutex>& aLock,
                                          uint64_t aId,
                                          TimeMs aDeadlineMs)
{
  Waiter waiter;
  waiters_.emplace(aId, &waiter);
  while (waiter.state_ == State::Waiting) {
    const TimeMs now = clock_.NowMs();
    if (now >= aDeadlineMs && gate_->Remove(aId)) {
      waiters_.erase(aId);
      return { false, gate_->RetryAfterMs(now) };
    }
    if (now >= nextPollMs_) {
      auto& actions = detail::ClearedActions();
      gate_->Poll(now, actions);
      Apply(actions);
      continue;
    }
    const TimeMs until = std::min(aDeadlineMs, nextPollMs_);
    waiter.changed_.wait_for(
      aLock, std::chrono::milliseconds(std::max<TimeMs>(1, until - now)));
  }
  return { waiter.state_ == State::Admitted, waiter.retryAfterMs_ };
}

void AdmissionController::Apply(const GateActions& aActions)
{
  nextPollMs_ = aActions.nextPollMs_;
  const auto decide = [this](uint64_t aId, State aState, TimeMs aRetryAfterMs) {
    const auto found = waiters_.find(aId);
    if (found == waiters_.end()) {
      return;
    }
    auto* waiter = found->second;
    waiters_.erase(found);
    waiter->state_ = aState;
    waiter->retryAfterMs_ = aRetryAfterMs;
    waiter->changed_.notify_one();
  };
  for (const auto id : aActions.run_) {
    decide(id, State::Admitted, 0);
  }
  for (const auto& refused : aActions.refuse_) {
    decide(refused.id_, State::Refused, refused.retryAfterMs_);
  }
}

void AdmissionController::Release(AttemptResult aEnd, double aLatencyMs)
{
  auto& actions = detail::ClearedActions();
  const std::lock_guard lock(mutex_);
  gate_->Finish(aEnd, aLatencyMs, clock_.NowMs(), actions);
  Apply(actions);
}

void AdmissionController::OnColdStart()
{
  const std::lock_guard lock(mutex_);
  gate_->Policy().OnColdStart(clock_.NowMs());
}

void AdmissionController::OnLoadHint(double aLoad)
{
  const std::lock_guard lock(mutex_);
  gate_->Policy().OnLoadHint(clock_.NowMs(), aLoad);
}

TimeMs AdmissionController::RetryAfterMs()
{
  const std::lock_guard lock(mutex_);
  return gate_->RetryAfterMs(clock_.NowMs());
}

double AdmissionController::Limit() const
{
  const std::lock_guard lock(mutex_);
  return gate_->Policy().Limit(clock_.NowMs());
}

int AdmissionController::InFlight() const
{
  const std::lock_guard lock(mutex_);
  return gate_->Policy().InFlight();
}

size_t AdmissionController::Waiting() const
{
  const std::lock_guard lock(mutex_);
  return gate_->Waiting();
}

}

#include "policy/ServerGate.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

ServerGate::ServerGate(std::unique_ptr<AdmissionPolicy> aPolicy,
                       QueueOptions aOptions,
                       uint64_t aSeed)
  : policy_(std::move(aPolicy))
  , queue_(aOptions, aSeed)
{
}

void ServerGate::Arrive(const QueuedRequest& aRequest,
                        TimeMs aNowMs,
                        GateActions& aActions)
{
  if (queue_.Size() == 0 && aNowMs < aRequest.deadlineMs_ &&
      policy_->TryAcquire(aNowMs)) {
    aActions.run_.push_back(aRequest.id_);
    return;
  }
  queue_.Offer(aRequest, Rate(aNowMs), aNowMs, aActions.refuse_);
  Poll(aNowMs, aActions);
}

void ServerGate::Finish(AttemptResult aResult,
                        double aLatencyMs,
                        TimeMs aNowMs,
                        GateActions& aActions)
{
  constexpr double kWeight = 0.05;
  if (aResult == AttemptResult::Answered) {
    serviceMs_ =
      measured_ ? serviceMs_ + kWeight * (aLatencyMs - serviceMs_) : aLatencyMs;
    measured_ = true;
  }
  policy_->Release(aNowMs, aResult, aLatencyMs);
  Poll(aNowMs, aActions);
}

void ServerGate::Poll(TimeMs aNowMs, GateActions& aActions)
{
  const ServiceRate rate = Rate(aNowMs);
  queue_.Expire(rate, aNowMs, aActions.refuse_);
  while (queue_.Size() > 0 && policy_->TryAcquire(aNowMs)) {
    // Take() returns a request: Expire() has just been called with the same
    // arguments.
    aActions.run_.push_back(queue_.Take(rate, aNowMs, aActions.refuse_)->id_);
  }
  if (queue_.Size() == 0) {
    aActions.nextPollMs_ = INT64_MAX;
    return;
  }
  const TimeMs expiryMs =
    queue_.EarliestDeadlineMs() - static_cast<TimeMs>(rate.serviceMs_);
  aActions.nextPollMs_ =
    std::max(aNowMs + 1, std::min(policy_->NextTryMs(aNowMs), expiryMs));
}

TimeMs ServerGate::RetryAfterMs(TimeMs aNowMs)
{
  return queue_.RetryAfterMs(Rate(aNowMs), aNowMs);
}

ServiceRate ServerGate::Rate(TimeMs aNowMs) const
{
  constexpr double kSmallestConcurrency = 0.05;
  return { .serviceMs_ = std::max(serviceMs_, 0.01),
           .concurrency_ =
             std::max(policy_->Limit(aNowMs), kSmallestConcurrency) };
}

}

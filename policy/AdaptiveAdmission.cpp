#include "policy/AdaptiveAdmission.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace {

const StrategyRegistration<AdmissionRegistry> kRegistration(
  "adaptive",
  [](const AdmissionOptions& aOptions) {
    return std::make_unique<AdaptiveAdmission>(aOptions);
  });

constexpr double kMinLimit = 0.1;
/// Attempts beyond the number of slots, which keep the slots busy while
/// responses are in transit.
constexpr double kServerQueue = 2;
constexpr double kSlowStep = 0.03;
constexpr double kFastStep = 0.2;
/// Time without shed requests in which the step grows from slow to fast.
constexpr double kFastAfterMs = 2000;
constexpr double kShedFactor = 0.95;
constexpr double kFailureFactor = 0.7;
constexpr double kHintFactor = 0.5;
constexpr TimeMs kHintMs = 3000;
/// Hints are ignored for this long after a hint that was not confirmed by
/// requests of this router being shed.
constexpr TimeMs kHintCooldownMs = 30000;
constexpr double kFullLoad = 1.0;

}

namespace detail {

bool LinkAdaptiveAdmission()
{
  return true;
}

}

AdaptiveAdmission::AdaptiveAdmission(const AdmissionOptions& aOptions)
  : options_(aOptions)
  , limit_(std::max(1.0, aOptions.slots_ / std::max(1, aOptions.routers_)))
  , random_(aOptions.seed_)
{
}

bool AdaptiveAdmission::TryAcquire(TimeMs aNowMs)
{
  if (paced_.TryAcquire(aNowMs, Limit(aNowMs))) {
    return true;
  }
  wasLimiting_ = true;
  return false;
}

TimeMs AdaptiveAdmission::NextTryMs(TimeMs aNowMs) const
{
  return paced_.NextTryMs(aNowMs, Limit(aNowMs));
}

void AdaptiveAdmission::Release(TimeMs aNowMs,
                                AttemptResult aResult,
                                double aLatencyMs)
{
  paced_.Release(aNowMs, Limit(aNowMs));
  switch (aResult) {
    case AttemptResult::Answered:
      OnAnswered(aNowMs, aLatencyMs);
      break;
    case AttemptResult::Shed:
      OnShed(aNowMs);
      break;
    case AttemptResult::Failed:
      Decrease(aNowMs, kFailureFactor, kMinLimit);
      break;
    case AttemptResult::Cancelled:
    case AttemptResult::Count:
      break;
  }
}

void AdaptiveAdmission::OnAnswered(TimeMs aNowMs, double aLatencyMs)
{
  if (LatencyGrew(aLatencyMs)) {
    // The even shares of all routers fit into the slots. A router whose limit
    // is below its share can't be the cause: the server itself is slow.
    Decrease(aNowMs, kShedFactor, EvenShare());
    return;
  }
  // A success below the limit is no evidence that the server can take more.
  if (!wasLimiting_) {
    return;
  }
  wasLimiting_ = false;
  const double recovery =
    std::min(1.0, static_cast<double>(aNowMs - lastShedMs_) / kFastAfterMs);
  limit_ =
    std::min(limit_ + std::max(kSlowStep, kFastStep * recovery * recovery),
             options_.slots_ + kServerQueue);
}

void AdaptiveAdmission::OnShed(TimeMs aNowMs)
{
  lastShedMs_ = aNowMs;
  Decrease(aNowMs, kShedFactor, kMinLimit);
  // All slots are in use, so an immediate attempt would be shed again. Shorter
  // pauses cause more shed requests at the same goodput (docs/load.md).
  constexpr double kPauseFraction = 0.2;
  constexpr double kMinPauseMs = 1;
  constexpr double kMaxPauseMs = 50;
  const double meanMs =
    std::clamp(latencyMs_ * kPauseFraction, kMinPauseMs, kMaxPauseMs);
  std::uniform_real_distribution<double> pause(meanMs / 2, meanMs * 3 / 2);
  paced_.Defer(aNowMs + std::max<TimeMs>(1, std::lround(pause(random_))));
}

void AdaptiveAdmission::Decrease(TimeMs aNowMs, double aFactor, double aFloor)
{
  // Requests shed at about the same time have the same cause and count once.
  constexpr double kMinIntervalMs = 10;
  if (static_cast<double>(aNowMs - lastDecreaseMs_) <
      std::max(latencyMs_, kMinIntervalMs)) {
    return;
  }
  lastDecreaseMs_ = aNowMs;
  limit_ = std::max(std::min(limit_, aFloor), limit_ * aFactor);
}

double AdaptiveAdmission::EvenShare() const
{
  return std::max(kMinLimit, options_.slots_ / std::max(1, options_.routers_));
}

bool AdaptiveAdmission::LatencyGrew(double aLatencyMs)
{
  constexpr double kWeight = 0.1;
  constexpr double kBaseWeight = 0.005;
  constexpr double kGrowth = 2;
  constexpr double kNoiseMs = 10;
  if (latencyMs_ == 0) {
    latencyMs_ = aLatencyMs;
    baseLatencyMs_ = aLatencyMs;
    return false;
  }
  latencyMs_ += kWeight * (aLatencyMs - latencyMs_);
  baseLatencyMs_ =
    latencyMs_ < baseLatencyMs_
      ? latencyMs_
      : baseLatencyMs_ + kBaseWeight * (latencyMs_ - baseLatencyMs_);
  return latencyMs_ > kGrowth * baseLatencyMs_ + kNoiseMs;
}

void AdaptiveAdmission::OnLoadHint(TimeMs aNowMs, double aLoad)
{
  if (aLoad < kFullLoad || !std::isfinite(aLoad)) {
    return;
  }
  const bool isConfirmed = lastShedMs_ >= hintMs_ + kHintMs;
  if (hintMs_ == kNever || isConfirmed || aNowMs >= hintMs_ + kHintCooldownMs) {
    hintMs_ = aNowMs;
  }
}

void AdaptiveAdmission::OnColdStart(TimeMs aNowMs)
{
  coldStartMs_ = aNowMs;
}

double AdaptiveAdmission::Limit(TimeMs aNowMs) const
{
  const bool isHinted = aNowMs < hintMs_ + kHintMs;
  const double limit = limit_ * (isHinted ? kHintFactor : 1);
  return std::max(kMinLimit, std::min(limit, ColdStartCap(aNowMs)));
}

double AdaptiveAdmission::ColdStartCap(TimeMs aNowMs) const
{
  constexpr int kSteps = 5;
  const TimeMs elapsedMs = aNowMs - coldStartMs_;
  if (elapsedMs >= options_.warmupMs_ || options_.warmupMs_ <= 0) {
    return options_.slots_ + kServerQueue;
  }
  const auto step = 1 + elapsedMs * kSteps / options_.warmupMs_;
  // Callers are distributed unevenly, so a router may use twice its even share.
  constexpr double kMaxImbalance = 2;
  return kMaxImbalance * options_.slots_ * static_cast<double>(step) /
         (kSteps * std::max(1, options_.routers_));
}

}

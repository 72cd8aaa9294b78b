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
/// Attempts beyond the slots that keep a slot busy while an answer travels.
constexpr double kServerQueue = 2;
constexpr double kSlowStep = 0.03;
constexpr double kFastStep = 0.2;
/// Without sheds for this long, the step has grown from slow to fast.
constexpr double kFastAfterMs = 2000;
constexpr double kShedFactor = 0.95;
constexpr double kFailureFactor = 0.7;
constexpr double kHintFactor = 0.5;
constexpr TimeMs kHintMs = 3000;
/// A hint that the router's own sheds don't confirm is ignored for this long.
constexpr TimeMs kHintPauseMs = 30000;
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
                                AttemptResult aEnd,
                                double aLatencyMs)
{
  paced_.Release(aNowMs, Limit(aNowMs));
  switch (aEnd) {
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
    // Even shares of all routers fit into the slots, so below its own a router
    // cannot be the cause: the server itself is slow.
    Decrease(aNowMs, kShedFactor, EvenShare());
    return;
  }
  // A limit that is not in use says nothing about the server.
  if (!wasLimiting_) {
    return;
  }
  wasLimiting_ = false;
  const double calm =
    std::min(1.0, static_cast<double>(aNowMs - lastShedMs_) / kFastAfterMs);
  limit_ = std::min(limit_ + std::max(kSlowStep, kFastStep * calm * calm),
                    options_.slots_ + kServerQueue);
}

void AdaptiveAdmission::OnShed(TimeMs aNowMs)
{
  lastShedMs_ = aNowMs;
  Decrease(aNowMs, kShedFactor, kMinLimit);
  // The slots are in use: asking again at once would be shed again. Shorter
  // pauses shed more for the same goodput (docs/load.md).
  constexpr double kPausePart = 0.2;
  constexpr double kMinPauseMs = 1;
  constexpr double kMaxPauseMs = 50;
  const double meanMs =
    std::clamp(latencyMs_ * kPausePart, kMinPauseMs, kMaxPauseMs);
  std::uniform_real_distribution<double> pause(meanMs / 2, meanMs * 3 / 2);
  paced_.Defer(aNowMs + std::max<TimeMs>(1, std::lround(pause(random_))));
}

void AdaptiveAdmission::Decrease(TimeMs aNowMs, double aFactor, double aFloor)
{
  // Sheds of one moment have one cause and count once.
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
  if (hintMs_ == kNever || isConfirmed || aNowMs >= hintMs_ + kHintPauseMs) {
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
  // Callers are spread unevenly, so a router may use twice its even share.
  constexpr double kUneven = 2;
  return kUneven * options_.slots_ * static_cast<double>(step) /
         (kSteps * std::max(1, options_.routers_));
}

}

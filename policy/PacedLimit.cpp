#include "policy/PacedLimit.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

bool PacedLimit::TryAcquire(TimeMs aNowMs, double aLimit)
{
  Advance(aNowMs, aLimit);
  if (aNowMs < deferredUntilMs_ || inFlight_ >= Allowed(aLimit)) {
    return false;
  }
  ++inFlight_;
  return true;
}

void PacedLimit::Release(TimeMs aNowMs, double aLimit)
{
  Advance(aNowMs, aLimit);
  --inFlight_;
}

TimeMs PacedLimit::NextTryMs(TimeMs aNowMs, double aLimit) const
{
  if (inFlight_ < Allowed(aLimit)) {
    return std::max(aNowMs, deferredUntilMs_);
  }
  const double perMs = aLimit - inFlight_;
  if (!pausing_ || perMs <= 0) {
    return INT64_MAX;
  }
  const double waitMs = std::ceil((kBurstMs - creditMs_) / perMs);
  return std::max(aNowMs + std::max<TimeMs>(1, static_cast<TimeMs>(waitMs)),
                  deferredUntilMs_);
}

void PacedLimit::Advance(TimeMs aNowMs, double aLimit)
{
  const auto elapsedMs =
    started_ ? static_cast<double>(std::max<TimeMs>(0, aNowMs - lastMs_)) : 0;
  started_ = true;
  lastMs_ = aNowMs;
  creditMs_ = std::clamp(
    creditMs_ + (aLimit - inFlight_) * elapsedMs, -kMaxDebtMs, kBurstMs);
  if (creditMs_ < 0) {
    pausing_ = true;
  } else if (creditMs_ >= kBurstMs) {
    pausing_ = false;
  }
}

int PacedLimit::Allowed(double aLimit) const
{
  return static_cast<int>(pausing_ ? std::floor(aLimit) : std::ceil(aLimit));
}

}

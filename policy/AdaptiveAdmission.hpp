#pragma once

#include "policy/AdmissionPolicy.hpp"
#include "policy/PacedLimit.hpp"

#include <random>

namespace cactuspitch {

/// AIMD concurrency limit: additive increase while attempts succeed and the
/// limit is in use, multiplicative decrease on shed requests, failures and
/// growing latency. The limit may drop below 1, because a server may be shared
/// by more routers than it has slots.
class AdaptiveAdmission final : public AdmissionPolicy
{
public:
  explicit AdaptiveAdmission(const AdmissionOptions& aOptions);

  bool TryAcquire(TimeMs aNowMs) override;
  TimeMs NextTryMs(TimeMs aNowMs) const override;
  void Release(TimeMs aNowMs,
               AttemptResult aResult,
               double aLatencyMs) override;
  void OnLoadHint(TimeMs aNowMs, double aLoad) override;
  void OnColdStart(TimeMs aNowMs) override;
  double Limit(TimeMs aNowMs) const override;
  int InFlight() const override { return paced_.InFlight(); }

private:
  static constexpr TimeMs kNever = INT64_MIN / 2;

  void OnAnswered(TimeMs aNowMs, double aLatencyMs);
  void OnShed(TimeMs aNowMs);
  /// Multiplies the limit by aFactor, but doesn't lower it below aFloor.
  void Decrease(TimeMs aNowMs, double aFactor, double aFloor);
  double EvenShare() const;
  bool LatencyGrew(double aLatencyMs);
  double ColdStartCap(TimeMs aNowMs) const;

  AdmissionOptions options_;
  double limit_;
  PacedLimit paced_;
  bool wasLimiting_ = false;
  double latencyMs_ = 0;     ///< average of the latest responses
  double baseLatencyMs_ = 0; ///< follows decreases at once, increases slowly
  TimeMs lastDecreaseMs_ = kNever;
  TimeMs lastShedMs_ = kNever;
  TimeMs hintMs_ = kNever;
  TimeMs coldStartMs_ = kNever;
  std::mt19937_64 random_;
};

}

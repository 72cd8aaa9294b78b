#pragma once

#include "policy/AdmissionPolicy.hpp"

namespace cactuspitch {

/// Fixed even share of the slots for each router, at least one attempt.
/// Baseline: it neither reacts to sheds nor to an uneven spread of callers.
class StaticAdmission final : public AdmissionPolicy
{
public:
  explicit StaticAdmission(const AdmissionOptions& aOptions);

  bool TryAcquire(TimeMs aNowMs) override;
  TimeMs NextTryMs(TimeMs aNowMs) const override;
  void Release(TimeMs aNowMs, AttemptResult aEnd, double aLatencyMs) override;
  void OnLoadHint(TimeMs /*aNowMs*/, double /*aLoad*/) override {}
  void OnColdStart(TimeMs /*aNowMs*/) override {}
  double Limit(TimeMs /*aNowMs*/) const override { return limit_; }
  int InFlight() const override { return inFlight_; }

private:
  int limit_;
  int inFlight_ = 0;
};

}

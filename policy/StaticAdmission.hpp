#pragma once

#include "policy/AdmissionPolicy.hpp"

namespace cactuspitch {

/// Fixed limit: an even share of the slots for each router, at least one
/// attempt. Serves as a baseline, since it reacts neither to shed requests nor
/// to an uneven distribution of callers.
class StaticAdmission final : public AdmissionPolicy
{
public:
  explicit StaticAdmission(const AdmissionOptions& aOptions);

  bool TryAcquire(TimeMs aNowMs) override;
  TimeMs NextTryMs(TimeMs aNowMs) const override;
  void Release(TimeMs aNowMs,
               AttemptResult aResult,
               double aLatencyMs) override;
  void OnLoadHint(TimeMs /*aNowMs*/, double /*aLoad*/) override {}
  void OnColdStart(TimeMs /*aNowMs*/) override {}
  double Limit(TimeMs /*aNowMs*/) const override { return limit_; }
  int InFlight() const override { return inFlight_; }

private:
  int limit_;
  int inFlight_ = 0;
};

}

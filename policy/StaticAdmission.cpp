#include "policy/StaticAdmission.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace {

const StrategyRegistration<AdmissionRegistry> kRegistration(
  "static",
  [](const AdmissionOptions& aOptions) {
    return std::make_unique<StaticAdmission>(aOptions);
  });

}

namespace detail {

bool LinkStaticAdmission()
{
  return true;
}

}

StaticAdmission::StaticAdmission(const AdmissionOptions& aOptions)
  : limit_(std::max(1,
                    static_cast<int>(std::lround(
                      aOptions.slots_ / std::max(1, aOptions.routers_)))))
{
}

bool StaticAdmission::TryAcquire(TimeMs /*aNowMs*/)
{
  if (inFlight_ >= limit_) {
    return false;
  }
  ++inFlight_;
  return true;
}

TimeMs StaticAdmission::NextTryMs(TimeMs aNowMs) const
{
  return inFlight_ < limit_ ? aNowMs : INT64_MAX;
}

void StaticAdmission::Release(TimeMs /*aNowMs*/,
                              AttemptResult /*aResult*/,
                              double /*aLatencyMs*/)
{
  --inFlight_;
}

}

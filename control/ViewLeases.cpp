#include "ViewLeases.hpp"

#include <algorithm>

namespace cactuspitch {

void ViewLeases::Grant(const std::string& aRouter, TimeMs aNowMs)
{
  leases_[aRouter] = aNowMs + AddClockDrift(timing::kViewLeaseMs);
}

TimeMs ViewLeases::AllExpiredMs() const
{
  TimeMs end = predecessorEndMs_;
  for (const auto& [router, endMs] : leases_) {
    end = std::max(end, endMs);
  }
  return end;
}

void ViewLeases::Prune(TimeMs aNowMs)
{
  std::erase_if(leases_,
                [=](const auto& aLease) { return aLease.second < aNowMs; });
}

}

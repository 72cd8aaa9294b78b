#include "RouterViews.hpp"

#include <algorithm>

namespace cactuspitch {

void RouterViews::Grant(const std::string& aRouter, TimeMs aNowMs)
{
  leases_[aRouter] = aNowMs + Stretch(timing::kViewLeaseMs);
}

TimeMs RouterViews::AllEndedMs() const
{
  TimeMs end = predecessorEndMs_;
  for (const auto& [router, endMs] : leases_) {
    end = std::max(end, endMs);
  }
  return end;
}

void RouterViews::Prune(TimeMs aNowMs)
{
  std::erase_if(leases_,
                [=](const auto& aLease) { return aLease.second < aNowMs; });
}

}

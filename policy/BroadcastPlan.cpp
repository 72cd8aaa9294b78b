#include "policy/BroadcastPlan.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace cactuspitch {

BroadcastPlan PlanBroadcast(const std::string& aOwnDomain,
                            const std::vector<BroadcastTarget>& aMembers)
{
  BroadcastPlan plan;
  std::map<std::string, std::vector<size_t>> otherDomains;
  for (size_t index = 0; index < aMembers.size(); ++index) {
    const auto& domain = aMembers[index].domain_;
    if (aMembers.size() <= kMaxDirectGateways || domain.empty() ||
        domain == aOwnDomain) {
      plan.direct_.push_back(index);
    } else {
      otherDomains[domain].push_back(index);
    }
  }
  const auto order = [&](size_t aIndex) {
    const auto& member = aMembers[aIndex];
    return std::tuple(!member.alive_, -member.cpuPercent_, member.name_);
  };
  for (auto& [domain, indices] : otherDomains) {
    const auto count = std::min(kRelaysPerDomain, indices.size());
    const auto end = indices.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(indices, end, {}, order);
    plan.relays_.insert(plan.relays_.end(), indices.begin(), end);
  }
  return plan;
}

}

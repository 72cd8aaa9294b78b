#include "membership/EvacuationSet.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

bool EvacuationSet::Replace(Domains aDomains, int64_t aRevision)
{
  if (aRevision <= 0 || aRevision < revision_) {
    return false;
  }
  domains_ = std::move(aDomains);
  revision_ = aRevision;
  return true;
}

bool EvacuationSet::Apply(const Domains& aBegan,
                          const Domains& aEnded,
                          int64_t aRevision)
{
  if (aRevision <= revision_) {
    return false;
  }
  ApplyPart(aBegan, aEnded);
  revision_ = aRevision;
  return true;
}

bool EvacuationSet::ApplyPart(const Domains& aBegan, const Domains& aEnded)
{
  const auto before = domains_;
  std::ranges::for_each(
    aEnded, [this](const auto& aDomain) { domains_.erase(aDomain); });
  domains_.insert(aBegan.begin(), aBegan.end());
  return domains_ != before;
}

bool EvacuationSet::Merge(const Domains& aDomains, int64_t aRevision)
{
  if (aRevision <= revision_) {
    return false;
  }
  return Replace(aDomains, aRevision);
}

void EvacuationSet::AdvanceTo(int64_t aRevision)
{
  if (revision_ != 0) {
    revision_ = std::max(revision_, aRevision);
  }
}

std::vector<std::string> EvacuationSet::Select(
  size_t aMaxCount,
  const std::function<bool(const std::string&)>& aHasServers) const
{
  std::vector<std::string> selected(domains_.begin(), domains_.end());
  if (selected.size() > aMaxCount) {
    std::stable_partition(selected.begin(), selected.end(), aHasServers);
    selected.resize(aMaxCount);
  }
  return selected;
}

}

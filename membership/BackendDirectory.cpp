#include "membership/BackendDirectory.hpp"

#include <algorithm>
#include <set>

namespace cactuspitch {

void BackendDirectory::ApplyList(const std::vector<BackendEntry>& aEntries,
                                 TimeMs aNowMs)
{
  std::set<std::string> listed;
  for (const auto& entry : aEntries) {
    listed.insert(entry.id_);
    ApplyPut(entry, aNowMs);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  std::ranges::for_each(missing,
                        [&](const auto& aId) { MarkMissing(aId, aNowMs); });
}

void BackendDirectory::ApplyPut(const BackendEntry& aEntry, TimeMs)
{
  missingUntilMs_.erase(aEntry.id_);
  entries_[aEntry.id_] = aEntry;
  ++revision_;
}

void BackendDirectory::ApplyRemoved(const std::string& aId, TimeMs aNowMs)
{
  if (entries_.contains(aId)) {
    MarkMissing(aId, aNowMs);
  }
}

void BackendDirectory::OnStoreDisturbed(TimeMs aNowMs)
{
  disturbedMs_ = aNowMs;
  for (auto& [id, untilMs] : missingUntilMs_) {
    untilMs = std::max(untilMs, aNowMs + kGraceMs);
  }
}

bool BackendDirectory::Expire(TimeMs aNowMs)
{
  const auto before = entries_.size();
  std::erase_if(missingUntilMs_, [&](const auto& aEntry) {
    if (aEntry.second > aNowMs) {
      return false;
    }
    entries_.erase(aEntry.first);
    return true;
  });
  const bool changed = entries_.size() != before;
  revision_ += changed ? 1 : 0;
  return changed;
}

void BackendDirectory::MarkMissing(const std::string& aId, TimeMs aNowMs)
{
  if (missingUntilMs_.contains(aId)) {
    return;
  }
  const bool disturbed = disturbedMs_ != 0 && aNowMs - disturbedMs_ < kGraceMs;
  // A server that said that it drains is not waited for.
  if (disturbed && entries_.at(aId).state_ == BackendState::Ready) {
    missingUntilMs_[aId] = disturbedMs_ + kGraceMs;
    return;
  }
  entries_.erase(aId);
  ++revision_;
}

}

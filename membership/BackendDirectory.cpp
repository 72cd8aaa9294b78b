#include "membership/BackendDirectory.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <set>

#include <xxhash.h>

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

int64_t BackendDirectory::Digest() const
{
  uint64_t digest = entries_.size();
  for (const auto& [id, entry] : entries_) {
    const auto text = Concat(id,
                             " ",
                             entry.service_,
                             " ",
                             entry.address_,
                             " ",
                             EnumName(entry.state_),
                             " ",
                             entry.bornMs_);
    // A sum does not depend on the order.
    digest += XXH3_64bits(text.data(), text.size());
  }
  return static_cast<int64_t>(digest);
}

void BackendDirectory::Replace(const std::vector<BackendEntry>& aEntries,
                               TimeMs aNowMs)
{
  missingUntilMs_.clear();
  std::set<std::string> listed;
  for (const auto& entry : aEntries) {
    listed.insert(entry.id_);
    ApplyPut(entry, aNowMs);
  }
  std::erase_if(entries_, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
  ++revision_;
}

void BackendDirectory::MarkMissing(const std::string& aId, TimeMs aNowMs)
{
  if (missingUntilMs_.contains(aId)) {
    return;
  }
  const bool disturbed = disturbedMs_ != 0 && aNowMs - disturbedMs_ < kGraceMs;
  // A server that said that it drains is not waited for.
  if (disturbed && entries_.at(aId).state_ == BackendState::Ready) {
    missingUntilMs_[aId] =
      std::min(disturbedMs_ + kGraceMs, aNowMs + kLongestGraceMs);
    return;
  }
  entries_.erase(aId);
  ++revision_;
}

}

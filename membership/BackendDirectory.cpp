#include "membership/BackendDirectory.hpp"

#include "common/ShortHash.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <iterator>
#include <set>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

uint64_t EntryHash(const BackendEntry& aEntry)
{
  const auto text = Concat(aEntry.id_,
                           " ",
                           aEntry.service_,
                           " ",
                           aEntry.address_,
                           " ",
                           EnumName(aEntry.state_),
                           " ",
                           aEntry.startTimeMs_);
  // Plus 1, so that the sum also depends on the number of entries.
  return XXH3_64bits(text.data(), text.size()) + 1;
}

/// As a number of the wire format.
int32_t WireHash(const std::string& aId, int64_t aStartTimeMs)
{
  return static_cast<int32_t>(IncarnationHash(aId, aStartTimeMs));
}

/// Number of leaving servers from which those without a registration are
/// dropped.
constexpr size_t kMaxLeaving = 4096;

}

BackendDirectory::BackendDirectory(TimeMs aDrainMs)
  : drainMs_(aDrainMs)
{
}

std::vector<std::string> BackendDirectory::Unlisted(
  const std::set<std::string>& aListed) const
{
  std::vector<std::string> unlisted;
  for (const auto& [id, entry] : entries_) {
    if (!aListed.contains(id)) {
      unlisted.push_back(id);
    }
  }
  return unlisted;
}

void BackendDirectory::ApplyList(const std::vector<BackendEntry>& aEntries,
                                 TimeMs aNowMs,
                                 int64_t aRevision)
{
  std::set<std::string> listed;
  for (const auto& entry : aEntries) {
    listed.insert(entry.id_);
    ApplyPut(entry, aNowMs);
  }
  std::ranges::for_each(Unlisted(listed), [&](const auto& aId) {
    if (!IsWrittenAfter(aId, aRevision)) {
      MarkMissing(aId, aNowMs, aRevision);
    }
  });
  std::erase_if(doubtful_, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
}

void BackendDirectory::OnStoreRestored(TimeMs aNowMs)
{
  doubtfulUntilMs_ = aNowMs + kRestoredExpiryMs;
  removedBeforeRestore_.clear();
  for (const auto& [id, removal] : removals_) {
    if (aNowMs - removal.atMs_ <= kRemovedMemoryMs) {
      removedBeforeRestore_[id] = removal.startTimeMs_;
    }
  }
}

bool BackendDirectory::IsDoubtful(const BackendEntry& aEntry,
                                  TimeMs aNowMs) const
{
  const auto removed = removedBeforeRestore_.find(aEntry.id_);
  return aNowMs < doubtfulUntilMs_ && removed != removedBeforeRestore_.end() &&
         removed->second == aEntry.startTimeMs_;
}

bool BackendDirectory::IsOutdated(const BackendEntry& aEntry) const
{
  const auto missing = missing_.find(aEntry.id_);
  const auto removed = removals_.find(aEntry.id_);
  int64_t absentAt = 0;
  if (missing != missing_.end()) {
    absentAt = missing->second.revision_;
  } else if (removed != removals_.end()) {
    absentAt = removed->second.revision_;
  }
  if (absentAt != 0 && aEntry.revision_ <= absentAt) {
    return true;
  }
  return aEntry.revision_ != 0 && IsWrittenAfter(aEntry.id_, aEntry.revision_);
}

bool BackendDirectory::IsWrittenAfter(const std::string& aId,
                                      int64_t aRevision) const
{
  const auto known = entries_.find(aId);
  return aRevision != 0 && known != entries_.end() &&
         known->second.revision_ > aRevision;
}

bool BackendDirectory::ApplyPut(const BackendEntry& aEntry,
                                TimeMs aNowMs,
                                bool aPassesOn)
{
  if (IsDoubtful(aEntry, aNowMs)) {
    doubtful_[aEntry.id_] = aEntry;
    return false;
  }
  if (aEntry.state_ == BackendState::Draining) {
    // An older state may be read again.
    MarkLeaving(aEntry.id_, aEntry.startTimeMs_);
  }
  if (IsOutdated(aEntry)) {
    return false;
  }
  const bool wasMissing = missing_.erase(aEntry.id_) > 0;
  confirmedMs_.erase(aEntry.id_);
  removals_.erase(aEntry.id_);
  auto entry = aEntry;
  entry.leaving_ = IsLeaving(entry);
  entry.coldUntilMs_ = 0;
  const auto [known, isNew] = entries_.try_emplace(entry.id_, entry);
  if (!isNew) {
    if (!wasMissing && known->second.IsSameState(entry)) {
      known->second.revision_ = entry.revision_;
      return ExtendCold(
        known->second, aEntry.coldRemainingMs_, aNowMs, aPassesOn);
    }
    if (known->second.IsSameIncarnation(entry)) {
      entry.coldUntilMs_ = known->second.coldUntilMs_;
    }
    if (!wasMissing) {
      digest_ -= detail::EntryHash(known->second);
    }
    known->second = entry;
  }
  digest_ += detail::EntryHash(entry);
  changes_.insert(entry.id_);
  return ExtendCold(known->second, aEntry.coldRemainingMs_, aNowMs, aPassesOn);
}

bool BackendDirectory::ExtendCold(BackendEntry& aEntry,
                                  TimeMs aRemainingMs,
                                  TimeMs aNowMs,
                                  bool aPassesOn)
{
  if (aRemainingMs <= 0 || aRemainingMs > kMaxColdMs) {
    return false;
  }
  const TimeMs untilMs = aNowMs + aRemainingMs;
  const bool wasCold = aEntry.coldUntilMs_ > aNowMs;
  if (wasCold && untilMs <= aEntry.coldUntilMs_ + kColdToleranceMs) {
    return false;
  }
  aEntry.coldUntilMs_ = untilMs;
  std::erase_if(coldPhases_, [aNowMs](const auto& aPhase) {
    return aPhase.second.endMs_ <= aNowMs;
  });
  coldPhases_[detail::WireHash(aEntry.id_, aEntry.startTimeMs_)] = {
    untilMs, aPassesOn
  };
  changes_.insert(aEntry.id_);
  return true;
}

bool BackendDirectory::MarkCold(const std::string& aId,
                                int64_t aStartTimeMs,
                                TimeMs aRemainingMs,
                                TimeMs aNowMs)
{
  const auto entry = entries_.find(aId);
  return entry != entries_.end() &&
         entry->second.startTimeMs_ == aStartTimeMs &&
         ExtendCold(entry->second, aRemainingMs, aNowMs, true);
}

bool BackendDirectory::MarkCold(const std::vector<ColdNotice>& aNotices,
                                TimeMs aNowMs,
                                bool aPassesOn)
{
  // Datagrams repeat them.
  std::map<int32_t, TimeMs> unknown;
  for (const auto& notice : aNotices) {
    const auto known = coldPhases_.find(notice.server_);
    if (known == coldPhases_.end() ||
        aNowMs + notice.remainingMs_ >
          known->second.endMs_ + kColdToleranceMs) {
      unknown[notice.server_] = notice.remainingMs_;
    }
  }
  if (unknown.empty()) {
    return false;
  }
  bool changed = false;
  for (auto& [id, entry] : entries_) {
    const auto found = unknown.find(detail::WireHash(id, entry.startTimeMs_));
    changed |= found != unknown.end() &&
               ExtendCold(entry, found->second, aNowMs, aPassesOn);
  }
  return changed;
}

std::vector<ColdNotice> BackendDirectory::TakeColdNotices(size_t aMaxCount,
                                                          TimeMs aNowMs)
{
  std::erase_if(coldPhases_, [aNowMs](const auto& aPhase) {
    return aPhase.second.endMs_ <= aNowMs;
  });
  std::vector<ColdNotice> notices;
  auto next = coldPhases_.upper_bound(lastColdNotice_);
  for (size_t seen = 0; seen < coldPhases_.size() && notices.size() < aMaxCount;
       ++seen) {
    if (next == coldPhases_.end()) {
      next = coldPhases_.begin();
    }
    const auto& [server, phase] = *next++;
    if (phase.passOn_) {
      notices.push_back({ server, phase.endMs_ - aNowMs });
    }
    lastColdNotice_ = server;
  }
  return notices;
}

bool BackendDirectory::IsLeaving(const BackendEntry& aEntry) const
{
  const auto found = leavingStartTimeMs_.find(aEntry.id_);
  return found != leavingStartTimeMs_.end() &&
         found->second == aEntry.startTimeMs_;
}

bool BackendDirectory::MarkLeaving(const std::string& aId, int64_t aStartTimeMs)
{
  if (leavingStartTimeMs_.size() >= detail::kMaxLeaving) {
    std::erase_if(leavingStartTimeMs_, [&](const auto& aLeaving) {
      return !entries_.contains(aLeaving.first);
    });
    leavingHashes_.clear();
    for (const auto& [id, startTimeMs] : leavingStartTimeMs_) {
      leavingHashes_.insert(detail::WireHash(id, startTimeMs));
    }
  }
  const auto [marked, isNew] =
    leavingStartTimeMs_.try_emplace(aId, aStartTimeMs);
  if (!isNew && marked->second >= aStartTimeMs) {
    return false;
  }
  marked->second = aStartTimeMs;
  leavingHashes_.insert(detail::WireHash(aId, aStartTimeMs));
  const auto entry = entries_.find(aId);
  if (entry != entries_.end() && entry->second.startTimeMs_ == aStartTimeMs) {
    entry->second.leaving_ = true;
    changes_.insert(aId);
  }
  return true;
}

bool BackendDirectory::MarkLeaving(const std::vector<int32_t>& aIncarnations)
{
  std::set<int32_t> incarnations(aIncarnations.begin(), aIncarnations.end());
  // Datagrams repeat them.
  std::erase_if(incarnations, [&](int32_t aIncarnation) {
    return leavingHashes_.contains(aIncarnation);
  });
  if (incarnations.empty()) {
    return false;
  }
  std::vector<const BackendEntry*> leaving;
  for (const auto& [id, entry] : entries_) {
    if (!entry.leaving_ &&
        incarnations.contains(detail::WireHash(id, entry.startTimeMs_))) {
      leaving.push_back(&entry);
    }
  }
  for (const auto* entry : leaving) {
    MarkLeaving(entry->id_, entry->startTimeMs_);
  }
  return !leaving.empty();
}

std::vector<int32_t> BackendDirectory::LeavingIncarnations(
  size_t aMaxCount) const
{
  std::vector<int32_t> incarnations;
  for (const auto& [id, startTimeMs] : leavingStartTimeMs_) {
    const auto entry = entries_.find(id);
    if (incarnations.size() < aMaxCount && entry != entries_.end() &&
        entry->second.leaving_ && entry->second.state_ == BackendState::Ready) {
      incarnations.push_back(detail::WireHash(id, startTimeMs));
    }
  }
  return incarnations;
}

void BackendDirectory::Remove(const std::string& aId,
                              TimeMs aNowMs,
                              int64_t aRevision)
{
  const auto known = entries_.find(aId);
  if (known != entries_.end()) {
    removals_[aId] = { known->second.startTimeMs_, aNowMs, aRevision };
    if (missing_.erase(aId) == 0) {
      digest_ -= detail::EntryHash(known->second);
    }
    coldPhases_.erase(detail::WireHash(aId, known->second.startTimeMs_));
    entries_.erase(known);
    changes_.insert(aId);
  }
}

void BackendDirectory::ApplyRemoved(const std::string& aId,
                                    TimeMs aNowMs,
                                    int64_t aRevision)
{
  doubtful_.erase(aId);
  if (!entries_.contains(aId)) {
    ExtendRemoval(aId, aRevision);
  } else if (!IsWrittenAfter(aId, aRevision)) {
    MarkMissing(aId, aNowMs, aRevision);
  }
}

void BackendDirectory::ExtendRemoval(const std::string& aId, int64_t aRevision)
{
  const auto removed = removals_.find(aId);
  if (removed != removals_.end()) {
    auto& absentAt = removed->second.revision_;
    absentAt = std::max(absentAt, aRevision);
  }
}

void BackendDirectory::ApplyToldRemoval(const std::string& aId,
                                        TimeMs aGraceMs,
                                        TimeMs aNowMs,
                                        int64_t aRevision)
{
  doubtful_.erase(aId);
  if (!entries_.contains(aId)) {
    ExtendRemoval(aId, aRevision);
    return;
  }
  if (IsWrittenAfter(aId, aRevision)) {
    return;
  }
  if (aGraceMs <= 0) {
    Remove(aId, aNowMs, aRevision);
  } else if (!missing_.contains(aId)) {
    const TimeMs untilMs = aNowMs + std::min(aGraceMs, MaxGraceMs());
    KeepMissing(aId, untilMs, untilMs, aRevision);
  }
}

void BackendDirectory::ConfirmRemoved(const std::string& aId,
                                      TimeMs aNowMs,
                                      int64_t aRevision)
{
  if (IsWrittenAfter(aId, aRevision)) {
    return;
  }
  std::erase_if(confirmedMs_, [aNowMs](const auto& aEntry) {
    return aNowMs - aEntry.second > kGraceMs;
  });
  ExtendRemoval(aId, aRevision);
  if (const auto missing = missing_.find(aId); missing != missing_.end()) {
    Remove(aId, aNowMs, std::max(aRevision, missing->second.revision_));
  } else {
    confirmedMs_[aId] = aNowMs;
  }
}

void BackendDirectory::OnStoreCallFailed(TimeMs aNowMs)
{
  storeCallFailedMs_ = aNowMs;
  for (auto& [id, grace] : missing_) {
    grace.untilMs_ = std::min(aNowMs + kGraceMs, grace.latestMs_);
  }
}

bool BackendDirectory::Expire(TimeMs aNowMs)
{
  std::map<std::string, GracePeriod> ended;
  std::ranges::copy_if(
    missing_, std::inserter(ended, ended.end()), [&](const auto& aEntry) {
      return aEntry.second.untilMs_ <= aNowMs;
    });
  for (const auto& [id, grace] : ended) {
    Remove(id, aNowMs, grace.revision_);
  }
  bool changed = !ended.empty();
  if (aNowMs >= doubtfulUntilMs_) {
    // Their servers have renewed them since the restore.
    for (const auto& [id, entry] : std::exchange(doubtful_, {})) {
      ApplyPut(entry, aNowMs);
      changed = true;
    }
  }
  std::erase_if(removals_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second.atMs_ > kRemovedMemoryMs;
  });
  return changed;
}

TimeMs BackendDirectory::GraceMs(const std::string& aId, TimeMs aNowMs) const
{
  const auto missing = missing_.find(aId);
  return missing == missing_.end()
           ? 0
           : std::max<TimeMs>(missing->second.untilMs_ - aNowMs, 1);
}

DirectorySnapshot BackendDirectory::Snapshot(TimeMs aNowMs) const
{
  DirectorySnapshot snapshot{ revision_, {}, {} };
  for (const auto& [id, entry] : entries_) {
    if (missing_.contains(id)) {
      snapshot.missing_.push_back({ entry, GraceMs(id, aNowMs) });
    } else {
      snapshot.registered_.push_back(entry);
    }
  }
  return snapshot;
}

void BackendDirectory::Replace(const DirectorySnapshot& aSnapshot,
                               TimeMs aNowMs)
{
  std::set<std::string> listed;
  for (const auto& entry : aSnapshot.registered_) {
    listed.insert(entry.id_);
    ApplyPut(entry, aNowMs);
  }
  for (const auto& [entry, graceMs] : aSnapshot.missing_) {
    listed.insert(entry.id_);
    // Elsewhere, a server that is not in use may have been removed long ago.
    if (revision_ == 0) {
      ApplyPut(entry, aNowMs);
    }
    ApplyToldRemoval(entry.id_, graceMs, aNowMs, aSnapshot.revision_);
  }
  std::ranges::for_each(Unlisted(listed), [&](const auto& aId) {
    ApplyToldRemoval(aId, 0, aNowMs, aSnapshot.revision_);
  });
}

void BackendDirectory::KeepMissing(const std::string& aId,
                                   TimeMs aUntilMs,
                                   TimeMs aLatestMs,
                                   int64_t aRevision)
{
  digest_ -= detail::EntryHash(entries_.at(aId));
  missing_[aId] = { aUntilMs, aLatestMs, aRevision };
}

void BackendDirectory::MarkMissing(const std::string& aId,
                                   TimeMs aNowMs,
                                   int64_t aRevision)
{
  if (const auto missing = missing_.find(aId); missing != missing_.end()) {
    auto& absentAt = missing->second.revision_;
    absentAt = std::max(absentAt, aRevision);
    return;
  }
  const auto confirmed = confirmedMs_.find(aId);
  const bool storeCallFailed =
    storeCallFailedMs_ != 0 && aNowMs - storeCallFailedMs_ < kGraceMs &&
    (confirmed == confirmedMs_.end() || aNowMs - confirmed->second > kGraceMs);
  // A server that announced that it is draining gets no grace period.
  if (storeCallFailed && entries_.at(aId).TakesNewWork()) {
    const TimeMs latestMs = aNowMs + MaxGraceMs();
    KeepMissing(aId,
                std::min(storeCallFailedMs_ + kGraceMs, latestMs),
                latestMs,
                aRevision);
    return;
  }
  Remove(aId, aNowMs, aRevision);
}

}

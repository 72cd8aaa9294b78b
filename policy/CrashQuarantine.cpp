#include "policy/CrashQuarantine.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

constexpr int kCrashesToQuarantine = 2;
/// Crashes needed to quarantine a request during a mass crash. A suspect with
/// this many crashes is run by one router only.
constexpr int kCrashesInMassCrash = 3;
/// A mass crash: this many other servers crash within this time.
constexpr int kMassCrashServers = 5;
constexpr TimeMs kMassCrashMs = 5000;
/// Records kept for one request; more add no information.
constexpr size_t kMaxRecords = 16;
constexpr TimeMs kRetryMs = 5;
/// Time within which the trial at another router ends and all routers learn its
/// result.
constexpr TimeMs kTrialMs = 1000;
/// Entries that expire sooner are not sent, so that routers don't send an entry
/// back and forth forever.
constexpr TimeMs kMinSentExpiryMs = 2000;
/// Changes are sent twice, because messages may be lost.
constexpr int kSendsPerChange = 2;
constexpr uint64_t kQuarantinedLevel = 255;

constexpr int64_t kClearedBit = 1;
constexpr int64_t kConclusiveBit = 2;
constexpr int kFlagBits = 2;

}

int64_t PackCrashRecord(const CrashRecord& aRecord)
{
  return (static_cast<int64_t>(aRecord.incarnation_) << detail::kFlagBits) +
         (aRecord.conclusive_ ? detail::kConclusiveBit : 0) +
         (aRecord.cleared_ ? detail::kClearedBit : 0);
}

CrashRecord UnpackCrashRecord(int64_t aPacked)
{
  return { static_cast<uint32_t>(aPacked >> detail::kFlagBits),
           (aPacked & detail::kConclusiveBit) != 0,
           (aPacked & detail::kClearedBit) != 0 };
}

int CrashQuarantine::State::Crashes() const
{
  return static_cast<int>(
    std::ranges::count_if(crashRecords_, [](const CrashRecord& aRecord) {
      return !aRecord.cleared_;
    }));
}

bool CrashQuarantine::State::IsQuarantined() const
{
  return std::ranges::any_of(crashRecords_, [](const CrashRecord& aRecord) {
    return aRecord.conclusive_ && !aRecord.cleared_;
  });
}

CrashQuarantine::CrashQuarantine(QuarantineOptions aOptions)
  : options_(aOptions)
{
}

void CrashQuarantine::SetMembers(const std::string& aSelf,
                                 std::vector<std::string> aMembers)
{
  self_ = aSelf;
  members_ = std::move(aMembers);
  std::ranges::sort(members_);
  rank_ = static_cast<int>(std::ranges::lower_bound(members_, aSelf) -
                           members_.begin());
}

void CrashQuarantine::OnCrash(std::string_view aServer,
                              const std::vector<InFlightRequest>& aInFlight,
                              TimeMs aNowMs,
                              uint64_t aIncarnation)
{
  Expire(aNowMs);
  const auto incarnationHash =
    XXH32(aServer.data(),
          aServer.size(),
          static_cast<uint32_t>(aIncarnation ^ aIncarnation >> 32));
  RecordCrashed(incarnationHash, aNowMs);
  std::vector<InFlightRequest> suspected;
  std::ranges::copy_if(
    aInFlight, std::back_inserter(suspected), [](const auto& aRequest) {
      return aRequest.knownCrashes_ > 0;
    });
  if (const auto running = running_.find(aServer); running != running_.end()) {
    const auto suspect =
      std::ranges::find(aInFlight, running->second, [](const auto& aRequest) {
        return aRequest.fingerprint_;
      });
    if (suspect != aInFlight.end()) {
      suspected = { *suspect };
    }
    running_.erase(running);
  }
  // Only one suspect runs on a server. It explains the crash, so the other
  // requests in flight there don't become suspects.
  for (const auto& request : suspected.empty() ? aInFlight : suspected) {
    AddCrash(request, aServer, incarnationHash, aNowMs);
  }
}

SuspectDecision CrashQuarantine::TryBegin(uint64_t aFingerprint,
                                          std::string_view aServer,
                                          TimeMs aNowMs)
{
  Expire(aNowMs);
  const auto found = suspects_.find(aFingerprint);
  const int crashes = found == suspects_.end() ? 0 : found->second.Crashes();
  if (crashes == 0) {
    return {};
  }
  State& state = found->second;
  if (state.IsQuarantined()) {
    if (options_.extendedByRequests_) {
      SetExpiry(state, aNowMs + options_.expiryMs_);
    }
    return { SuspectVerdict::Refuse, 0, state.reason_, crashes };
  }
  if (crashes >= detail::kCrashesInMassCrash && !IsTrialRouter(aFingerprint)) {
    return { SuspectVerdict::Refuse, detail::kTrialMs, state.reason_, crashes };
  }
  if (state.unresolvedUntilMs_ > aNowMs) {
    return { SuspectVerdict::Refuse,
             state.unresolvedUntilMs_ - aNowMs,
             state.reason_,
             crashes };
  }
  if (const TimeMs waitMs = WaitForTurnMs(state, aNowMs); waitMs > 0) {
    return { SuspectVerdict::Wait, waitMs, {}, crashes };
  }
  const bool runsHere = std::ranges::any_of(
    running_, [&](const auto& aRun) { return aRun.second == aFingerprint; });
  if (runsHere || running_.contains(aServer)) {
    return { SuspectVerdict::Wait, detail::kRetryMs, {}, crashes };
  }
  running_.emplace(aServer, aFingerprint);
  return { SuspectVerdict::Run, 0, {}, crashes };
}

void CrashQuarantine::OnEnd(uint64_t aFingerprint,
                            std::string_view aServer,
                            bool aSucceeded,
                            TimeMs aNowMs)
{
  Expire(aNowMs);
  const auto running = running_.find(aServer);
  if (running != running_.end() && running->second == aFingerprint) {
    running_.erase(running);
  }
  const auto found = suspects_.find(aFingerprint);
  if (aSucceeded && found != suspects_.end()) {
    Clear(found->second, "ended well");
  }
}

void CrashQuarantine::OnUnanswered(uint64_t aFingerprint,
                                   std::string_view aServer,
                                   TimeMs aUntilMs,
                                   TimeMs aNowMs)
{
  OnEnd(aFingerprint, aServer, false, aNowMs);
  const auto found = suspects_.find(aFingerprint);
  if (found != suspects_.end()) {
    found->second.unresolvedUntilMs_ = aUntilMs;
  }
}

void CrashQuarantine::Release(uint64_t aFingerprint, TimeMs aNowMs)
{
  Expire(aNowMs);
  const auto found = suspects_.find(aFingerprint);
  if (found != suspects_.end()) {
    Clear(found->second, "released by an operator");
  }
}

void CrashQuarantine::Clear(State& aState, std::string_view aReason)
{
  if (aState.Crashes() == 0) {
    return;
  }
  for (auto& record : aState.crashRecords_) {
    record.cleared_ = true;
  }
  aState.reason_ = aReason;
  aState.unresolvedUntilMs_ = 0;
  aState.remainingSends_ = detail::kSendsPerChange;
  changed_ = true;
}

bool CrashQuarantine::Merge(const std::vector<CrashSuspect>& aEntries,
                            TimeMs aNowMs,
                            bool aForward)
{
  Expire(aNowMs);
  const auto newCount =
    std::ranges::count_if(aEntries, [&](const CrashSuspect& aEntry) {
      return MergeOne(aEntry, aNowMs, aForward);
    });
  return newCount > 0;
}

bool CrashQuarantine::MergeOne(const CrashSuspect& aEntry,
                               TimeMs aNowMs,
                               bool aForward)
{
  // A peer may have been configured with another expiry.
  const TimeMs expiresInMs = std::min(aEntry.expiresInMs_, options_.expiryMs_);
  if (expiresInMs <= 0 || aEntry.crashRecords_.empty()) {
    return false;
  }
  if (!suspects_.contains(aEntry.fingerprint_)) {
    EvictIfFull();
  }
  State& state = suspects_[aEntry.fingerprint_];
  const int crashes = state.Crashes();
  const auto newCount = std::ranges::count_if(
    aEntry.crashRecords_,
    [&](const CrashRecord& aRecord) { return MergeRecord(state, aRecord); });
  if (newCount == 0) {
    return false;
  }
  changed_ = true;
  if (aForward) {
    state.remainingSends_ = detail::kSendsPerChange;
  }
  state.reason_ = aEntry.reason_;
  if (state.Crashes() > crashes) {
    state.crashMs_ = aNowMs;
  }
  SetExpiry(state, std::max(state.expiresMs_, aNowMs + expiresInMs));
  return true;
}

bool CrashQuarantine::MergeRecord(State& aState, const CrashRecord& aRecord)
{
  const auto found = std::ranges::find(
    aState.crashRecords_, aRecord.incarnation_, &CrashRecord::incarnation_);
  if (found == aState.crashRecords_.end()) {
    if (aState.crashRecords_.size() >= detail::kMaxRecords) {
      // Cleared records are dropped first, conclusive ones last.
      const auto least = std::ranges::min_element(
        aState.crashRecords_, {}, [](const CrashRecord& aOld) {
          return std::pair(!aOld.cleared_, aOld.conclusive_);
        });
      const bool matters =
        least->cleared_ ? !aRecord.cleared_ : aRecord.conclusive_;
      if (!matters || (!least->cleared_ && least->conclusive_)) {
        return false;
      }
      aState.crashRecords_.erase(least);
    }
    aState.crashRecords_.push_back(aRecord);
    return true;
  }
  const bool isNew = (aRecord.conclusive_ && !found->conclusive_) ||
                     (aRecord.cleared_ && !found->cleared_);
  found->conclusive_ = found->conclusive_ || aRecord.conclusive_;
  found->cleared_ = found->cleared_ || aRecord.cleared_;
  return isNew;
}

CrashSuspect CrashQuarantine::Describe(const Entry& aEntry, TimeMs aNowMs)
{
  const auto& [fingerprint, state] = aEntry;
  return { fingerprint,           state.Crashes(),
           state.IsQuarantined(), state.expiresMs_ - aNowMs,
           state.reason_,         state.crashRecords_ };
}

std::vector<CrashSuspect> CrashQuarantine::Entries(TimeMs aNowMs)
{
  Expire(aNowMs);
  std::vector<CrashSuspect> entries;
  std::ranges::transform(
    suspects_, std::back_inserter(entries), [&](const Entry& aEntry) {
      return Describe(aEntry, aNowMs);
    });
  return entries;
}

CrashSuspect CrashQuarantine::Find(uint64_t aFingerprint, TimeMs aNowMs) const
{
  const auto found = suspects_.find(aFingerprint);
  return found == suspects_.end() ? CrashSuspect{} : Describe(*found, aNowMs);
}

bool CrashQuarantine::TakeChanged()
{
  return std::exchange(changed_, false);
}

std::vector<const CrashQuarantine::Entry*> CrashQuarantine::RankedEntries(
  bool (*aWanted)(const State& aState)) const
{
  std::vector<const Entry*> entries;
  for (const auto& entry : suspects_) {
    if (aWanted(entry.second)) {
      entries.push_back(&entry);
    }
  }
  const auto rank = [](const Entry* aEntry) {
    const auto& state = aEntry->second;
    return std::tuple(state.IsQuarantined(), state.Crashes(), state.crashMs_);
  };
  std::ranges::sort(entries, std::ranges::greater(), rank);
  return entries;
}

std::vector<CrashSuspect> CrashQuarantine::TakeUnsent(size_t aMaxCount,
                                                      TimeMs aNowMs)
{
  Expire(aNowMs);
  std::vector<CrashSuspect> unsent;
  for (const auto* entry : RankedEntries(
         [](const State& aState) { return aState.remainingSends_ > 0; })) {
    if (unsent.size() == aMaxCount) {
      break;
    }
    --suspects_.at(entry->first).remainingSends_;
    unsent.push_back(Describe(*entry, aNowMs));
  }
  return unsent;
}

uint64_t CrashQuarantine::Digest(TimeMs aNowMs)
{
  Expire(aNowMs);
  uint64_t digest = 0;
  for (const auto& [fingerprint, state] : suspects_) {
    const int crashes = state.Crashes();
    if (crashes < 2 || state.expiresMs_ - aNowMs < detail::kMinSentExpiryMs) {
      continue;
    }
    const uint64_t level =
      state.IsQuarantined()
        ? detail::kQuarantinedLevel
        : static_cast<uint64_t>(std::min(crashes, detail::kCrashesInMassCrash));
    // A sum doesn't depend on the order of the entries.
    digest += XXH3_64bits_withSeed(&fingerprint, sizeof fingerprint, level);
  }
  return digest;
}

std::vector<CrashSuspect> CrashQuarantine::EntriesForSync(size_t aMaxCount,
                                                          TimeMs aNowMs)
{
  Expire(aNowMs);
  std::vector<CrashSuspect> entries;
  // Includes cleared entries: the peer may not know that they were cleared.
  for (const auto* entry : RankedEntries(
         [](const State& aState) { return aState.crashRecords_.size() > 1; })) {
    if (entries.size() < aMaxCount &&
        entry->second.expiresMs_ - aNowMs >= detail::kMinSentExpiryMs) {
      entries.push_back(Describe(*entry, aNowMs));
    }
  }
  return entries;
}

void CrashQuarantine::Expire(TimeMs aNowMs)
{
  while (!crashed_.empty() &&
         aNowMs - crashed_.front().first > detail::kMassCrashMs) {
    crashed_.pop_front();
  }
  if (aNowMs < firstExpiryMs_) {
    return;
  }
  firstExpiryMs_ = INT64_MAX;
  std::erase_if(suspects_, [&](const auto& aSuspect) {
    const TimeMs expiresMs = aSuspect.second.expiresMs_;
    if (expiresMs > aNowMs) {
      firstExpiryMs_ = std::min(firstExpiryMs_, expiresMs);
    }
    return expiresMs <= aNowMs;
  });
}

void CrashQuarantine::SetExpiry(State& aState, TimeMs aExpiresMs)
{
  aState.expiresMs_ = aExpiresMs;
  firstExpiryMs_ = std::min(firstExpiryMs_, aExpiresMs);
}

void CrashQuarantine::RecordCrashed(uint32_t aIncarnation, TimeMs aNowMs)
{
  const auto isSame = [&](const auto& aCrashed) {
    return aCrashed.second == aIncarnation;
  };
  if (std::ranges::none_of(crashed_, isSame)) {
    crashed_.emplace_back(aNowMs, aIncarnation);
  }
}

bool CrashQuarantine::IsMassCrash(const State& aState,
                                  uint32_t aIncarnation) const
{
  const auto others =
    std::ranges::count_if(crashed_, [&](const auto& aCrashed) {
      const auto incarnation = aCrashed.second;
      return incarnation != aIncarnation &&
             std::ranges::find(
               aState.crashRecords_, incarnation, &CrashRecord::incarnation_) ==
               aState.crashRecords_.end();
    });
  return others >= detail::kMassCrashServers;
}

void CrashQuarantine::AddCrash(const InFlightRequest& aRequest,
                               std::string_view aServer,
                               uint32_t aIncarnation,
                               TimeMs aNowMs)
{
  if (!suspects_.contains(aRequest.fingerprint_)) {
    EvictIfFull();
  }
  State& state = suspects_[aRequest.fingerprint_];
  const int known = aRequest.knownCrashes_ == InFlightRequest::kAllKnown
                      ? state.Crashes()
                      : aRequest.knownCrashes_;
  const int needed = IsMassCrash(state, aIncarnation)
                       ? detail::kCrashesInMassCrash
                       : detail::kCrashesToQuarantine;
  if (!MergeRecord(state, { aIncarnation, known + 1 >= needed })) {
    return;
  }
  state.reason_ = state.Crashes() == 1
                    ? Concat("was in flight when ", aServer, " crashed")
                    : Concat(state.reason_, ", then ", aServer);
  state.crashMs_ = aNowMs;
  state.unresolvedUntilMs_ = 0;
  state.remainingSends_ = detail::kSendsPerChange;
  SetExpiry(state, aNowMs + options_.expiryMs_);
  changed_ = true;
}

void CrashQuarantine::EvictIfFull()
{
  if (suspects_.size() < options_.maxEntries_) {
    return;
  }
  const auto rank = [](const auto& aSuspect) {
    const auto& state = aSuspect.second;
    return std::tuple(state.IsQuarantined(), state.Crashes(), state.expiresMs_);
  };
  suspects_.erase(std::ranges::min_element(suspects_, {}, rank));
}

bool CrashQuarantine::IsTrialRouter(uint64_t aFingerprint) const
{
  const auto weight = [&](const std::string& aName) {
    return XXH3_64bits_withSeed(aName.data(), aName.size(), aFingerprint);
  };
  const auto trialRouter = std::ranges::max_element(members_, {}, weight);
  // A router that does not know its peers yet leaves the trial to them.
  return trialRouter != members_.end() && *trialRouter == self_;
}

TimeMs CrashQuarantine::WaitForTurnMs(const State& aState, TimeMs aNowMs) const
{
  const int turns =
    std::min(static_cast<int>(members_.size()), options_.maxTurns_);
  if (turns <= 1) {
    return 0;
  }
  const TimeMs periodMs = options_.turnMs_ * turns;
  const TimeMs positionMs = (aNowMs - aState.crashMs_) % periodMs;
  const TimeMs turnBeginMs = options_.turnMs_ * (rank_ % turns);
  // Suspects start in the first half of a turn only, so that short requests
  // also end within the turn and small timing differences between routers do no
  // harm.
  if (positionMs >= turnBeginMs &&
      positionMs < turnBeginMs + options_.turnMs_ / 2) {
    return 0;
  }
  return (turnBeginMs - positionMs + periodMs) % periodMs;
}

}

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
/// Also the number of unproven crashes from which one router alone tries the
/// request.
constexpr int kCrashesInMassCrash = 3;
/// So many other servers that end within this time are a mass crash.
constexpr int kMassCrashServers = 5;
constexpr TimeMs kMassCrashMs = 5000;
/// Marks of one request; more tell nothing new.
constexpr size_t kMaxMarks = 16;
constexpr TimeMs kRetryMs = 5;
/// The trial of another router is over and known everywhere by then.
constexpr TimeMs kTrialMs = 1000;
/// Entries that end sooner are not told, so that routers do not pass one back
/// and forth for ever.
constexpr TimeMs kLeastToldMs = 2000;
/// A change is told once, and once more against loss.
constexpr int kTellings = 2;
constexpr uint64_t kQuarantinedLevel = 255;

constexpr int64_t kClearedBit = 1;
constexpr int64_t kConclusiveBit = 2;
constexpr int kFlagBits = 2;

}

int64_t PackCrashRecord(const CrashRecord& aMark)
{
  return (static_cast<int64_t>(aMark.incarnation_) << detail::kFlagBits) +
         (aMark.conclusive_ ? detail::kConclusiveBit : 0) +
         (aMark.cleared_ ? detail::kClearedBit : 0);
}

CrashRecord UnpackCrashRecord(int64_t aPacked)
{
  return { static_cast<uint32_t>(aPacked >> detail::kFlagBits),
           (aPacked & detail::kConclusiveBit) != 0,
           (aPacked & detail::kClearedBit) != 0 };
}

int CrashQuarantine::State::Crashes() const
{
  return static_cast<int>(std::ranges::count_if(
    crashRecords_, [](const CrashRecord& aMark) { return !aMark.cleared_; }));
}

bool CrashQuarantine::State::IsQuarantined() const
{
  return std::ranges::any_of(crashRecords_, [](const CrashRecord& aMark) {
    return aMark.conclusive_ && !aMark.cleared_;
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
  const auto life =
    XXH32(aServer.data(),
          aServer.size(),
          static_cast<uint32_t>(aIncarnation ^ aIncarnation >> 32));
  RecordEnded(life, aNowMs);
  std::vector<InFlightRequest> blamed;
  std::ranges::copy_if(aInFlight,
                       std::back_inserter(blamed),
                       [](const auto& aOne) { return aOne.knownCrashes_ > 0; });
  if (const auto running = running_.find(aServer); running != running_.end()) {
    const auto suspect =
      std::ranges::find(aInFlight, running->second, [](const auto& aOne) {
        return aOne.fingerprint_;
      });
    if (suspect != aInFlight.end()) {
      blamed = { *suspect };
    }
    running_.erase(running);
  }
  // Only one suspect runs on a server, so the others in flight beside it have
  // an explanation and stay as they are.
  for (const auto& request : blamed.empty() ? aInFlight : blamed) {
    AddCrash(request, aServer, life, aNowMs);
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
  for (auto& mark : aState.crashRecords_) {
    mark.cleared_ = true;
  }
  aState.reason_ = aReason;
  aState.unresolvedUntilMs_ = 0;
  aState.remainingSends_ = detail::kTellings;
  changed_ = true;
}

bool CrashQuarantine::Merge(const std::vector<CrashSuspect>& aEntries,
                            TimeMs aNowMs,
                            bool aPassOn)
{
  Expire(aNowMs);
  const auto news =
    std::ranges::count_if(aEntries, [&](const CrashSuspect& aEntry) {
      return MergeOne(aEntry, aNowMs, aPassOn);
    });
  return news > 0;
}

bool CrashQuarantine::MergeOne(const CrashSuspect& aEntry,
                               TimeMs aNowMs,
                               bool aPassOn)
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
  const auto news =
    std::ranges::count_if(aEntry.crashRecords_, [&](const CrashRecord& aMark) {
      return MergeMark(state, aMark);
    });
  if (news == 0) {
    return false;
  }
  changed_ = true;
  if (aPassOn) {
    state.remainingSends_ = detail::kTellings;
  }
  state.reason_ = aEntry.reason_;
  if (state.Crashes() > crashes) {
    state.crashMs_ = aNowMs;
  }
  SetExpiry(state, std::max(state.expiresMs_, aNowMs + expiresInMs));
  return true;
}

bool CrashQuarantine::MergeMark(State& aState, const CrashRecord& aMark)
{
  const auto found = std::ranges::find(
    aState.crashRecords_, aMark.incarnation_, &CrashRecord::incarnation_);
  if (found == aState.crashRecords_.end()) {
    if (aState.crashRecords_.size() >= detail::kMaxMarks) {
      // What was cleared matters least, what is conclusive most.
      const auto least = std::ranges::min_element(
        aState.crashRecords_, {}, [](const CrashRecord& aOld) {
          return std::pair(!aOld.cleared_, aOld.conclusive_);
        });
      const bool matters =
        least->cleared_ ? !aMark.cleared_ : aMark.conclusive_;
      if (!matters || (!least->cleared_ && least->conclusive_)) {
        return false;
      }
      aState.crashRecords_.erase(least);
    }
    aState.crashRecords_.push_back(aMark);
    return true;
  }
  const bool news = (aMark.conclusive_ && !found->conclusive_) ||
                    (aMark.cleared_ && !found->cleared_);
  found->conclusive_ = found->conclusive_ || aMark.conclusive_;
  found->cleared_ = found->cleared_ || aMark.cleared_;
  return news;
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

std::vector<const CrashQuarantine::Entry*> CrashQuarantine::Ranked(
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

std::vector<CrashSuspect> CrashQuarantine::TakeUnsent(size_t aMost,
                                                      TimeMs aNowMs)
{
  Expire(aNowMs);
  std::vector<CrashSuspect> untold;
  for (const auto* entry :
       Ranked([](const State& aState) { return aState.remainingSends_ > 0; })) {
    if (untold.size() == aMost) {
      break;
    }
    --suspects_.at(entry->first).remainingSends_;
    untold.push_back(Describe(*entry, aNowMs));
  }
  return untold;
}

uint64_t CrashQuarantine::Digest(TimeMs aNowMs)
{
  Expire(aNowMs);
  uint64_t digest = 0;
  for (const auto& [fingerprint, state] : suspects_) {
    const int crashes = state.Crashes();
    if (crashes < 2 || state.expiresMs_ - aNowMs < detail::kLeastToldMs) {
      continue;
    }
    const uint64_t level =
      state.IsQuarantined()
        ? detail::kQuarantinedLevel
        : static_cast<uint64_t>(std::min(crashes, detail::kCrashesInMassCrash));
    // A sum, so that the order of the entries does not matter.
    digest += XXH3_64bits_withSeed(&fingerprint, sizeof fingerprint, level);
  }
  return digest;
}

std::vector<CrashSuspect> CrashQuarantine::EntriesForSync(size_t aMost,
                                                          TimeMs aNowMs)
{
  Expire(aNowMs);
  std::vector<CrashSuspect> entries;
  // Cleared ones too: the other router may not know that they were cleared.
  for (const auto* entry : Ranked(
         [](const State& aState) { return aState.crashRecords_.size() > 1; })) {
    if (entries.size() < aMost &&
        entry->second.expiresMs_ - aNowMs >= detail::kLeastToldMs) {
      entries.push_back(Describe(*entry, aNowMs));
    }
  }
  return entries;
}

void CrashQuarantine::Expire(TimeMs aNowMs)
{
  while (!ended_.empty() &&
         aNowMs - ended_.front().first > detail::kMassCrashMs) {
    ended_.pop_front();
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

void CrashQuarantine::RecordEnded(uint32_t aIncarnation, TimeMs aNowMs)
{
  const auto isSame = [&](const auto& aEnded) {
    return aEnded.second == aIncarnation;
  };
  if (std::ranges::none_of(ended_, isSame)) {
    ended_.emplace_back(aNowMs, aIncarnation);
  }
}

bool CrashQuarantine::IsMassCrash(const State& aState,
                                  uint32_t aIncarnation) const
{
  const auto others = std::ranges::count_if(ended_, [&](const auto& aEnded) {
    const auto life = aEnded.second;
    return life != aIncarnation &&
           std::ranges::find(
             aState.crashRecords_, life, &CrashRecord::incarnation_) ==
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
  if (!MergeMark(state, { aIncarnation, known + 1 >= needed })) {
    return;
  }
  state.reason_ = state.Crashes() == 1
                    ? Concat("was in flight when ", aServer, " crashed")
                    : Concat(state.reason_, ", then ", aServer);
  state.crashMs_ = aNowMs;
  state.unresolvedUntilMs_ = 0;
  state.remainingSends_ = detail::kTellings;
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
  const auto tester = std::ranges::max_element(members_, {}, weight);
  // A router that does not know the others yet leaves the trial to them.
  return tester != members_.end() && *tester == self_;
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
  // Starts in the first half only, so that a short request also ends within
  // the turn and small differences between the routers do no harm.
  if (positionMs >= turnBeginMs &&
      positionMs < turnBeginMs + options_.turnMs_ / 2) {
    return 0;
  }
  return (turnBeginMs - positionMs + periodMs) % periodMs;
}

}

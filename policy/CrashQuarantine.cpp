#include "policy/CrashQuarantine.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace {

constexpr int kCrashesToQuarantine = 2;
/// Shares sent before a clearance can still arrive for this long.
constexpr TimeMs kClearedMs = 10000;

}

CrashQuarantine::CrashQuarantine(QuarantineOptions aOptions)
  : options_(aOptions)
{
}

void CrashQuarantine::SetRouterRank(int aRank, int aRouters)
{
  rank_ = aRank;
  routers_ = std::max(1, aRouters);
}

void CrashQuarantine::OnCrash(std::string_view aServer,
                              const std::vector<uint64_t>& aInFlight,
                              TimeMs aNowMs)
{
  Expire(aNowMs);
  const auto running = running_.find(aServer);
  if (running != running_.end()) {
    const uint64_t suspect = running->second;
    running_.erase(running);
    if (std::ranges::find(aInFlight, suspect) != aInFlight.end()) {
      // Only one suspect runs on a server, so the others in flight beside it
      // have an explanation and stay as they are.
      AddCrash(suspect, aServer, aNowMs);
      return;
    }
  }
  for (const uint64_t fingerprint : aInFlight) {
    AddCrash(fingerprint, aServer, aNowMs);
  }
}

SuspectDecision CrashQuarantine::TryBegin(uint64_t aFingerprint,
                                          std::string_view aServer,
                                          TimeMs aNowMs)
{
  Expire(aNowMs);
  const auto found = suspects_.find(aFingerprint);
  if (found == suspects_.end() || found->second.crashes_ == 0) {
    return {};
  }
  const State& state = found->second;
  if (state.quarantined_) {
    return { SuspectVerdict::Refuse, 0, state.reason_ };
  }
  const TimeMs turnWaitMs = WaitForTurnMs(state, aNowMs);
  if (turnWaitMs > 0) {
    return { SuspectVerdict::Wait, turnWaitMs, {} };
  }
  if (running_.contains(aServer)) {
    constexpr TimeMs kRetryMs = 5;
    return { SuspectVerdict::Wait, kRetryMs, {} };
  }
  running_.emplace(aServer, aFingerprint);
  return {};
}

void CrashQuarantine::OnEnd(uint64_t aFingerprint,
                            std::string_view aServer,
                            bool aEndedWell,
                            TimeMs aNowMs)
{
  const auto running = running_.find(aServer);
  if (running != running_.end() && running->second == aFingerprint) {
    running_.erase(running);
  }
  const auto found = suspects_.find(aFingerprint);
  if (aEndedWell && found != suspects_.end() && !found->second.quarantined_ &&
      found->second.crashes_ > 0) {
    MarkCleared(found->second, "ended well", aNowMs);
  }
}

void CrashQuarantine::Release(uint64_t aFingerprint, TimeMs aNowMs)
{
  MarkCleared(suspects_[aFingerprint], kReleased, aNowMs);
}

void CrashQuarantine::Merge(const std::vector<CrashSuspect>& aEntries,
                            TimeMs aNowMs)
{
  Expire(aNowMs);
  for (const CrashSuspect& entry : aEntries) {
    MergeOne(entry, aNowMs);
  }
}

void CrashQuarantine::MergeOne(const CrashSuspect& aEntry, TimeMs aNowMs)
{
  // A peer may have been configured with another expiry.
  const TimeMs expiresInMs = std::min(aEntry.expiresInMs_, options_.expiryMs_);
  if (expiresInMs <= 0) {
    return;
  }
  const auto found = suspects_.find(aEntry.fingerprint_);
  if (aEntry.crashes_ <= 0) {
    const bool isClearable =
      found != suspects_.end() && found->second.crashes_ > 0 &&
      (!found->second.quarantined_ || aEntry.reason_ == kReleased);
    // A crash after the clearance was sent makes it outdated.
    const TimeMs clearedMs = aNowMs - (kClearedMs - expiresInMs);
    if (isClearable && found->second.crashMs_ <= clearedMs) {
      MarkCleared(found->second, aEntry.reason_, aNowMs);
    }
    return;
  }
  const TimeMs crashMs = aNowMs - (options_.expiryMs_ - expiresInMs);
  if (found != suspects_.end() && found->second.crashes_ == 0 &&
      crashMs <= found->second.crashMs_) {
    return; // sent before the clearance
  }
  MakeRoom();
  State& state = suspects_[aEntry.fingerprint_];
  const bool isQuarantined = state.quarantined_ || aEntry.quarantined_;
  if (aEntry.crashes_ > state.crashes_ || isQuarantined != state.quarantined_) {
    changed_ = true;
    state.crashes_ = std::max(state.crashes_, aEntry.crashes_);
    state.quarantined_ = isQuarantined;
    state.reason_ = aEntry.reason_;
    state.crashMs_ = std::max(state.crashMs_, crashMs);
    SetExpiry(state, std::max(state.expiresMs_, aNowMs + expiresInMs));
  }
}

std::vector<CrashSuspect> CrashQuarantine::Entries(TimeMs aNowMs)
{
  Expire(aNowMs);
  std::vector<CrashSuspect> entries;
  for (const auto& [fingerprint, state] : suspects_) {
    entries.push_back({ fingerprint,
                        state.crashes_,
                        state.quarantined_,
                        state.expiresMs_ - aNowMs,
                        state.reason_ });
  }
  return entries;
}

bool CrashQuarantine::TakeChanged()
{
  return std::exchange(changed_, false);
}

void CrashQuarantine::Expire(TimeMs aNowMs)
{
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

void CrashQuarantine::AddCrash(uint64_t aFingerprint,
                               std::string_view aServer,
                               TimeMs aNowMs)
{
  MakeRoom();
  State& state = suspects_[aFingerprint];
  state.reason_ = state.crashes_ == 0
                    ? Concat("was in flight when ", aServer, " crashed")
                    : Concat(state.reason_, ", then ", aServer);
  ++state.crashes_;
  state.quarantined_ =
    state.quarantined_ || state.crashes_ >= kCrashesToQuarantine;
  state.crashMs_ = aNowMs;
  SetExpiry(state, aNowMs + options_.expiryMs_);
  changed_ = true;
}

void CrashQuarantine::MarkCleared(State& aState,
                                  std::string_view aReason,
                                  TimeMs aNowMs)
{
  aState.crashes_ = 0;
  aState.quarantined_ = false;
  aState.reason_ = aReason;
  aState.crashMs_ = aNowMs;
  SetExpiry(aState, aNowMs + kClearedMs);
  changed_ = true;
}

void CrashQuarantine::MakeRoom()
{
  if (suspects_.size() < options_.maxEntries_) {
    return;
  }
  const auto rank = [](const auto& aSuspect) {
    return std::pair(aSuspect.second.quarantined_, aSuspect.second.expiresMs_);
  };
  suspects_.erase(std::ranges::min_element(suspects_, {}, rank));
}

TimeMs CrashQuarantine::WaitForTurnMs(const State& aState, TimeMs aNowMs) const
{
  if (routers_ == 1) {
    return 0;
  }
  const TimeMs periodMs = options_.turnMs_ * routers_;
  const TimeMs positionMs = (aNowMs - aState.crashMs_) % periodMs;
  const TimeMs turnBeginMs = options_.turnMs_ * rank_;
  // Starts in the first half only, so that a short request also ends within
  // the turn and small differences between the routers do no harm.
  if (positionMs >= turnBeginMs &&
      positionMs < turnBeginMs + options_.turnMs_ / 2) {
    return 0;
  }
  return (turnBeginMs - positionMs + periodMs) % periodMs;
}

}

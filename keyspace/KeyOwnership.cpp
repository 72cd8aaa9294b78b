#include "keyspace/KeyOwnership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kClockDriftPercent = 2;
constexpr TimeMs kRoundingMs = 50;
constexpr int kLostFailures = 2;
/// A grant without a response reached the server within this time or not at
/// all, because its connection was interrupted and reset.
constexpr TimeMs kMaxTransitMs = 250;
/// In a large fleet the loss of one owner affects few keys, and renewals cost
/// the leader CPU time, so leases are longer.
constexpr TimeMs kLargeFleetLeaseMs = 4000;
constexpr TimeMs kLargeFleetRenewMs = 1300;

bool Overlaps(const KeySegment& aSegment, const KeyCommand& aCommand)
{
  return aSegment.first_ <= aCommand.last_ && aCommand.first_ <= aSegment.last_;
}

}

TimeMs LeaseEndMs(TimeMs aArrivalMs, TimeMs aLeaseMs)
{
  return aArrivalMs + aLeaseMs + aLeaseMs * detail::kClockDriftPercent / 100 +
         detail::kRoundingMs;
}

bool KeyOwnership::LeaseState::IsEndedBy(const KeyCommand& aRelease) const
{
  return inFlight_ == 0 && aRelease.number_ > lastBesideGrant_;
}

bool KeyOwnership::LeaseState::HasEnded(TimeMs aNowMs) const
{
  return inFlight_ == 0 && unansweredEndMs_ <= aNowMs &&
         (released_ || acceptedEndMs_ <= aNowMs) &&
         IsSafeFromEarlierLeaders(aNowMs);
}

bool KeyOwnership::LeaseState::IsSafeFromEarlierLeaders(TimeMs aNowMs) const
{
  return fenced_ || earlierLeaderEndMs_ <= aNowMs;
}

bool KeyOwnership::LeaseState::WasNeverGranted() const
{
  return inFlight_ == 0 && unansweredEndMs_ == 0 && acceptedEndMs_ == 0 &&
         earlierLeaderEndMs_ == 0;
}

LeaseTiming LeaseTiming::For(size_t aServers, TimeMs aMaxHoldMs)
{
  LeaseTiming timing;
  if (aServers > kLargeFleetServers) {
    timing.leaseMs_ = detail::kLargeFleetLeaseMs;
    timing.renewIntervalMs_ = detail::kLargeFleetRenewMs;
  }
  if (aMaxHoldMs < timing.leaseMs_) {
    timing.renewIntervalMs_ =
      timing.renewIntervalMs_ * aMaxHoldMs / timing.leaseMs_;
    timing.leaseMs_ = aMaxHoldMs;
  }
  timing.maxEarlierLeaseMs_ = timing.leaseMs_;
  return timing;
}

KeyOwnership::KeyOwnership(std::string aService, LeaseTiming aTiming)
  : service_(std::move(aService))
  , timing_(aTiming)
{
}

void KeyOwnership::Adopt(KeySegments aSegments,
                         const std::function<int64_t()>& aNextFence,
                         TimeMs aNowMs)
{
  const TimeMs earlierLeaderEndMs = LeaseEndMs(
    aNowMs + timing_.earlierLeaderRenewMs_, timing_.maxEarlierLeaseMs_);
  fencingSinceMs_ = aNowMs + timing_.earlierLeaderConnectMs_;
  segments_.clear();
  for (auto& segment : aSegments) {
    const bool mergesWithLast =
      !segments_.empty() && segment.previous_.empty() &&
      segments_.back().previous_.empty() &&
      segments_.back().owner_ == segment.owner_ &&
      segments_.back().ownerStartTimeMs_ == segment.ownerStartTimeMs_;
    if (mergesWithLast) {
      segments_.back().last_ = segment.last_;
      continue;
    }
    segment.fence_ = aNextFence();
    segments_.push_back(std::move(segment));
  }
  segmentStates_.assign(segments_.size(), {});
  for (size_t index = 0; index < segments_.size(); ++index) {
    segmentStates_[index].owner_.earlierLeaderEndMs_ = earlierLeaderEndMs;
    for (const auto& id : segments_[index].previous_) {
      segmentStates_[index].previous_[id].earlierLeaderEndMs_ =
        earlierLeaderEndMs;
    }
  }
  ++revision_;
}

void KeyOwnership::OnEarlierLeadersEnded(TimeMs aNowMs)
{
  fencingSinceMs_ = std::min(fencingSinceMs_, aNowMs);
  // Their last leases may still be valid, and their last commands may still be
  // executed.
  const TimeMs endMs = LeaseEndMs(aNowMs, timing_.maxEarlierLeaseMs_);
  const auto shorten = [&](LeaseState& aLease) {
    aLease.earlierLeaderEndMs_ = std::min(aLease.earlierLeaderEndMs_, endMs);
  };
  for (auto& state : segmentStates_) {
    shorten(state.owner_);
    for (auto& [id, lease] : state.previous_) {
      shorten(lease);
    }
  }
}

void KeyOwnership::SetCandidates(
  std::map<std::string, OwnerCandidate> aCandidates,
  TimeMs aNowMs)
{
  const bool hasNewServer =
    std::ranges::any_of(aCandidates, [&](const auto& aEntry) {
      return !candidates_.contains(aEntry.first);
    });
  if (hasNewServer) {
    newestServerMs_ = aNowMs;
    firstServerMs_ = firstServerMs_.value_or(aNowMs);
  }
  candidates_ = std::move(aCandidates);
  std::erase_if(failureStreaks_, [&](const auto& aEntry) {
    return !candidates_.contains(aEntry.first);
  });
}

bool KeyOwnership::IsReadyForFirstTable(const FirstTableTiming& aTiming,
                                        bool aHasDemand,
                                        TimeMs aNowMs) const
{
  if (!firstServerMs_) {
    return false;
  }
  const TimeMs limitMs =
    aHasDemand ? aTiming.demandLimitMs_ : aTiming.idleLimitMs_;
  return aNowMs - newestServerMs_ >= aTiming.settleMs_ ||
         aNowMs - *firstServerMs_ >= limitMs;
}

bool KeyOwnership::IsLost(const std::string& aBackend, TimeMs aNowMs) const
{
  const auto found = failureStreaks_.find(aBackend);
  return found != failureStreaks_.end() &&
         found->second.failures_ >= detail::kLostFailures &&
         aNowMs - found->second.firstFailureMs_ >= timing_.lostAfterMs_;
}

bool KeyOwnership::IsStable(size_t aIndex) const
{
  const auto& state = segmentStates_[aIndex];
  return segments_[aIndex].previous_.empty() && state.granted_ &&
         (state.owner_.fenced_ || state.owner_.earlierLeaderEndMs_ == 0);
}

bool KeyOwnership::AwaitsFence(size_t aIndex, TimeMs aNowMs) const
{
  const auto& state = segmentStates_[aIndex];
  const auto& owner = segments_[aIndex].owner_;
  const bool hasLeft = !candidates_.contains(owner) && state.lastGrantFailed_;
  return !state.owner_.IsSafeFromEarlierLeaders(aNowMs) && !hasLeft &&
         !IsLost(owner, aNowMs) &&
         aNowMs < fencingSinceMs_ + timing_.lostAfterMs_;
}

bool KeyOwnership::CanGrant(size_t aIndex, TimeMs aNowMs) const
{
  return std::ranges::all_of(
    segmentStates_[aIndex].previous_,
    [&](const auto& aEntry) { return aEntry.second.HasEnded(aNowMs); });
}

bool KeyOwnership::NeedsNewOwner(const KeySegment& aSegment,
                                 TimeMs aNowMs) const
{
  const auto found = candidates_.find(aSegment.owner_);
  return found == candidates_.end() || !found->second.usable_ ||
         found->second.startTimeMs_ != aSegment.ownerStartTimeMs_ ||
         IsLost(aSegment.owner_, aNowMs);
}

std::string KeyOwnership::PickTarget(
  const std::map<std::string, double>& aLoad) const
{
  const auto best = std::ranges::min_element(
    aLoad, {}, [](const auto& aEntry) { return aEntry.second; });
  return best == aLoad.end() ? std::string() : best->first;
}

KeySegment KeyOwnership::WithOwner(const KeySegment& aSegment,
                                   const std::string& aTarget,
                                   int64_t aFence) const
{
  auto result = aSegment;
  const bool sameServer = aSegment.owner_ == aTarget;
  if (!aSegment.owner_.empty() && !sameServer &&
      std::ranges::find(result.previous_, aSegment.owner_) ==
        result.previous_.end()) {
    result.previous_.push_back(aSegment.owner_);
  }
  std::erase(result.previous_, aTarget);
  result.owner_ = aTarget;
  result.ownerStartTimeMs_ = candidates_.at(aTarget).startTimeMs_;
  result.fence_ = aFence;
  return result;
}

void KeyOwnership::ReassignSegments(KeySegments& aSegments,
                                    const std::function<int64_t()>& aNextFence,
                                    TimeMs aNowMs) const
{
  // Number of keys of each usable server divided by its capacity. The load is
  // not considered here; KeyBalancer evens it out later.
  std::map<std::string, double> keysPerCapacity;
  for (const auto& [id, candidate] : candidates_) {
    if (candidate.usable_ && !IsLost(id, aNowMs)) {
      keysPerCapacity[id] = 0;
    }
  }
  if (keysPerCapacity.empty()) {
    return;
  }
  const auto addKeys = [&](const KeySegment& aSegment) {
    const auto found = keysPerCapacity.find(aSegment.owner_);
    if (found != keysPerCapacity.end()) {
      found->second += (aSegment.last_ - aSegment.first_ + 1) /
                       candidates_.at(aSegment.owner_).capacity_;
    }
  };
  std::ranges::for_each(aSegments, addKeys);
  for (size_t index = 0; index < aSegments.size(); ++index) {
    auto& segment = aSegments[index];
    if (!NeedsNewOwner(segment, aNowMs)) {
      continue;
    }
    const auto own = candidates_.find(segment.owner_);
    const bool restarted =
      own != candidates_.end() && own->second.usable_ &&
      own->second.startTimeMs_ != segment.ownerStartTimeMs_ &&
      !IsLost(segment.owner_, aNowMs);
    if (!restarted && AwaitsFence(index, aNowMs)) {
      continue;
    }
    const auto target =
      restarted ? segment.owner_ : PickTarget(keysPerCapacity);
    segment = WithOwner(segment, target, aNextFence());
    addKeys(segment);
  }
}

std::optional<KeySegments> KeyOwnership::Propose(
  const std::function<int64_t()>& aNextFence,
  const Balance& aBalance,
  TimeMs aNowMs)
{
  auto proposed = segments_;
  if (proposed.empty()) {
    const bool anyUsable = std::ranges::any_of(
      candidates_, [](const auto& aEntry) { return aEntry.second.usable_; });
    if (!anyUsable) {
      return std::nullopt;
    }
    // First table of the service: keys are shared in proportion to capacity.
    double total = 0;
    for (const auto& [id, candidate] : candidates_) {
      total += candidate.usable_ ? candidate.capacity_ : 0;
    }
    double sum = 0;
    uint32_t next = 0;
    for (const auto& [id, candidate] : candidates_) {
      if (!candidate.usable_) {
        continue;
      }
      sum += candidate.capacity_;
      const auto end =
        std::min(kKeyCount,
                 static_cast<uint32_t>(std::lround(kKeyCount * (sum / total))));
      if (end > next) {
        proposed.push_back(
          { next, end - 1, id, candidate.startTimeMs_, aNextFence(), {} });
        next = end;
      }
    }
    proposed.back().last_ = kKeyCount - 1;
    return proposed;
  }
  // Previous owners whose leases have ended are removed from the stored table.
  for (size_t index = 0; index < proposed.size(); ++index) {
    if (segmentStates_[index].granted_) {
      proposed[index].previous_.clear();
    }
  }
  const auto cleared = proposed;
  ReassignSegments(proposed, aNextFence, aNowMs);
  if (proposed == cleared && aBalance) {
    for (const auto& move : aBalance(*this)) {
      if (!candidates_.contains(move.target_)) {
        continue;
      }
      detail::SplitBefore(proposed, move.first_);
      detail::SplitBefore(proposed, move.last_ + 1);
      for (auto& segment : proposed) {
        if (segment.first_ >= move.first_ && segment.last_ <= move.last_ &&
            segment.owner_ != move.target_) {
          segment = WithOwner(segment, move.target_, aNextFence());
        }
      }
    }
  }
  if (proposed == segments_) {
    return std::nullopt;
  }
  return proposed;
}

void KeyOwnership::Commit(const KeySegments& aSegments, TimeMs aNowMs)
{
  std::vector<SegmentState> newStates(aSegments.size());
  auto committed = aSegments;
  for (size_t index = 0; index < committed.size(); ++index) {
    auto& segment = committed[index];
    const auto before = std::ranges::find_if(segments_, [&](const auto& aPart) {
      return aPart.first_ <= segment.first_ && segment.last_ <= aPart.last_;
    });
    if (before == segments_.end()) {
      continue;
    }
    const auto& oldState = segmentStates_[before - segments_.begin()];
    // The fence may have been replaced since the table was proposed.
    const bool isOutdated = segment.fence_ < before->fence_;
    if (isOutdated && before->owner_ == segment.owner_ &&
        before->ownerStartTimeMs_ == segment.ownerStartTimeMs_) {
      segment.fence_ = before->fence_;
    }
    if (before->owner_ == segment.owner_ && before->fence_ == segment.fence_) {
      newStates[index] = oldState;
      std::erase_if(newStates[index].previous_, [&](const auto& aEntry) {
        return std::ranges::find(segment.previous_, aEntry.first) ==
               segment.previous_.end();
      });
      continue;
    }
    auto& newState = newStates[index];
    for (const auto& id : segment.previous_) {
      if (id == before->owner_) {
        newState.previous_[id] = oldState.owner_;
      } else if (const auto found = oldState.previous_.find(id);
                 found != oldState.previous_.end()) {
        newState.previous_[id] = found->second;
      }
    }
    if (before->owner_ == segment.owner_) {
      // A new incarnation of the same server, or a new fence for it.
      newState.owner_ = oldState.owner_;
    } else if (const auto found = oldState.previous_.find(segment.owner_);
               found != oldState.previous_.end()) {
      newState.owner_ = found->second;
    }
    newState.owner_.released_ = false;
    newState.owner_.fenced_ = false;
    newState.needsFence_ = isOutdated;
  }
  segments_ = std::move(committed);
  segmentStates_ = std::move(newStates);
  ++revision_;
  // A previous owner that was never granted a lease needs no release.
  for (auto& entry : segmentStates_) {
    std::erase_if(entry.previous_, [&](const auto& aEntry) {
      return aEntry.second.WasNeverGranted() || aEntry.second.HasEnded(aNowMs);
    });
  }
}

void KeyOwnership::AddReleases(size_t aIndex,
                               std::vector<KeyCommand>& aCommands,
                               TimeMs aNowMs)
{
  auto& state = segmentStates_[aIndex];
  if (state.releaseInFlight_ ||
      (state.lastReleaseMs_ != 0 &&
       aNowMs - state.lastReleaseMs_ < timing_.retryIntervalMs_)) {
    return;
  }
  const auto& segment = segments_[aIndex];
  for (auto& [id, lease] : state.previous_) {
    if (lease.released_ || lease.HasEnded(aNowMs) || id == kUnknownServer) {
      continue;
    }
    state.lastReleaseMs_ = aNowMs;
    state.releaseInFlight_ = true;
    aCommands.push_back({ KeyCommandKind::Release,
                          service_,
                          id,
                          segment.first_,
                          segment.last_,
                          segment.fence_,
                          0,
                          {},
                          aNowMs,
                          ++lastCommand_ });
    return;
  }
}

void KeyOwnership::ReplaceUsedFences(const std::function<int64_t()>& aNextFence)
{
  for (size_t index = 0; index < segments_.size(); ++index) {
    auto& state = segmentStates_[index];
    if (std::exchange(state.needsFence_, false)) {
      segments_[index].fence_ = aNextFence();
      state.connection_ = 0;
    }
  }
}

std::vector<KeyCommand> KeyOwnership::TakeCommands(TimeMs aNowMs,
                                                   GrantScope aScope)
{
  std::vector<KeyCommand> commands;
  for (size_t index = 0; index < segments_.size(); ++index) {
    auto& state = segmentStates_[index];
    const auto& segment = segments_[index];
    if (!CanGrant(index, aNowMs)) {
      // Servers refuse no release, not even that of a replaced leader.
      if (aScope == GrantScope::All) {
        AddReleases(index, commands, aNowMs);
      }
      continue;
    }
    const bool renews = state.granted_ && !state.lastGrantFailed_ &&
                        aNowMs < state.owner_.acceptedEndMs_;
    if (aScope == GrantScope::Renewals && !renews) {
      continue;
    }
    const bool retries =
      (!state.granted_ || state.lastGrantFailed_ || state.lastGrantWithheld_) &&
      !IsLost(segment.owner_, aNowMs);
    const bool fences = state.lastGrantMs_ < fencingSinceMs_ &&
                        fencingSinceMs_ <= aNowMs &&
                        NeedsNewOwner(segment, aNowMs);
    const TimeMs intervalMs =
      retries || fences ? timing_.retryIntervalMs_ : timing_.renewIntervalMs_;
    if (segment.owner_.empty() || state.needsFence_ ||
        state.owner_.inFlight_ > 0 ||
        (state.lastGrantMs_ != 0 && aNowMs - state.lastGrantMs_ < intervalMs)) {
      continue;
    }
    state.lastGrantMs_ = aNowMs;
    state.owner_.inFlight_ += 1;
    commands.push_back({ KeyCommandKind::Grant,
                         service_,
                         segment.owner_,
                         segment.first_,
                         segment.last_,
                         segment.fence_,
                         timing_.leaseMs_,
                         state.handover_,
                         aNowMs,
                         ++lastCommand_,
                         renews,
                         state.connection_ });
  }
  return commands;
}

void KeyOwnership::NoteConnection(SegmentState& aState,
                                  const KeyCommand& aGrant,
                                  KeyCommandResult aResult)
{
  switch (aResult) {
    case KeyCommandResult::Accepted:
    case KeyCommandResult::OlderFence:
    case KeyCommandResult::Unanswered:
      aState.connection_ = aGrant.connection_;
      break;
    case KeyCommandResult::Misdirected:
      aState.needsFence_ = aGrant.connection_ != 0;
      break;
    case KeyCommandResult::Disconnected:
      aState.needsFence_ = true;
      break;
    default: // not sent
      break;
  }
}

void KeyOwnership::OnCommandDone(const KeyCommand& aCommand,
                                 KeyCommandResult aResult,
                                 const std::string& aHandover,
                                 TimeMs aNowMs)
{
  if (aResult == KeyCommandResult::Accepted ||
      aResult == KeyCommandResult::OlderFence) {
    failureStreaks_.erase(aCommand.backend_);
  } else if (aResult != KeyCommandResult::Withheld &&
             aResult != KeyCommandResult::Disconnected) {
    auto& streak = failureStreaks_[aCommand.backend_];
    if (streak.failures_++ == 0) {
      streak.firstFailureMs_ = aNowMs;
    }
  }
  for (size_t index = 0; index < segments_.size(); ++index) {
    const auto& segment = segments_[index];
    if (!detail::Overlaps(segment, aCommand)) {
      continue;
    }
    auto& state = segmentStates_[index];
    const bool isOwner = segment.owner_ == aCommand.backend_;
    const auto previous = state.previous_.find(aCommand.backend_);
    if (isOwner && aCommand.kind_ == KeyCommandKind::Grant &&
        aCommand.fence_ == segment.fence_) {
      NoteConnection(state, aCommand, aResult);
    }
    if (aResult == KeyCommandResult::Misdirected) {
      // Another server is listening on the address, so this one has exited.
      if (previous != state.previous_.end()) {
        previous->second = LeaseState{};
      } else if (isOwner) {
        state.owner_ = LeaseState{};
        // The server may have rejected the token.
        state.handover_.clear();
      }
      state.releaseInFlight_ = false;
      state.lastGrantFailed_ = true;
      ++revision_;
      continue;
    }
    if (aCommand.kind_ == KeyCommandKind::Release) {
      state.releaseInFlight_ = false;
      if (aResult == KeyCommandResult::Accepted &&
          previous != state.previous_.end()) {
        if (previous->second.IsEndedBy(aCommand)) {
          previous->second.released_ = true;
        } else if (previous->second.inFlight_ == 0) {
          // The next release follows at once.
          state.lastReleaseMs_ = 0;
        }
        if (!aHandover.empty()) {
          state.handover_ = aHandover;
        }
        ++revision_;
      }
      continue;
    }
    LeaseState* lease = nullptr;
    if (isOwner) {
      lease = &state.owner_;
    } else if (previous != state.previous_.end()) {
      lease = &previous->second;
    }
    if (lease == nullptr) {
      continue;
    }
    lease->inFlight_ = std::max(0, lease->inFlight_ - 1);
    lease->lastBesideGrant_ = lastCommand_;
    if (isOwner) {
      state.lastGrantWithheld_ = aResult == KeyCommandResult::Withheld;
      if (aResult == KeyCommandResult::Disconnected) {
        // The next grant follows at once, with a new fence.
        state.lastGrantMs_ = 0;
      } else if (!state.lastGrantWithheld_) {
        state.lastGrantFailed_ = aResult != KeyCommandResult::Accepted;
      }
    } else {
      state.lastReleaseMs_ = 0;
    }
    if (aResult == KeyCommandResult::Accepted) {
      lease->acceptedEndMs_ =
        std::max(lease->acceptedEndMs_, LeaseEndMs(aNowMs, aCommand.leaseMs_));
      lease->released_ = false;
      if (isOwner && aCommand.fence_ == segment.fence_) {
        lease->fenced_ |= fencingSinceMs_ <= aCommand.sentMs_;
        state.handover_.clear();
        if (!state.granted_) {
          state.granted_ = true;
          ++revision_;
        }
      }
    } else if (aResult == KeyCommandResult::Unanswered) {
      const TimeMs arrivalMs =
        std::min(aNowMs, aCommand.sentMs_ + detail::kMaxTransitMs);
      lease->unansweredEndMs_ = std::max(
        lease->unansweredEndMs_, LeaseEndMs(arrivalMs, aCommand.leaseMs_));
    }
  }
}

}

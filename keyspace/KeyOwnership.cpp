#include "keyspace/KeyOwnership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kClockDriftPercent = 2;
constexpr TimeMs kRoundingMs = 50;
constexpr int kLostFailures = 2;
/// A grant without an answer reached the server within this time, or its
/// connection was cut and reset.
constexpr TimeMs kMaxTransitMs = 250;
/// With many owners the loss of one concerns few keys, and renewals cost the
/// leader processor time: its grants last longer.
constexpr TimeMs kLargeFleetHoldMs = 4000;
constexpr TimeMs kLargeFleetRenewMs = 1300;

bool Overlaps(const KeySegment& aSegment, const KeyCommand& aOrder)
{
  return aSegment.first_ <= aOrder.last_ && aOrder.first_ <= aSegment.last_;
}

}

TimeMs LeaseEndMs(TimeMs aArrivalMs, TimeMs aHoldMs)
{
  return aArrivalMs + aHoldMs + aHoldMs * detail::kClockDriftPercent / 100 +
         detail::kRoundingMs;
}

bool KeyOwnership::LeaseState::HasEnded(TimeMs aNowMs) const
{
  return inFlight_ == 0 && unansweredEndMs_ <= aNowMs &&
         (released_ || answeredEndMs_ <= aNowMs) &&
         (fenced_ || earlierLeaderEndMs_ <= aNowMs);
}

bool KeyOwnership::LeaseState::WasNeverGranted() const
{
  return inFlight_ == 0 && unansweredEndMs_ == 0 && answeredEndMs_ == 0 &&
         earlierLeaderEndMs_ == 0;
}

LeaseTiming LeaseTiming::For(size_t aServers, TimeMs aMaxHoldMs)
{
  LeaseTiming timing;
  if (aServers > kLargeFleetServers) {
    timing.leaseMs_ = detail::kLargeFleetHoldMs;
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
  const TimeMs foreignEndMs = LeaseEndMs(aNowMs + timing_.earlierLeaderRenewMs_,
                                         timing_.maxEarlierLeaseMs_);
  segments_.clear();
  for (auto& segment : aSegments) {
    const bool joins =
      !segments_.empty() && segment.previous_.empty() &&
      segments_.back().previous_.empty() &&
      segments_.back().owner_ == segment.owner_ &&
      segments_.back().ownerStartTimeMs_ == segment.ownerStartTimeMs_;
    if (joins) {
      segments_.back().last_ = segment.last_;
      continue;
    }
    segment.fence_ = aNextFence();
    segments_.push_back(std::move(segment));
  }
  segmentStates_.assign(segments_.size(), {});
  for (size_t index = 0; index < segments_.size(); ++index) {
    segmentStates_[index].owner_.earlierLeaderEndMs_ = foreignEndMs;
    for (const auto& id : segments_[index].previous_) {
      segmentStates_[index].previous_[id].earlierLeaderEndMs_ = foreignEndMs;
    }
  }
  ++revision_;
}

void KeyOwnership::OnEarlierLeadersEnded(TimeMs aNowMs)
{
  // Their last grants may still be in force, or be carried out late.
  const TimeMs endMs = LeaseEndMs(aNowMs, timing_.maxEarlierLeaseMs_);
  const auto shorten = [&](LeaseState& aWindow) {
    aWindow.earlierLeaderEndMs_ = std::min(aWindow.earlierLeaderEndMs_, endMs);
  };
  for (auto& runtime : segmentStates_) {
    shorten(runtime.owner_);
    for (auto& [id, window] : runtime.previous_) {
      shorten(window);
    }
  }
}

void KeyOwnership::SetCandidates(
  std::map<std::string, OwnerCandidate> aCandidates,
  TimeMs aNowMs)
{
  const bool grew = std::ranges::any_of(aCandidates, [&](const auto& aEntry) {
    return !candidates_.contains(aEntry.first);
  });
  if (grew) {
    newestServerMs_ = aNowMs;
    firstServerMs_ = firstServerMs_.value_or(aNowMs);
  }
  candidates_ = std::move(aCandidates);
  std::erase_if(contacts_, [&](const auto& aEntry) {
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
  const auto found = contacts_.find(aBackend);
  return found != contacts_.end() &&
         found->second.failures_ >= detail::kLostFailures &&
         aNowMs - found->second.firstFailureMs_ >= timing_.lostAfterMs_;
}

bool KeyOwnership::IsStable(size_t aIndex) const
{
  return segments_[aIndex].previous_.empty() && segmentStates_[aIndex].granted_;
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
  // Share of the keys that each usable server has, by its capacity: the
  // balance by load follows later.
  std::map<std::string, double> share;
  for (const auto& [id, candidate] : candidates_) {
    if (candidate.usable_ && !IsLost(id, aNowMs)) {
      share[id] = 0;
    }
  }
  if (share.empty()) {
    return;
  }
  const auto weigh = [&](const KeySegment& aSegment) {
    const auto found = share.find(aSegment.owner_);
    if (found != share.end()) {
      found->second += (aSegment.last_ - aSegment.first_ + 1) /
                       candidates_.at(aSegment.owner_).capacity_;
    }
  };
  std::ranges::for_each(aSegments, weigh);
  for (auto& segment : aSegments) {
    if (!NeedsNewOwner(segment, aNowMs)) {
      continue;
    }
    const auto own = candidates_.find(segment.owner_);
    const bool restarted =
      own != candidates_.end() && own->second.usable_ &&
      own->second.startTimeMs_ != segment.ownerStartTimeMs_ &&
      !IsLost(segment.owner_, aNowMs);
    const auto target = restarted ? segment.owner_ : PickTarget(share);
    segment = WithOwner(segment, target, aNextFence());
    weigh(segment);
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
    // First table of the service: equal parts by capacity.
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
  // A previous holder whose hold is over leaves the durable table.
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
  std::vector<SegmentState> runtime(aSegments.size());
  for (size_t index = 0; index < aSegments.size(); ++index) {
    const auto& segment = aSegments[index];
    const auto before = std::ranges::find_if(segments_, [&](const auto& aPart) {
      return aPart.first_ <= segment.first_ && segment.last_ <= aPart.last_;
    });
    if (before == segments_.end()) {
      continue;
    }
    const auto& old = segmentStates_[before - segments_.begin()];
    if (before->owner_ == segment.owner_ && before->fence_ == segment.fence_) {
      runtime[index] = old;
      std::erase_if(runtime[index].previous_, [&](const auto& aEntry) {
        return std::ranges::find(segment.previous_, aEntry.first) ==
               segment.previous_.end();
      });
      continue;
    }
    auto& fresh = runtime[index];
    for (const auto& id : segment.previous_) {
      if (id == before->owner_) {
        fresh.previous_[id] = old.owner_;
      } else if (const auto found = old.previous_.find(id);
                 found != old.previous_.end()) {
        fresh.previous_[id] = found->second;
      }
    }
    if (before->owner_ == segment.owner_) {
      // A new life of the same server, or a new fence for it.
      fresh.owner_ = old.owner_;
    } else if (const auto found = old.previous_.find(segment.owner_);
               found != old.previous_.end()) {
      fresh.owner_ = found->second;
    }
    fresh.owner_.released_ = false;
    fresh.owner_.fenced_ = false;
  }
  segments_ = aSegments;
  segmentStates_ = std::move(runtime);
  ++revision_;
  // A holder that never got a grant needs no release.
  for (auto& entry : segmentStates_) {
    std::erase_if(entry.previous_, [&](const auto& aEntry) {
      return aEntry.second.WasNeverGranted() || aEntry.second.HasEnded(aNowMs);
    });
  }
}

void KeyOwnership::AddReleases(size_t aIndex,
                               std::vector<KeyCommand>& aOrders,
                               TimeMs aNowMs)
{
  auto& runtime = segmentStates_[aIndex];
  if (runtime.releaseInFlight_ ||
      (runtime.lastReleaseMs_ != 0 &&
       aNowMs - runtime.lastReleaseMs_ < timing_.retryIntervalMs_)) {
    return;
  }
  const auto& segment = segments_[aIndex];
  for (auto& [id, window] : runtime.previous_) {
    if (window.released_ || window.HasEnded(aNowMs)) {
      continue;
    }
    runtime.lastReleaseMs_ = aNowMs;
    runtime.releaseInFlight_ = true;
    aOrders.push_back({ KeyCommandKind::Release,
                        service_,
                        id,
                        segment.first_,
                        segment.last_,
                        segment.fence_,
                        0,
                        {},
                        aNowMs });
    return;
  }
}

std::vector<KeyCommand> KeyOwnership::TakeCommands(TimeMs aNowMs,
                                                   GrantScope aScope)
{
  std::vector<KeyCommand> orders;
  for (size_t index = 0; index < segments_.size(); ++index) {
    auto& runtime = segmentStates_[index];
    const auto& segment = segments_[index];
    if (!CanGrant(index, aNowMs)) {
      AddReleases(index, orders, aNowMs);
      continue;
    }
    const bool prolongs = runtime.granted_ && !runtime.lastGrantFailed_ &&
                          aNowMs < runtime.owner_.answeredEndMs_;
    if (aScope == GrantScope::Renewals && !prolongs) {
      continue;
    }
    const bool hurry = (!runtime.granted_ || runtime.lastGrantFailed_) &&
                       !IsLost(segment.owner_, aNowMs);
    const TimeMs intervalMs =
      hurry ? timing_.retryIntervalMs_ : timing_.renewIntervalMs_;
    if (segment.owner_.empty() || runtime.owner_.inFlight_ > 0 ||
        (runtime.lastGrantMs_ != 0 &&
         aNowMs - runtime.lastGrantMs_ < intervalMs)) {
      continue;
    }
    runtime.lastGrantMs_ = aNowMs;
    runtime.owner_.inFlight_ += 1;
    orders.push_back({ KeyCommandKind::Grant,
                       service_,
                       segment.owner_,
                       segment.first_,
                       segment.last_,
                       segment.fence_,
                       timing_.leaseMs_,
                       runtime.handover_,
                       aNowMs });
  }
  return orders;
}

void KeyOwnership::OnCommandDone(const KeyCommand& aOrder,
                                 KeyCommandResult aResult,
                                 const std::string& aHandover,
                                 TimeMs aNowMs)
{
  if (aResult == KeyCommandResult::Accepted ||
      aResult == KeyCommandResult::OlderFence) {
    contacts_.erase(aOrder.backend_);
  } else {
    auto& contact = contacts_[aOrder.backend_];
    if (contact.failures_++ == 0) {
      contact.firstFailureMs_ = aNowMs;
    }
  }
  for (size_t index = 0; index < segments_.size(); ++index) {
    const auto& segment = segments_[index];
    if (!detail::Overlaps(segment, aOrder)) {
      continue;
    }
    auto& runtime = segmentStates_[index];
    const bool isOwner = segment.owner_ == aOrder.backend_;
    const auto previous = runtime.previous_.find(aOrder.backend_);
    if (aResult == KeyCommandResult::Misdirected) {
      // Another server has the address, so this one has ended.
      if (previous != runtime.previous_.end()) {
        previous->second = LeaseState{};
      } else if (isOwner) {
        runtime.owner_ = LeaseState{};
      }
      runtime.releaseInFlight_ = false;
      runtime.lastGrantFailed_ = true;
      ++revision_;
      continue;
    }
    if (aOrder.kind_ == KeyCommandKind::Release) {
      runtime.releaseInFlight_ = false;
      if (aResult == KeyCommandResult::Accepted &&
          previous != runtime.previous_.end()) {
        previous->second.released_ = true;
        if (!aHandover.empty()) {
          runtime.handover_ = aHandover;
        }
        ++revision_;
      }
      continue;
    }
    LeaseState* window = nullptr;
    if (isOwner) {
      window = &runtime.owner_;
    } else if (previous != runtime.previous_.end()) {
      window = &previous->second;
    }
    if (window == nullptr) {
      continue;
    }
    window->inFlight_ = std::max(0, window->inFlight_ - 1);
    if (isOwner) {
      runtime.lastGrantFailed_ = aResult != KeyCommandResult::Accepted;
    }
    if (aResult == KeyCommandResult::Accepted) {
      window->answeredEndMs_ =
        std::max(window->answeredEndMs_, LeaseEndMs(aNowMs, aOrder.leaseMs_));
      window->released_ = false;
      if (isOwner && aOrder.fence_ == segment.fence_) {
        window->fenced_ = true;
        runtime.handover_.clear();
        if (!runtime.granted_) {
          runtime.granted_ = true;
          ++revision_;
        }
      }
    } else if (aResult == KeyCommandResult::Unanswered) {
      const TimeMs arrivalMs =
        std::min(aNowMs, aOrder.sentMs_ + detail::kMaxTransitMs);
      window->unansweredEndMs_ = std::max(
        window->unansweredEndMs_, LeaseEndMs(arrivalMs, aOrder.leaseMs_));
    }
  }
}

}

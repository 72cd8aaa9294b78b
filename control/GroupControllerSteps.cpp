#include "GroupController.hpp"
#include "common/KeyHash.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactuspitch {

namespace detail {
/// Interval between attempts after a write that did not take effect.
constexpr TimeMs kWriteRetryIntervalMs = 50;
/// Planning the record costs more than the rest of a step.
constexpr TimeMs kPlanIntervalMs = 20;
/// A slice cannot be promoted while it is unknown whether its record was
/// written. Nothing is therefore written to a store whose last response is
/// older than this, since the store may have become unreachable without notice.
constexpr TimeMs kStoreFreshMs = 100;
/// Interval between reads that probe the store, whether or not the last one was
/// answered.
constexpr TimeMs kStoreProbeIntervalMs = 500;
/// Interval between new terms, so that a deputy that keeps refusing causes few
/// writes.
constexpr TimeMs kTermIntervalMs = 300;

void AddUnique(std::vector<std::string>& aList, const std::string& aItem)
{
  if (!aItem.empty() && std::ranges::find(aList, aItem) == aList.end()) {
    aList.push_back(aItem);
  }
}
}

void GroupController::StepAssigner(TimeMs aNowMs, Actions& aActions)
{
  if (IsHandingOver()) {
    return;
  }
  recovery_.Step(aNowMs);
  MoveSlicesOffDrainingServers(aNowMs);
  mover_.Step(aNowMs, aActions);
  grantScheduler_.Step(aNowMs, aActions);
  if (state_.authority_.HasDeputy() &&
      state_.authority_.IsHeartbeatDue(aNowMs)) {
    SendHeartbeat(aNowMs, aActions);
  }
  if (storeReachable_ && !writer_.IsPending() &&
      aNowMs - lastWriteAttemptMs_ >= detail::kWriteRetryIntervalMs &&
      aNowMs - lastPlannedMs_ >= detail::kPlanIntervalMs) {
    lastPlannedMs_ = aNowMs;
    WriteRecord(aNowMs, aActions);
  }
}

void GroupController::MoveSlicesOffDrainingServers(TimeMs aNowMs)
{
  const auto& servers = state_.Table().servers_;
  std::vector<int> count(servers.size(), 0);
  for (const auto& slice : state_.sliceStates_.Slices()) {
    const auto to = slice.target_ != kNoServer ? slice.target_ : slice.Holder();
    if (to != kNoServer) {
      ++count[static_cast<size_t>(to)];
    }
  }
  for (auto& slice : state_.sliceStates_.Slices()) {
    const auto holder = slice.Holder();
    const bool drains =
      holder != kNoServer &&
      (state_.Lease(holder).IsDraining() || state_.Server(holder).draining_);
    if (!drains || !slice.resolved_ || slice.target_ != kNoServer) {
      continue;
    }
    int32_t best = kNoServer;
    for (int32_t i = 0; i < static_cast<int32_t>(servers.size()); ++i) {
      if (state_.IsUsable(i, aNowMs) &&
          (best == kNoServer ||
           count[static_cast<size_t>(i)] < count[static_cast<size_t>(best)])) {
        best = i;
      }
    }
    if (best != kNoServer) {
      ++count[static_cast<size_t>(best)];
      slice.target_ = best;
      slice.reason_ = "owner draining";
    }
  }
}

void GroupController::SendHeartbeat(TimeMs aNowMs, Actions& aActions)
{
  PeerHeartbeat heartbeat;
  heartbeat.id_ = ++lastHeartbeatId_;
  heartbeat.from_ = options_.instance_;
  heartbeat.to_ = state_.Table().deputy_;
  heartbeat.term_ = state_.Table().term_;
  heartbeat.storeReachable_ = storeReachable_;
  heartbeat.arm_ = !storeReachable_;
  if (heartbeat.arm_ && !state_.authority_.IsArmed()) {
    PrepareArming(aNowMs);
  }
  const auto& stopRequests = state_.authority_.StopRenewingRequests();
  heartbeat.stopRenewing_.assign(stopRequests.begin(), stopRequests.end());
  state_.authority_.RecordHeartbeat(heartbeat, aNowMs);
  aActions.emplace_back(std::move(heartbeat));
}

void GroupController::PrepareArming(TimeMs aNowMs)
{
  // An armed deputy renews whatever ranges a server holds. These must not
  // include a slice that this assigner has already promoted elsewhere.
  for (int32_t i = 0; i < static_cast<int32_t>(state_.leases_.size()); ++i) {
    const auto& lease = state_.Lease(i);
    if (lease.IsSilent(aNowMs) || !lease.IsFenced() ||
        !lease.HasCurrentGrant()) {
      state_.authority_.RequestStopRenewing(state_.Server(i).id_);
    }
  }
}

bool GroupController::NeedsNewTerm(TimeMs aNowMs) const
{
  const auto& authority = state_.authority_;
  if (!authority.HasDeputy()) {
    return !ChooseDeputy(aNowMs, options_.instance_).empty();
  }
  return authority.IsDeputySilent(aNowMs) || authority.IsArmed() ||
         (authority.IsRefused() &&
          aNowMs - lastWrittenMs_ > detail::kTermIntervalMs);
}

void GroupController::WriteRecord(TimeMs aNowMs, Actions& aActions)
{
  if (stopping_ && state_.authority_.HasDeputy()) {
    WriteHandover(aNowMs, aActions);
    return;
  }
  GroupObject object = state_.stored_;
  object.table_ = planner_.NextTable(aNowMs);
  object.earlierRenewers_ = { state_.earlierRenewers_.begin(),
                              state_.earlierRenewers_.end() };
  const bool needsTerm = NeedsNewTerm(aNowMs);
  if (needsTerm) {
    ++object.table_.term_;
    object.table_.deputy_ = ChooseDeputy(aNowMs, options_.instance_);
    if (state_.authority_.MayDeputyRenew()) {
      detail::AddUnique(object.earlierRenewers_, state_.Table().deputy_);
    }
  }
  const auto& old = state_.Table();
  const bool changed =
    object.table_.term_ != old.term_ || object.table_.slices_ != old.slices_ ||
    object.table_.servers_ != old.servers_ ||
    object.earlierRenewers_ != state_.stored_.earlierRenewers_;
  if (changed && !needsTerm && !IsStoreFresh(aNowMs)) {
    ProbeStore(aNowMs, aActions);
    return;
  }
  planner_.ClearRequests();
  if (!changed) {
    return;
  }
  state_.sliceStates_.Block(old, object.table_);
  lastWriteAttemptMs_ = aNowMs;
  writer_.Begin(aNowMs, state_.version_, std::move(object), aActions);
}

bool GroupController::IsStoreFresh(TimeMs aNowMs) const
{
  return aNowMs - lastStoreResponseMs_ <= detail::kStoreFreshMs;
}

void GroupController::ProbeStore(TimeMs aNowMs, Actions& aActions)
{
  if (aNowMs - lastStoreProbeMs_ >= detail::kStoreProbeIntervalMs) {
    lastStoreProbeMs_ = aNowMs;
    aActions.emplace_back(ReadGroup());
  }
}

void GroupController::WriteHandover(TimeMs aNowMs, Actions& aActions)
{
  GroupObject object = state_.stored_;
  object.earlierRenewers_ = { state_.earlierRenewers_.begin(),
                              state_.earlierRenewers_.end() };
  // An armed deputy could also renew leases, but it is not listed: it becomes
  // the assigner.
  ++object.table_.term_;
  object.table_.assigner_ = state_.Table().deputy_;
  object.table_.deputy_ = ChooseDeputy(aNowMs, object.table_.assigner_);
  lastWriteAttemptMs_ = aNowMs;
  writer_.Begin(aNowMs, state_.version_, std::move(object), aActions);
}

void GroupController::StepDeputy(TimeMs aNowMs, Actions& aActions)
{
  if (deputy_.IsArmed() && !storeReachable_ && !writer_.IsPending()) {
    grantScheduler_.StepAsDeputy(deputy_, aNowMs, aActions);
  }
  if (!storeReachable_ && !writer_.IsPending()) {
    deputy_.ResumeGranting();
  }
  if (storeReachable_ && deputy_.TakeStoreProbe()) {
    aActions.emplace_back(ReadGroup());
  }
  if (!storeReachable_ || writer_.IsPending() || stopping_ ||
      !deputy_.ShouldTakeOver(aNowMs) ||
      state_.Table().term_ != deputy_.GetTerm()) {
    return;
  }
  deputy_.StopGranting();
  const auto endMs = deputy_.AssignerAuthorityEndMs();
  if (endMs != timing::kNever && aNowMs <= endMs) {
    return;
  }
  auto earlierRenewers = state_.stored_.earlierRenewers_;
  if (endMs == timing::kNever) {
    detail::AddUnique(earlierRenewers, state_.Table().assigner_);
  }
  WriteTakeover(aNowMs, endMs, std::move(earlierRenewers), aActions);
}

void GroupController::StepCandidate(TimeMs aNowMs, Actions& aActions)
{
  if (!storeReachable_ || writer_.IsPending() || stopping_ ||
      aNowMs - lastWriteAttemptMs_ < detail::kTermIntervalMs ||
      supersedingTerm_ > state_.Table().term_) {
    return;
  }
  const auto waitMs = timing::kCandidateDelayMs * LiveCandidateRank(aNowMs);
  if (isObjectMissing_ && state_.version_ == 0) {
    // A list that is still growing would give all slices to the servers listed
    // first.
    if (serversChanged_) {
      serversChanged_ = false;
      silenceStartMs_ = aNowMs;
    }
    if (aNowMs - silenceStartMs_ >= timing::kServerListSettleMs + waitMs) {
      WriteNewGroup(aNowMs, aActions);
    }
    return;
  }
  if (state_.version_ == 0) {
    return;
  }
  const auto& table = state_.Table();
  auto earlierRenewers = state_.stored_.earlierRenewers_;
  if (table.assigner_ == options_.instance_) {
    // This instance was restarted. Its earlier process has exited, but the
    // deputy may have been armed.
    detail::AddUnique(earlierRenewers, table.deputy_);
    WriteTakeover(aNowMs, aNowMs, std::move(earlierRenewers), aActions);
    return;
  }
  const auto lastHeardMs = [&](const std::string& aInstance) {
    const auto seen = lastSeenMs_.find(aInstance);
    return std::max(silenceStartMs_,
                    seen == lastSeenMs_.end() ? 0 : seen->second);
  };
  const auto silentMs =
    aNowMs - std::max(lastHeardMs(table.assigner_), lastHeardMs(table.deputy_));
  // Only a candidate that probes the assigner and the deputy can tell that both
  // are unresponsive.
  if (silentMs <= timing::kCandidateTakeoverMs + waitMs ||
      CandidateRank() >= kMonitoringCandidates) {
    return;
  }
  detail::AddUnique(earlierRenewers, table.assigner_);
  detail::AddUnique(earlierRenewers, table.deputy_);
  WriteTakeover(aNowMs, timing::kNever, std::move(earlierRenewers), aActions);
}

void GroupController::WriteTakeover(TimeMs aNowMs,
                                    TimeMs aPredecessorEndMs,
                                    std::vector<std::string> aEarlierRenewers,
                                    Actions& aActions)
{
  GroupObject object = state_.stored_;
  ++object.table_.term_;
  object.table_.assigner_ = options_.instance_;
  object.table_.deputy_ = ChooseDeputy(aNowMs, options_.instance_);
  object.earlierRenewers_ = std::move(aEarlierRenewers);
  pendingPredecessorEndMs_ = aPredecessorEndMs;
  lastWriteAttemptMs_ = aNowMs;
  writer_.Begin(aNowMs, state_.version_, std::move(object), aActions);
}

void GroupController::WriteNewGroup(TimeMs aNowMs, Actions& aActions)
{
  std::vector<BackendServerRecord> live;
  std::ranges::copy_if(servers_,
                       std::back_inserter(live),
                       [](const auto& aServer) { return !aServer.draining_; });
  if (live.empty()) {
    return;
  }
  GroupObject object;
  object.table_ = NewGroupTable(
    options_.service_, options_.group_, std::move(live), options_.slices_);
  object.table_.assigner_ = options_.instance_;
  object.table_.deputy_ = ChooseDeputy(aNowMs, options_.instance_);
  pendingPredecessorEndMs_ = 0;
  lastWriteAttemptMs_ = aNowMs;
  writer_.Begin(aNowMs, kNoVersion, std::move(object), aActions);
}

bool GroupController::IsRecentlySeen(TimeMs aNowMs,
                                     const std::string& aInstance) const
{
  const auto seen = lastSeenMs_.find(aInstance);
  return seen != lastSeenMs_.end() &&
         aNowMs - seen->second <= timing::kCandidateTakeoverMs;
}

std::string GroupController::ChooseDeputy(TimeMs aNowMs,
                                          const std::string& aAssigner) const
{
  const auto item = Concat(options_.service_, ".", options_.group_);
  const auto own =
    std::ranges::find(candidates_, aAssigner, &CandidateRecord::id_);
  const auto domain = own == candidates_.end() ? "" : own->failureDomain_;
  // The instance whose loss causes this term is the last choice.
  const auto& table = state_.Table();
  const bool deputyLost =
    role_ == GroupRole::Assigner && state_.authority_.IsDeputySilent(aNowMs);
  const auto isLost = [&](const std::string& aId) {
    return (deputyLost && aId == table.deputy_) ||
           (role_ != GroupRole::Assigner && aId == table.assigner_);
  };
  std::string best;
  std::tuple<bool, bool, bool, uint64_t> bestRank;
  for (const auto& candidate : candidates_) {
    // An instance that hands over does not become deputy.
    if (candidate.id_ == aAssigner ||
        (stopping_ && candidate.id_ == options_.instance_)) {
      continue;
    }
    const std::tuple<bool, bool, bool, uint64_t> rank = {
      !isLost(candidate.id_),
      IsRecentlySeen(aNowMs, candidate.id_),
      candidate.failureDomain_ != domain,
      RendezvousScore(item, candidate.id_)
    };
    if (best.empty() || rank > bestRank) {
      best = candidate.id_;
      bestRank = rank;
    }
  }
  return best;
}

int GroupController::LiveCandidateRank(TimeMs aNowMs) const
{
  const auto item = Concat(options_.service_, ".", options_.group_);
  const auto own = RendezvousScore(item, options_.instance_);
  const auto& table = state_.Table();
  return static_cast<int>(
    std::ranges::count_if(candidates_, [&](const auto& aCandidate) {
      return aCandidate.id_ != options_.instance_ &&
             aCandidate.id_ != table.assigner_ &&
             aCandidate.id_ != table.deputy_ &&
             RendezvousScore(item, aCandidate.id_) > own &&
             (state_.version_ == 0 || IsRecentlySeen(aNowMs, aCandidate.id_));
    }));
}

}

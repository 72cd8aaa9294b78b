#include "GroupController.hpp"

#include "common/KeyHash.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactuspitch {

GroupController::GroupController(GroupOptions aOptions)
  : options_(std::move(aOptions))
  , writer_(options_.writer_)
  , recovery_(state_)
  , grantScheduler_(state_, recovery_)
  , mover_(state_, grantScheduler_)
  , planner_(state_)
{
}

void GroupController::SetCandidates(std::vector<CandidateRecord> aCandidates)
{
  candidates_ = std::move(aCandidates);
}

void GroupController::SetServers(std::vector<BackendServerRecord> aServers)
{
  serversChanged_ |= aServers != servers_;
  servers_ = aServers;
  planner_.SetPlatformServers(std::move(aServers));
}

void GroupController::SetStoreReachable(TimeMs aNowMs, bool aReachable)
{
  storeReachable_ = aReachable;
  if (aReachable) {
    lastStoreResponseMs_ = aNowMs;
    deputy_.OnStoreResponse();
  }
}

void GroupController::OnObject(TimeMs aNowMs,
                               int64_t aVersion,
                               const GroupObject& aObject,
                               Actions& aActions)
{
  isObjectMissing_ = false;
  if (writer_.IsOwn(aObject)) {
    OnWriteConfirmed(aNowMs, aVersion);
    return;
  }
  writer_.OnOtherVersion(aNowMs, aVersion, aActions);
  if (!writer_.IsPending()) {
    state_.sliceStates_.Unblock();
  }
  if (aVersion > state_.version_) {
    Adopt(aNowMs, aVersion, aObject);
  }
}

void GroupController::OnObjectMissing(TimeMs aNowMs, Actions& aActions)
{
  hasReadStore_ = true;
  isObjectMissing_ = state_.version_ == 0;
  writer_.OnOtherVersion(aNowMs, kNoVersion, aActions);
}

void GroupController::OnWriteResult(TimeMs aNowMs,
                                    int64_t aChange,
                                    WriteResult aResult,
                                    int64_t aVersion,
                                    Actions& aActions)
{
  if (!writer_.IsPending() || writer_.Pending().object_.change_ != aChange) {
    return;
  }
  if (aResult == WriteResult::Written) {
    OnWriteConfirmed(aNowMs, aVersion);
    return;
  }
  writer_.OnResult(aNowMs, aResult, aActions);
  if (!writer_.IsPending()) {
    state_.sliceStates_.Unblock();
  }
}

void GroupController::SetStored(TimeMs aNowMs,
                                int64_t aVersion,
                                const GroupObject& aObject)
{
  auto old = std::exchange(state_.leases_, {});
  for (const auto& server : aObject.table_.servers_) {
    const auto known = std::ranges::find(
      state_.Table().servers_, server.id_, &BackendServerRecord::id_);
    if (known == state_.Table().servers_.end()) {
      state_.leases_.emplace_back().BeginTerm(aNowMs, false);
    } else {
      state_.leases_.push_back(std::move(
        old[static_cast<size_t>(known - state_.Table().servers_.begin())]));
    }
  }
  state_.stored_ = aObject;
  state_.version_ = aVersion;
  hasReadStore_ = true;
}

void GroupController::Adopt(TimeMs aNowMs,
                            int64_t aVersion,
                            const GroupObject& aObject)
{
  const bool sawTermBegin = hasReadStore_;
  const auto term = aObject.table_.term_;
  // The assigner handed the group over to this deputy, which knows all grants
  // that it made in the term.
  const bool handedOver = role_ == GroupRole::Deputy &&
                          aObject.table_.assigner_ == options_.instance_ &&
                          deputy_.GetTerm() + 1 == term &&
                          deputy_.AssignerAuthorityEndMs() != timing::kNever;
  SetStored(aNowMs, aVersion, aObject);
  silenceStartMs_ = aNowMs;
  if (handedOver) {
    BecomeAssigner(aNowMs, aNowMs, deputy_.AssignerAuthorityEndMs());
    return;
  }
  const bool isDeputy = aObject.table_.deputy_ == options_.instance_;
  role_ = isDeputy ? GroupRole::Deputy : GroupRole::None;
  if (isDeputy && deputy_.GetTerm() != term) {
    deputy_.BeginTerm(aNowMs, term, sawTermBegin);
  }
}

void GroupController::OnWriteConfirmed(TimeMs aNowMs, int64_t aVersion)
{
  const auto object = writer_.Pending().object_;
  const auto writeStartedMs = writer_.StartedMs();
  writer_.Finish();
  lastWrittenMs_ = aNowMs;
  state_.sliceStates_.Unblock();
  if (aVersion <= state_.version_) {
    return;
  }
  if (object.table_.assigner_ != options_.instance_) {
    Adopt(aNowMs, aVersion, object);
    return;
  }
  const auto old = state_.stored_;
  const bool isNew = state_.version_ == 0;
  const bool wasAssigner = role_ == GroupRole::Assigner;
  SetStored(aNowMs, aVersion, object);
  if (wasAssigner) {
    ContinueAsAssigner(aNowMs, old);
    if (old.table_.term_ != object.table_.term_) {
      state_.authority_.BeginTerm(
        aNowMs, writeStartedMs, !object.table_.deputy_.empty());
    }
    return;
  }
  BecomeAssigner(aNowMs, writeStartedMs, pendingPredecessorEndMs_);
  if (isNew) {
    state_.sliceStates_.Create(state_.Table());
  }
}

void GroupController::BecomeAssigner(TimeMs aNowMs,
                                     TimeMs aWriteStartedMs,
                                     TimeMs aPredecessorEndMs)
{
  role_ = GroupRole::Assigner;
  state_.sliceStates_.Recover(state_.Table());
  for (auto& lease : state_.leases_) {
    lease.BeginTerm(aNowMs, false);
    lease.RecordSliceRemoval(state_.lastGrantSequence_);
  }
  const auto& earlierRenewers = state_.stored_.earlierRenewers_;
  state_.earlierRenewers_ = { earlierRenewers.begin(), earlierRenewers.end() };
  // The earlier process of this instance has exited, and this process knows the
  // grants that it made itself.
  const bool wasRenewer = state_.earlierRenewers_.erase(options_.instance_) > 0;
  const auto endMs =
    wasRenewer ? std::max(aPredecessorEndMs, aNowMs) : aPredecessorEndMs;
  state_.predecessorEndMs_ =
    state_.earlierRenewers_.empty() ? endMs : timing::kNever;
  state_.termStartMs_ = aNowMs;
  state_.authority_.BeginTerm(
    aNowMs, aWriteStartedMs, !state_.Table().deputy_.empty());
}

void GroupController::ContinueAsAssigner(TimeMs aNowMs, const GroupObject& aOld)
{
  state_.sliceStates_.Confirm(aOld.table_, state_.Table());
  // Slices whose epoch grew are granted again at once, without waiting for the
  // next renewal.
  for (const auto& slice : state_.sliceStates_.Slices()) {
    const auto& old = aOld.table_.FindSlice(slice.record_.begin_);
    if (!slice.promoted_ && slice.record_.epoch_ > old.epoch_ &&
        slice.record_.owner_ != kNoServer) {
      grantScheduler_.MarkChanged(slice.record_.owner_);
    }
  }
  const bool newTerm = aOld.table_.term_ != state_.Table().term_;
  if (!newTerm || !state_.authority_.MayDeputyRenew()) {
    return;
  }
  // The deputy of the old term may renew until it learns of the new term.
  state_.earlierRenewers_.insert(aOld.table_.deputy_);
  state_.predecessorEndMs_ = timing::kNever;
  for (auto& lease : state_.leases_) {
    lease.BeginTerm(aNowMs, true);
  }
}

void GroupController::StepDown(Term aTerm)
{
  supersedingTerm_ = std::max(supersedingTerm_, aTerm);
  role_ = GroupRole::None;
}

void GroupController::OnReply(TimeMs aNowMs, const GrantReply& aReply)
{
  const auto& servers = state_.Table().servers_;
  const auto found =
    std::ranges::find(servers, aReply.server_, &BackendServerRecord::id_);
  if (found == servers.end()) {
    return;
  }
  if (aReply.term_ > state_.Table().term_ && found->checksFence_) {
    StepDown(aReply.term_);
    return;
  }
  state_.Lease(static_cast<int32_t>(found - servers.begin()))
    .OnReply(aReply, state_.Table().term_, aNowMs);
}

void GroupController::OnConnectionRefused(TimeMs aNowMs,
                                          const std::string& aServer,
                                          int64_t aCommandId)
{
  const auto& servers = state_.Table().servers_;
  const auto found =
    std::ranges::find(servers, aServer, &BackendServerRecord::id_);
  if (found != servers.end()) {
    state_.Lease(static_cast<int32_t>(found - servers.begin()))
      .OnConnectionRefused(aCommandId, aNowMs);
  }
}

PeerHeartbeatReply GroupController::OnHeartbeat(TimeMs aNowMs,
                                                const PeerHeartbeat& aHeartbeat)
{
  if (aHeartbeat.to_ != options_.instance_) {
    // The heartbeat was meant for another instance that had this address
    // before.
    PeerHeartbeatReply refusal;
    refusal.id_ = aHeartbeat.id_;
    return refusal;
  }
  OnPeerResponded(aNowMs, aHeartbeat.from_, aHeartbeat.term_);
  const bool isNewer =
    aHeartbeat.term_ > std::max(state_.Table().term_, deputy_.GetTerm());
  if (isNewer) {
    // An assigner sends heartbeats only after the store confirmed its update.
    role_ = GroupRole::Deputy;
    deputy_.BeginTerm(aNowMs, aHeartbeat.term_, hasReadStore_);
  }
  if (role_ != GroupRole::Deputy) {
    PeerHeartbeatReply reply;
    reply.id_ = aHeartbeat.id_;
    reply.term_ = std::max(state_.Table().term_, supersedingTerm_);
    reply.storeReachable_ = storeReachable_;
    return reply;
  }
  return deputy_.OnHeartbeat(aHeartbeat, storeReachable_, aNowMs);
}

void GroupController::OnHeartbeatReply(TimeMs aNowMs,
                                       const PeerHeartbeatReply& aReply)
{
  if (role_ != GroupRole::Assigner) {
    return;
  }
  const auto term = state_.Table().term_;
  OnPeerResponded(aNowMs, state_.Table().deputy_, aReply.term_);
  if (aReply.term_ == term) {
    state_.authority_.OnHeartbeatReply(aReply, aNowMs);
  }
}

void GroupController::OnPeerResponded(TimeMs aNowMs,
                                      const std::string& aInstance,
                                      Term aTerm)
{
  lastSeenMs_[aInstance] = aNowMs;
  const auto term = state_.Table().term_;
  if (aTerm > term && role_ == GroupRole::Assigner) {
    StepDown(aTerm);
  }
  if (aTerm >= term && role_ == GroupRole::Assigner) {
    state_.MarkEarlierRenewerStopped(aInstance, aNowMs);
  }
}

void GroupController::OnPeerExited(TimeMs aNowMs, const std::string& aInstance)
{
  lastSeenMs_.erase(aInstance);
  if (role_ == GroupRole::Assigner) {
    state_.MarkEarlierRenewerStopped(aInstance, aNowMs);
  }
}

void GroupController::OnNewerTerm(Term aTerm)
{
  if (role_ == GroupRole::Assigner && aTerm > state_.Table().term_) {
    StepDown(aTerm);
  }
}

std::vector<std::string> GroupController::PeersToProbe() const
{
  const auto& table = state_.Table();
  std::vector<std::string> peers;
  if (role_ == GroupRole::Assigner) {
    peers.assign(state_.earlierRenewers_.begin(),
                 state_.earlierRenewers_.end());
  } else if (state_.version_ > 0 && role_ == GroupRole::None &&
             CandidateRank() < kMonitoringCandidates) {
    peers = { table.assigner_, table.deputy_ };
  }
  std::erase_if(peers, [this](const std::string& aPeer) {
    return aPeer.empty() || aPeer == options_.instance_;
  });
  return peers;
}

int GroupController::CandidateRank() const
{
  const auto item = Concat(options_.service_, ".", options_.group_);
  const auto own = RendezvousScore(item, options_.instance_);
  return static_cast<int>(
    std::ranges::count_if(candidates_, [&](const auto& aCandidate) {
      return RendezvousScore(item, aCandidate.id_) > own;
    }));
}

TimeMs GroupController::GrantViewLease(TimeMs aNowMs,
                                       const std::string& aRouter)
{
  if (role_ != GroupRole::Assigner || !state_.authority_.IsValid(aNowMs) ||
      IsHandingOver()) {
    return 0;
  }
  state_.viewLeases_.Grant(aRouter, aNowMs);
  return timing::kViewLeaseMs;
}

void GroupController::MoveSlice(KeyHash aHash,
                                const std::string& aTarget,
                                const std::string& aReason)
{
  const auto& servers = state_.Table().servers_;
  const auto found =
    std::ranges::find(servers, aTarget, &BackendServerRecord::id_);
  auto* slice = state_.sliceStates_.Find(aHash);
  if (role_ != GroupRole::Assigner || found == servers.end() ||
      slice == nullptr) {
    return;
  }
  slice->target_ = static_cast<int32_t>(found - servers.begin());
  slice->reason_ = aReason;
}

bool GroupController::IsIdle() const
{
  return role_ != GroupRole::Assigner && !writer_.IsPending();
}

bool GroupController::IsHandingOver() const
{
  return writer_.IsPending() &&
         writer_.Pending().object_.table_.assigner_ != options_.instance_;
}

bool GroupController::IsArmed() const
{
  return role_ == GroupRole::Assigner ? state_.authority_.IsArmed()
                                      : deputy_.IsArmed();
}

void GroupController::Step(TimeMs aNowMs, Actions& aActions)
{
  if (silenceStartMs_ < 0) {
    silenceStartMs_ = aNowMs;
  }
  writer_.Step(aNowMs, aActions);
  state_.viewLeases_.Prune(aNowMs);
  switch (role_) {
    case GroupRole::Assigner:
      StepAssigner(aNowMs, aActions);
      break;
    case GroupRole::Deputy:
      StepDeputy(aNowMs, aActions);
      break;
    default:
      StepCandidate(aNowMs, aActions);
  }
  Publish();
}

GroupTable GroupController::UnconfirmedTable() const
{
  // A router may still hold a view lease for an older table. Under that lease
  // it must not forward to a server that only the stored record names.
  auto table = state_.Table();
  for (auto& slice : table.slices_) {
    const auto* owner = table.Server(slice.owner_);
    if (owner != nullptr && !owner->checksFence_) {
      slice.owner_ = kNoServer;
    }
  }
  return table;
}

void GroupController::Publish()
{
  auto next =
    role_ == GroupRole::Assigner ? state_.Published() : UnconfirmedTable();
  next.sequence_ = table_.sequence_;
  const bool changed =
    next.term_ != table_.term_ || next.servers_ != table_.servers_ ||
    next.slices_ != table_.slices_ || next.assigner_ != table_.assigner_ ||
    next.deputy_ != table_.deputy_;
  if (!changed) {
    return;
  }
  // Tables of instances other than the assigner are hints. Sequence 0 keeps
  // them from hiding the assigner's tables, whose sequences begin at 1.
  next.sequence_ = role_ == GroupRole::Assigner ? table_.sequence_ + 1 : 0;
  table_ = std::move(next);
}

}

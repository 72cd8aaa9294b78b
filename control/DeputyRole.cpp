#include "DeputyRole.hpp"

#include <algorithm>

namespace cactuspitch {

void DeputyRole::BeginTerm(TimeMs aNowMs, Term aTerm, bool aSawTermBegin)
{
  *this = DeputyRole();
  term_ = aTerm;
  lastHeartbeatMs_ = aNowMs;
  // The store update that set the term also gives the assigner its authority.
  lastGrantMs_ = aNowMs;
  sawTermBegin_ = aSawTermBegin;
}

PeerHeartbeatReply DeputyRole::OnHeartbeat(const PeerHeartbeat& aHeartbeat,
                                           bool aStoreReachable,
                                           TimeMs aNowMs)
{
  PeerHeartbeatReply reply;
  reply.id_ = aHeartbeat.id_;
  reply.term_ = term_;
  reply.storeReachable_ = aStoreReachable;
  if (aHeartbeat.term_ != term_) {
    return reply;
  }
  lastHeartbeatMs_ = aNowMs;
  const bool disagreesOnStore =
    !grantingStopped_ && aHeartbeat.arm_ && aStoreReachable;
  if (!disagreesOnStore) {
    probe_ = StoreProbe::None;
  } else if (probe_ == StoreProbe::None) {
    probe_ = StoreProbe::Due;
  }
  // Before it restarted, this deputy may have armed and told the assigner so.
  // By refusing, it makes the assigner begin a new term. While the store is
  // unreachable it grants, because it cannot take over then.
  if (grantingStopped_ || (!sawTermBegin_ && aStoreReachable)) {
    return reply;
  }
  lastGrantMs_ = aNowMs;
  stoppedRenewing_.insert(aHeartbeat.stopRenewing_.begin(),
                          aHeartbeat.stopRenewing_.end());
  armed_ |= aHeartbeat.arm_ && !aStoreReachable && sawTermBegin_;
  reply.granted_ = true;
  reply.armed_ = armed_;
  reply.stoppedRenewing_.assign(stoppedRenewing_.begin(),
                                stoppedRenewing_.end());
  return reply;
}

void DeputyRole::OnStoreResponse()
{
  if (probe_ == StoreProbe::Sent) {
    probe_ = StoreProbe::None;
    takeoverDue_ = true;
    grantingStopped_ = true;
  }
}

bool DeputyRole::TakeStoreProbe()
{
  const bool isDue = probe_ == StoreProbe::Due;
  probe_ = isDue ? StoreProbe::Sent : probe_;
  return isDue;
}

bool DeputyRole::ShouldTakeOver(TimeMs aNowMs) const
{
  return takeoverDue_ ||
         aNowMs - lastHeartbeatMs_ > AddClockDrift(timing::kSilenceTimeoutMs);
}

TimeMs DeputyRole::AssignerAuthorityEndMs() const
{
  return armed_ || !sawTermBegin_
           ? timing::kNever
           : lastGrantMs_ + AddClockDrift(timing::kAuthorityMs);
}

}

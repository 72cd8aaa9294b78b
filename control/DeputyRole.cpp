#include "DeputyRole.hpp"

#include <algorithm>

namespace cactuspitch {

void DeputyRole::BeginTerm(TimeMs aNowMs, Term aTerm, bool aWitnessed)
{
  *this = DeputyRole();
  term_ = aTerm;
  heardMs_ = aNowMs;
  // The update that set the term gives the assigner its right as well.
  promisedMs_ = aNowMs;
  witnessed_ = aWitnessed;
}

PeerAnswer DeputyRole::OnQuestion(const PeerQuestion& aQuestion,
                                  bool aStoreReachable,
                                  TimeMs aNowMs)
{
  PeerAnswer answer;
  answer.id_ = aQuestion.id_;
  answer.term_ = term_;
  answer.storeReachable_ = aStoreReachable;
  if (aQuestion.term_ != term_) {
    return answer;
  }
  heardMs_ = aNowMs;
  const bool doubtsStore = !refuses_ && aQuestion.arm_ && aStoreReachable;
  if (!doubtsStore) {
    probe_ = StoreProbe::None;
  } else if (probe_ == StoreProbe::None) {
    probe_ = StoreProbe::Due;
  }
  // A restarted deputy may have armed the assigner before. It asks for a new
  // term by not granting; without the store it cannot take over anyway.
  if (refuses_ || (!witnessed_ && aStoreReachable)) {
    return answer;
  }
  promisedMs_ = aNowMs;
  stopped_.insert(aQuestion.stopRenewing_.begin(),
                  aQuestion.stopRenewing_.end());
  armed_ |= aQuestion.arm_ && !aStoreReachable && witnessed_;
  answer.granted_ = true;
  answer.armed_ = armed_;
  answer.stoppedRenewing_.assign(stopped_.begin(), stopped_.end());
  return answer;
}

void DeputyRole::OnStoreAnswer()
{
  if (probe_ == StoreProbe::Sent) {
    probe_ = StoreProbe::None;
    takesOver_ = true;
    refuses_ = true;
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
  return takesOver_ || aNowMs - heardMs_ > Stretch(timing::kSilentMs);
}

TimeMs DeputyRole::AssignerEndMs() const
{
  return armed_ || !witnessed_ ? timing::kNever
                               : promisedMs_ + Stretch(timing::kAuthorityMs);
}

}

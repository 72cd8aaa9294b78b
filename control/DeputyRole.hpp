#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <set>

namespace cactuspitch {

/// The deputy's side of the agreement with the assigner.
class DeputyRole
{
public:
  /// aSawTermBegin: this process saw the term begin, so it knows all that it
  /// has promised in it. A restarted process does not.
  void BeginTerm(TimeMs aNowMs, Term aTerm, bool aSawTermBegin);
  PeerHeartbeatReply OnHeartbeat(const PeerHeartbeat& aHeartbeat,
                                 bool aStoreReachable,
                                 TimeMs aNowMs);
  /// The store answered this process.
  void OnStoreResponse();
  /// The assigner asked to arm, but this process knows the store as reachable.
  /// An outage is noticed by one of the two first, so the store is asked; true
  /// once for each such question.
  bool TakeStoreProbe();
  /// The assigner is silent, or asked to arm although the store answers.
  bool ShouldTakeOver(TimeMs aNowMs) const;
  /// From now on questions of this term are refused.
  void StopGranting() { grantingStopped_ = true; }
  /// The takeover was certainly not written.
  void ResumeGranting()
  {
    grantingStopped_ = takeoverDue_ = false;
    probe_ = StoreProbe::None;
  }
  bool IsArmed() const { return armed_; }
  Term GetTerm() const { return term_; }
  /// When the right of the assigner ends; kNever when it may be armed.
  TimeMs AssignerAuthorityEndMs() const;
  bool HasStoppedRenewing(const std::string& aServer) const
  {
    return stoppedRenewing_.contains(aServer);
  }

private:
  enum class StoreProbe : uint8_t
  {
    None,
    Due,
    Sent
  };

  Term term_ = 0;
  TimeMs lastHeartbeatMs_ = 0;
  TimeMs lastGrantMs_ = 0;
  std::set<std::string> stoppedRenewing_;
  bool sawTermBegin_ = false;
  bool armed_ = false;
  bool grantingStopped_ = false;
  bool takeoverDue_ = false;
  StoreProbe probe_ = StoreProbe::None;
};

}

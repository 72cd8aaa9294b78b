#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <set>

namespace cactuspitch {

/// The deputy's side of the heartbeat protocol with the assigner.
class DeputyRole
{
public:
  /// aSawTermBegin: this process saw the term begin, so it remembers every
  /// grant that it made in it. False after a restart.
  void BeginTerm(TimeMs aNowMs, Term aTerm, bool aSawTermBegin);
  PeerHeartbeatReply OnHeartbeat(const PeerHeartbeat& aHeartbeat,
                                 bool aStoreReachable,
                                 TimeMs aNowMs);
  /// Call when this process received a response from the store.
  void OnStoreResponse();
  /// Returns true when the store must be probed, once for each disagreement:
  /// the assigner asked to arm, but this process considers the store reachable.
  /// One of the two notices an outage first, so only a new read of the store
  /// can tell.
  bool TakeStoreProbe();
  /// True when the assigner has sent no heartbeat for too long, or asked to arm
  /// although the store responds.
  bool ShouldTakeOver(TimeMs aNowMs) const;
  /// Refuses all further heartbeats of this term.
  void StopGranting() { grantingStopped_ = true; }
  /// Grants heartbeats again. Call when the takeover has certainly not been
  /// written.
  void ResumeGranting()
  {
    grantingStopped_ = takeoverDue_ = false;
    probe_ = StoreProbe::None;
  }
  bool IsArmed() const { return armed_; }
  Term GetTerm() const { return term_; }
  /// When the assigner's authority expires; kNever when the assigner may be
  /// armed.
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

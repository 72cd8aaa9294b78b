#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <map>
#include <set>

namespace cactuspitch {

/// The assigner's right to renew leases, as given by its deputy.
class AssignerAuthority
{
public:
  /// aFromMs: when the update that set the term was sent; it gives the right
  /// for kAuthorityMs, because no deputy of the term takes over earlier.
  /// Without a deputy nobody takes over after a time, so nothing ends it.
  void BeginTerm(TimeMs aNowMs, TimeMs aFromMs, bool aHasDeputy);
  bool IsValid(TimeMs aNowMs) const;
  bool IsArmed() const { return armed_; }
  bool HasDeputy() const { return hasDeputy_; }
  /// From the first question that asked the deputy to arm, the deputy may
  /// renew leases on its own.
  bool MayDeputyRenew() const { return askedToArm_; }
  bool IsDeputySilent(TimeMs aNowMs) const;
  /// The deputy takes over, or has refused for another reason.
  bool IsRefused() const { return refused_; }

  bool IsQuestionDue(TimeMs aNowMs) const;
  void NoteQuestion(const PeerQuestion& aQuestion, TimeMs aNowMs);
  void OnAnswer(const PeerAnswer& aAnswer, TimeMs aNowMs);

  /// The deputy must stop renewing the server before its lease can lapse.
  void RequestStop(const std::string& aServer) { stops_.insert(aServer); }
  const std::set<std::string>& Stops() const { return stops_; }
  /// When leases that the deputy gave to the server have ended; kNever until
  /// the deputy has acknowledged to stop.
  TimeMs DeputyLeaseEndMs(const std::string& aServer) const;

private:
  TimeMs untilMs_ = 0;
  TimeMs sentMs_ = -timing::kNever;
  TimeMs beganMs_ = 0;
  TimeMs deputyAnsweredMs_ = 0;
  std::map<int64_t, TimeMs> questions_;
  std::set<std::string> stops_;
  std::map<std::string, TimeMs> stoppedMs_;
  bool hasDeputy_ = true;
  bool armed_ = false;
  bool askedToArm_ = false;
  bool refused_ = false;
};

}

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
  /// aWriteStartedMs: when the update that set the term was sent; it gives the
  /// right for kAuthorityMs, because no deputy of the term takes over earlier.
  /// Without a deputy nobody takes over after a time, so nothing ends it.
  void BeginTerm(TimeMs aNowMs, TimeMs aWriteStartedMs, bool aHasDeputy);
  bool IsValid(TimeMs aNowMs) const;
  bool IsArmed() const { return armed_; }
  bool HasDeputy() const { return hasDeputy_; }
  /// From the first question that asked the deputy to arm, the deputy may
  /// renew leases on its own.
  bool MayDeputyRenew() const { return armRequested_; }
  bool IsDeputySilent(TimeMs aNowMs) const;
  /// The deputy takes over, or has refused for another reason.
  bool IsRefused() const { return refused_; }

  bool IsHeartbeatDue(TimeMs aNowMs) const;
  void RecordHeartbeat(const PeerHeartbeat& aHeartbeat, TimeMs aNowMs);
  void OnHeartbeatReply(const PeerHeartbeatReply& aReply, TimeMs aNowMs);

  /// The deputy must stop renewing the server before its lease can lapse.
  void RequestStopRenewing(const std::string& aServer)
  {
    stopRenewing_.insert(aServer);
  }
  const std::set<std::string>& StopRenewingRequests() const
  {
    return stopRenewing_;
  }
  /// When leases that the deputy gave to the server have ended; kNever until
  /// the deputy has acknowledged to stop.
  TimeMs DeputyLeaseEndMs(const std::string& aServer) const;

private:
  TimeMs validUntilMs_ = 0;
  TimeMs lastHeartbeatSentMs_ = -timing::kNever;
  TimeMs termStartMs_ = 0;
  TimeMs lastReplyMs_ = 0;
  std::map<int64_t, TimeMs> outstanding_;
  std::set<std::string> stopRenewing_;
  std::map<std::string, TimeMs> stopAcknowledgedMs_;
  bool hasDeputy_ = true;
  bool armed_ = false;
  bool armRequested_ = false;
  bool refused_ = false;
};

}

#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <map>
#include <set>

namespace cactuspitch {

/// The assigner's authority to renew server leases. The deputy extends it with
/// each heartbeat reply.
class AssignerAuthority
{
public:
  /// Starts a new term. aWriteStartedMs is when the store update that set the
  /// term was sent. The authority lasts kAuthorityMs from then, because no
  /// deputy of the term takes over earlier. Without a deputy nobody takes over
  /// on a timeout, so the authority does not expire.
  void BeginTerm(TimeMs aNowMs, TimeMs aWriteStartedMs, bool aHasDeputy);
  bool IsValid(TimeMs aNowMs) const;
  bool IsArmed() const { return armed_; }
  bool HasDeputy() const { return hasDeputy_; }
  /// True from the first heartbeat that asked the deputy to arm: from then on
  /// the deputy may renew leases on its own.
  bool MayDeputyRenew() const { return armRequested_; }
  bool IsDeputySilent(TimeMs aNowMs) const;
  /// True after the deputy has refused a heartbeat of this term, for example
  /// because it is taking over.
  bool IsRefused() const { return refused_; }

  bool IsHeartbeatDue(TimeMs aNowMs) const;
  void RecordHeartbeat(const PeerHeartbeat& aHeartbeat, TimeMs aNowMs);
  void OnHeartbeatReply(const PeerHeartbeatReply& aReply, TimeMs aNowMs);

  /// Asks the deputy to stop renewing the server's lease, so that the lease can
  /// expire.
  void RequestStopRenewing(const std::string& aServer)
  {
    stopRenewing_.insert(aServer);
  }
  const std::set<std::string>& StopRenewingRequests() const
  {
    return stopRenewing_;
  }
  /// When all leases that the deputy gave to the server have expired: 0 when
  /// the deputy was never asked to arm, kNever until it has acknowledged the
  /// request to stop.
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

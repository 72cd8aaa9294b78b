#pragma once

#include "control/DeputyRole.hpp"
#include "control/GroupState.hpp"
#include "control/Messages.hpp"
#include "control/OwnershipRecovery.hpp"

#include <vector>

namespace cactuspitch {

/// Sends commands that grant and renew slices to the backend servers of a
/// group. Every command lists all ranges of the server, so a lost command needs
/// no repair.
class GrantScheduler
{
public:
  GrantScheduler(GroupState& aState, const OwnershipRecovery& aRecovery)
    : state_(aState)
    , recovery_(aRecovery)
  {
  }

  /// The ranges of the server changed: sends its next command without waiting
  /// for the interval.
  void MarkChanged(int32_t aServer) { changedServers_.push_back(aServer); }
  void Step(TimeMs aNowMs, Actions& aActions);
  /// Sends the deputy's commands, which renew whatever ranges a server holds.
  void StepAsDeputy(const DeputyRole& aRole, TimeMs aNowMs, Actions& aActions);

private:
  bool MayRenew(int32_t aServer, TimeMs aNowMs) const;
  TimeMs IntervalMs(int32_t aServer, bool aRenews) const;
  GrantCommand NewCommand(int32_t aServer);
  std::vector<HeldRange> GrantedRanges(int32_t aServer) const;
  void RequestReport(int32_t aServer, TimeMs aNowMs, Actions& aActions);
  void SendGrant(int32_t aServer, TimeMs aNowMs, Actions& aActions);

  GroupState& state_;
  const OwnershipRecovery& recovery_;
  std::vector<int32_t> changedServers_;
  int64_t lastCommandId_ = 0;
};

}

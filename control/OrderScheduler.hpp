#pragma once

#include "control/DeputyRole.hpp"
#include "control/GroupState.hpp"
#include "control/Messages.hpp"
#include "control/Recovery.hpp"

#include <vector>

namespace cactuspitch {

/// Sends grant and renewal orders to the backend servers of a group. Every
/// order names the complete set of the server, so a lost one needs no repair.
class OrderScheduler
{
public:
  OrderScheduler(GroupState& aState, const Recovery& aRecovery)
    : state_(aState)
    , recovery_(aRecovery)
  {
  }

  /// The set of the server changed: send without waiting for the interval.
  void MarkChanged(int32_t aServer) { changed_.push_back(aServer); }
  void Step(TimeMs aNowMs, Actions& aActions);
  /// Orders of the deputy that renew whatever the server holds.
  void StepAsDeputy(const DeputyRole& aRole, TimeMs aNowMs, Actions& aActions);

private:
  bool MayExtend(int32_t aServer, TimeMs aNowMs) const;
  TimeMs IntervalMs(int32_t aServer, bool aExtends) const;
  ServerOrder Address(int32_t aServer);
  std::vector<HeldRange> SetOf(int32_t aServer) const;
  void SendReport(int32_t aServer, TimeMs aNowMs, Actions& aActions);
  void SendSet(int32_t aServer, TimeMs aNowMs, Actions& aActions);

  GroupState& state_;
  const Recovery& recovery_;
  std::vector<int32_t> changed_;
  int64_t orderId_ = 0;
};

}

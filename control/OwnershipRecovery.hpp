#pragma once

#include "control/GroupState.hpp"

namespace cactuspitch {

/// Finds out after a change of assigner which server holds each slice: the
/// recorded owner at the recorded epoch, or the recorded standby at the next
/// epoch.
class OwnershipRecovery
{
public:
  explicit OwnershipRecovery(GroupState& aState)
    : state_(aState)
  {
  }

  void Step(TimeMs aNowMs);
  /// The server may hold slices that are not resolved yet. Its report is then
  /// needed before it gets a command that replaces its ranges.
  bool NeedsReport(int32_t aServer) const;

private:
  void Resolve(SliceState& aSlice, TimeMs aNowMs);
  bool IsStandbyConfirmed(const SliceState& aSlice) const;
  bool IsOwnerConfirmed(const SliceState& aSlice) const;
  /// The server does not act on the slice, and no earlier renewer can grant it.
  bool CannotHold(const SliceState& aSlice,
                  int32_t aServer,
                  Epoch aEpoch,
                  TimeMs aNowMs) const;

  GroupState& state_;
};

}

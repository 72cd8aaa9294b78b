#pragma once

#include "control/GroupState.hpp"

namespace cactuspitch {

/// Finds out after a change of assigner who holds each slice: the recorded
/// owner at the recorded epoch, or the recorded standby at the next one.
class OwnershipRecovery
{
public:
  explicit OwnershipRecovery(GroupState& aState)
    : state_(aState)
  {
  }

  void Step(TimeMs aNowMs);
  /// The server may hold slices that are not resolved yet, so its report is
  /// needed before it gets an order that replaces its set.
  bool NeedsReport(int32_t aServer) const;

private:
  void Resolve(SliceState& aSlice, TimeMs aNowMs);
  bool IsStandbyConfirmed(const SliceState& aSlice) const;
  bool IsOwnerConfirmed(const SliceState& aSlice) const;
  /// The server does not act on the slice and cannot be made to.
  bool CannotHold(const SliceState& aSlice,
                  int32_t aServer,
                  Epoch aEpoch,
                  TimeMs aNowMs) const;

  GroupState& state_;
};

}

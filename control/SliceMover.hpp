#pragma once

#include "control/GrantScheduler.hpp"
#include "control/GroupState.hpp"
#include "control/Messages.hpp"

namespace cactuspitch {

/// Promotes recorded standbys to owners: after the loss of a holder and for
/// planned moves. Every change of owner goes through Promote().
class SliceMover
{
public:
  SliceMover(GroupState& aState, GrantScheduler& aGrantScheduler)
    : state_(aState)
    , grantScheduler_(aGrantScheduler)
  {
  }

  void Step(TimeMs aNowMs, Actions& aActions);

private:
  void StepSlice(SliceState& aSlice, TimeMs aNowMs, Actions& aActions);
  bool IsPromotable(const SliceState& aSlice, TimeMs aNowMs) const;
  void BeginRelease(SliceState& aSlice);
  void CancelRelease(SliceState& aSlice);
  void Promote(SliceState& aSlice, TimeMs aNowMs, Actions& aActions);

  GroupState& state_;
  GrantScheduler& grantScheduler_;
};

}

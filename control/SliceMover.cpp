#include "SliceMover.hpp"

namespace cactuspitch {

void SliceMover::Step(TimeMs aNowMs, Actions& aActions)
{
  if (!state_.authority_.IsValid(aNowMs)) {
    return;
  }
  for (auto& slice : state_.sliceStates_.Slices()) {
    if (slice.resolved_ && !slice.ambiguous_) {
      StepSlice(slice, aNowMs, aActions);
    }
  }
}

void SliceMover::StepSlice(SliceState& aSlice, TimeMs aNowMs, Actions& aActions)
{
  const auto holder = aSlice.Holder();
  const bool lost = state_.IsHolderLost(aSlice, aNowMs);
  if (holder == aSlice.target_ || !state_.IsUsable(aSlice.target_, aNowMs)) {
    aSlice.target_ = kNoServer;
  }
  const bool planned =
    aSlice.target_ != kNoServer && aSlice.record_.standby_ == aSlice.target_;
  if (lost && holder != kNoServer && state_.authority_.MayDeputyRenew()) {
    state_.authority_.RequestStopRenewing(state_.Server(holder).id_);
  }
  if ((!lost && !planned) || !IsPromotable(aSlice, aNowMs)) {
    CancelRelease(aSlice);
    return;
  }
  if (lost) {
    aSlice.reason_ = "owner lost";
  }
  BeginRelease(aSlice);
  if (state_.IsReleased(aSlice, aNowMs)) {
    Promote(aSlice, aNowMs, aActions);
  }
}

bool SliceMover::IsPromotable(const SliceState& aSlice, TimeMs aNowMs) const
{
  return !aSlice.promoted_ && !aSlice.blocked_ &&
         state_.IsUsable(aSlice.record_.standby_, aNowMs);
}

void SliceMover::BeginRelease(SliceState& aSlice)
{
  if (aSlice.releasing_) {
    return;
  }
  aSlice.releasing_ = true;
  aSlice.revokeSequence_ = 0;
  // View leases granted from now on are for tables that do not name this owner.
  aSlice.viewLeasesExpiredMs_ = state_.viewLeases_.AllExpiredMs();
  grantScheduler_.MarkChanged(aSlice.Holder());
}

void SliceMover::CancelRelease(SliceState& aSlice)
{
  if (!aSlice.releasing_) {
    return;
  }
  aSlice.releasing_ = false;
  aSlice.revokeSequence_ = 0;
  aSlice.grantSequence_ = 0;
  grantScheduler_.MarkChanged(aSlice.Holder());
}

void SliceMover::Promote(SliceState& aSlice, TimeMs aNowMs, Actions& aActions)
{
  const auto from = aSlice.Holder();
  if (from != kNoServer) {
    state_.Lease(from).RecordSliceRemoval(state_.lastGrantSequence_);
  }
  aSlice.promoted_ = true;
  aSlice.releasing_ = false;
  aSlice.revokeSequence_ = 0;
  aSlice.grantSequence_ = 0;
  const auto to = aSlice.Holder();
  aSlice.incarnation_ = state_.Lease(to).Incarnation();
  grantScheduler_.MarkChanged(to);
  aActions.emplace_back(
    MoveRecord{ aNowMs,
                aSlice.record_.begin_,
                aSlice.HolderEpoch(),
                from == kNoServer ? "" : state_.Server(from).id_,
                state_.Server(to).id_,
                aSlice.reason_.empty() ? "planned" : aSlice.reason_ });
  aSlice.reason_.clear();
  if (to == aSlice.target_) {
    aSlice.target_ = kNoServer;
  }
}

}

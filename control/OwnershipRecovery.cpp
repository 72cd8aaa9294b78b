#include "OwnershipRecovery.hpp"

#include <algorithm>

namespace cactuspitch {

void OwnershipRecovery::Step(TimeMs aNowMs)
{
  for (auto& slice : state_.sliceStates_.Slices()) {
    if (!slice.resolved_) {
      Resolve(slice, aNowMs);
    }
  }
}

bool OwnershipRecovery::NeedsReport(int32_t aServer) const
{
  return std::ranges::any_of(
    state_.sliceStates_.Slices(), [=](const SliceState& aSlice) {
      return !aSlice.resolved_ && (aSlice.record_.owner_ == aServer ||
                                   aSlice.record_.standby_ == aServer);
    });
}

void OwnershipRecovery::Resolve(SliceState& aSlice, TimeMs aNowMs)
{
  const auto& record = aSlice.record_;
  if (IsStandbyConfirmed(aSlice)) {
    aSlice.promoted_ = aSlice.resolved_ = true;
    aSlice.incarnation_ = state_.Lease(record.standby_).Incarnation();
    return;
  }
  if (IsOwnerConfirmed(aSlice)) {
    aSlice.resolved_ = true;
    aSlice.incarnation_ = state_.Lease(record.owner_).Incarnation();
    return;
  }
  // Routers follow the record for an owner that does not check the fence, so it
  // stays the owner. IsReleased() covers a later move away from it.
  const bool ownerIsRouted =
    record.owner_ != kNoServer && !state_.Server(record.owner_).checksFence_;
  if (CannotHold(aSlice, record.standby_, record.epoch_ + 1, aNowMs) &&
      (ownerIsRouted ||
       CannotHold(aSlice, record.owner_, record.epoch_, aNowMs))) {
    aSlice.resolved_ = aSlice.ambiguous_ = true;
  }
}

bool OwnershipRecovery::IsStandbyConfirmed(const SliceState& aSlice) const
{
  const auto standby = aSlice.record_.standby_;
  if (standby == kNoServer || !state_.Server(standby).checksFence_) {
    return false;
  }
  const auto& lease = state_.Lease(standby);
  return lease.IsFenced() && lease.ReportOverlaps(aSlice.record_.begin_,
                                                  aSlice.end_,
                                                  aSlice.record_.epoch_ + 1);
}

bool OwnershipRecovery::IsOwnerConfirmed(const SliceState& aSlice) const
{
  const auto& record = aSlice.record_;
  if (record.owner_ == kNoServer ||
      !state_.Server(record.owner_).checksFence_) {
    return false;
  }
  // While the owner holds a valid lease, the standby has not been granted the
  // next epoch. From NoEarlierGrantsSinceMs() on it cannot be.
  const auto& lease = state_.Lease(record.owner_);
  return lease.IsFenced() && lease.ReportsValidLease() &&
         lease.ReportRequestedMs() >=
           state_.NoEarlierGrantsSinceMs(record.standby_) &&
         lease.ReportCovers(record.begin_, aSlice.end_, record.epoch_);
}

bool OwnershipRecovery::CannotHold(const SliceState& aSlice,
                                   int32_t aServer,
                                   Epoch aEpoch,
                                   TimeMs aNowMs) const
{
  if (aServer == kNoServer) {
    return true;
  }
  if (!state_.Server(aServer).checksFence_) {
    return aNowMs >
           state_.predecessorEndMs_ + AddClockDrift(timing::kViewLeaseMs);
  }
  const auto& lease = state_.Lease(aServer);
  const bool holds =
    lease.ReportsValidLease() &&
    lease.ReportOverlaps(aSlice.record_.begin_, aSlice.end_, 0);
  const bool answered =
    lease.IsFenced() && !(holds && aEpoch == aSlice.record_.epoch_);
  return answered || state_.HasLeaseExpired(aServer, aNowMs);
}

}

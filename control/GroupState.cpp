#include "GroupState.hpp"

#include <algorithm>

namespace cactuspitch {

bool GroupState::IsUsable(int32_t aIndex, TimeMs aNowMs) const
{
  if (aIndex == kNoServer) {
    return false;
  }
  const auto& lease = Lease(aIndex);
  return lease.IsFenced() && !lease.IsSilent(aNowMs) && !lease.IsDraining() &&
         !Server(aIndex).draining_;
}

bool GroupState::HasLeaseExpired(int32_t aIndex, TimeMs aNowMs) const
{
  if (aIndex == kNoServer) {
    return true;
  }
  const auto& lease = Lease(aIndex);
  if (lease.IsGone()) {
    return true;
  }
  const bool fenced = lease.IsFenced() && Server(aIndex).checksFence_;
  const TimeMs renewersEndMs =
    fenced ? std::min(lease.FencedSinceMs(), predecessorEndMs_)
           : predecessorEndMs_;
  return lease.HasOwnLeaseExpired(aNowMs) &&
         aNowMs > renewersEndMs + AddClockDrift(timing::kLeaseMs) &&
         aNowMs > authority_.DeputyLeaseEndMs(Server(aIndex).id_);
}

TimeMs GroupState::NoEarlierGrantsSinceMs(int32_t aIndex) const
{
  if (aIndex == kNoServer) {
    return 0;
  }
  const auto& lease = Lease(aIndex);
  TimeMs since = predecessorEndMs_;
  if (Server(aIndex).checksFence_ && lease.IsFenced()) {
    since = std::min(since, lease.FencedSinceMs());
  }
  // Commands of earlier terms name the incarnation that has exited.
  return lease.IsGone() && Server(aIndex).checksFence_
           ? std::min(since, lease.GoneSinceMs())
           : since;
}

TimeMs GroupState::ViewLeasesExpiredMs() const
{
  return std::max(viewLeases_.AllExpiredMs(),
                  predecessorEndMs_ + AddClockDrift(timing::kViewLeaseMs));
}

bool GroupState::IsReleased(const SliceState& aSlice, TimeMs aNowMs) const
{
  const auto holder = aSlice.Holder();
  if (holder == kNoServer) {
    return true;
  }
  // After a restart, a server that does not check the fence would run requests
  // of routers that still hold a view lease. The exit of its process therefore
  // proves nothing.
  if (!Server(holder).checksFence_) {
    return aSlice.releasing_ && aNowMs > aSlice.viewLeasesExpiredMs_ &&
           aNowMs > predecessorEndMs_ + AddClockDrift(timing::kViewLeaseMs);
  }
  const auto& lease = Lease(holder);
  const bool revoked = aSlice.revokeSequence_ > 0 &&
                       lease.AcceptedSequence() >= aSlice.revokeSequence_;
  const bool restarted =
    !aSlice.incarnation_.empty() && aSlice.incarnation_ != lease.Incarnation();
  return revoked || restarted || HasLeaseExpired(holder, aNowMs);
}

bool GroupState::IsHolderLost(const SliceState& aSlice, TimeMs aNowMs) const
{
  const auto holder = aSlice.Holder();
  if (holder == kNoServer) {
    return true;
  }
  const auto& lease = Lease(holder);
  return lease.IsSilent(aNowMs) || (!aSlice.incarnation_.empty() &&
                                    aSlice.incarnation_ != lease.Incarnation());
}

void GroupState::MarkEarlierRenewerStopped(const std::string& aInstance,
                                           TimeMs aNowMs)
{
  if (earlierRenewers_.erase(aInstance) > 0 && earlierRenewers_.empty()) {
    predecessorEndMs_ = aNowMs + AddClockDrift(timing::kAuthorityMs);
  }
}

GroupTable GroupState::Published() const
{
  GroupTable table = Table();
  for (size_t i = 0; i < table.servers_.size(); ++i) {
    table.servers_[i].incarnation_ = leases_[i].Incarnation();
    table.servers_[i].draining_ |= leases_[i].IsDraining();
  }
  std::ranges::transform(
    sliceStates_.Slices(),
    table.slices_.begin(),
    [&](const SliceState& aSlice) {
      SliceRecord record = aSlice.record_;
      const auto holder = aSlice.Holder();
      const bool checks = holder != kNoServer && Server(holder).checksFence_;
      const bool granted =
        aSlice.promoted_ &&
        Lease(holder).AcceptedSequence() >= aSlice.grantSequence_;
      if (granted) {
        record.owner_ = record.standby_;
        record.standby_ = kNoServer;
        ++record.epoch_;
      }
      const bool ownerChecks =
        record.owner_ != kNoServer && Server(record.owner_).checksFence_;
      // Routers enforce the ownership of a server that does not check the
      // fence, so the table names it only while it certainly holds the slice.
      const bool certain =
        checks ? !aSlice.promoted_ || granted || ownerChecks
               : aSlice.IsHeld() && (!aSlice.promoted_ || granted);
      if (!certain || (!ownerChecks && !aSlice.IsHeld())) {
        record.owner_ = kNoServer;
      }
      return record;
    });
  return table;
}

}

#pragma once

#include "control/AssignerAuthority.hpp"
#include "control/GroupObject.hpp"
#include "control/ServerLease.hpp"
#include "control/SliceStates.hpp"
#include "control/ViewLeases.hpp"

#include <set>
#include <string>
#include <vector>

namespace cactuspitch {

/// What the assigner of a group knows. The parts of the assigner's role work
/// on it; it contains the conditions that more than one of them needs.
struct GroupState
{
  GroupObject stored_; ///< as confirmed by the store
  int64_t version_ = 0;
  SliceStates sliceStates_;
  std::vector<ServerLease> leases_; ///< parallel to the servers of stored_
  AssignerAuthority authority_;
  ViewLeases viewLeases_;
  /// When the right of the renewers of earlier terms ended, kNever while
  /// earlierRenewers_ names some that may still renew.
  TimeMs predecessorEndMs_ = 0;
  std::set<std::string> earlierRenewers_;
  TimeMs termStartMs_ = 0;
  int64_t lastGrantSequence_ = 0;

  const GroupTable& Table() const { return stored_.table_; }
  const BackendServerRecord& Server(int32_t aIndex) const
  {
    return stored_.table_.servers_[static_cast<size_t>(aIndex)];
  }
  ServerLease& Lease(int32_t aIndex)
  {
    return leases_[static_cast<size_t>(aIndex)];
  }
  const ServerLease& Lease(int32_t aIndex) const
  {
    return leases_[static_cast<size_t>(aIndex)];
  }

  /// The server answers and may be granted slices.
  bool IsUsable(int32_t aIndex, TimeMs aNowMs) const;
  /// No lease of the server, from whomever, can still be valid.
  bool HasLeaseExpired(int32_t aIndex, TimeMs aNowMs) const;
  /// Earliest time from which no earlier renewer can make the server an owner.
  TimeMs NoEarlierGrantsSinceMs(int32_t aIndex) const;
  /// The holder of the slice provably does not act on it any more.
  bool IsReleased(const SliceState& aSlice, TimeMs aNowMs) const;
  /// The process that was granted the slice is gone or silent.
  bool IsHolderLost(const SliceState& aSlice, TimeMs aNowMs) const;
  /// View leases that routers hold have all ended when this time is over.
  TimeMs ViewLeasesExpiredMs() const;
  /// An earlier renewer is known to have stopped at this time.
  void MarkEarlierRenewerStopped(const std::string& aInstance, TimeMs aNowMs);
  /// Table as routers see it; term and sequence as given by the caller.
  GroupTable Published() const;
};

}

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

/// State that the assigner keeps about its group. The classes that implement
/// the assigner share it; it provides the conditions that several of them need.
struct GroupState
{
  GroupObject stored_; ///< as last confirmed by the store
  int64_t version_ = 0;
  SliceStates sliceStates_;
  std::vector<ServerLease> leases_; ///< parallel to the servers of stored_
  AssignerAuthority authority_;
  ViewLeases viewLeases_;
  /// When the authority of all renewers of earlier terms expired; kNever while
  /// earlierRenewers_ names any that may still renew.
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

  /// The server responds and may be granted slices.
  bool IsUsable(int32_t aIndex, TimeMs aNowMs) const;
  /// No lease of the server can still be valid, whichever instance granted it.
  bool HasLeaseExpired(int32_t aIndex, TimeMs aNowMs) const;
  /// Earliest time from which no earlier renewer can grant the server a lease.
  TimeMs NoEarlierGrantsSinceMs(int32_t aIndex) const;
  /// The holder of the slice provably no longer acts on it.
  bool IsReleased(const SliceState& aSlice, TimeMs aNowMs) const;
  /// The process that was granted the slice has exited or is unresponsive.
  bool IsHolderLost(const SliceState& aSlice, TimeMs aNowMs) const;
  /// When the view leases of all routers, including those granted by earlier
  /// assigners, have expired.
  TimeMs ViewLeasesExpiredMs() const;
  /// Call when an earlier renewer is known to have stopped renewing.
  void MarkEarlierRenewerStopped(const std::string& aInstance, TimeMs aNowMs);
  /// Table as published to routers. The caller sets term and sequence.
  GroupTable Published() const;
};

}

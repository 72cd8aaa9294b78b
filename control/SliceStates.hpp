#pragma once

#include "common/GroupTable.hpp"
#include "control/Timing.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Ownership of one slice as the assigner knows it. The record is what the
/// store holds. Only the recorded owner can hold the slice, at the recorded
/// epoch, or the recorded standby at the next epoch.
struct SliceState
{
  SliceRecord record_;
  KeyHash end_ = 0;
  /// The standby was granted the next epoch.
  bool promoted_ = false;
  /// It is known which of the two holds the slice. False after a change of
  /// assigner.
  bool resolved_ = false;
  /// No server holds the slice, but the standby may have held it. The record
  /// must then reach epoch + 2 before the slice is granted again.
  bool ambiguous_ = false;
  /// A pending write changes the record, so the slice is not promoted until the
  /// result of the write is known.
  bool blocked_ = false;
  /// The owner is being told to release the slice, or is no longer named in the
  /// published table.
  bool releasing_ = false;
  /// Sequence of the command that revokes the slice, 0 when none was sent.
  int64_t revokeSequence_ = 0;
  /// Sequence of the command that first grants the slice to the holder, 0 when
  /// none was sent.
  int64_t grantSequence_ = 0;
  /// When the view leases of tables that name the owner have expired.
  TimeMs viewLeasesExpiredMs_ = timing::kNever;
  /// Incarnation of the holder that was granted the slice.
  std::string incarnation_;
  /// Intended owner of a planned move.
  int32_t target_ = kNoServer;
  std::string reason_;

  int32_t Holder() const
  {
    return promoted_ ? record_.standby_ : record_.owner_;
  }
  Epoch HolderEpoch() const
  {
    return promoted_ ? record_.epoch_ + 1 : record_.epoch_;
  }
  /// The holder may be granted the slice or have it renewed.
  bool IsHeld() const { return resolved_ && !ambiguous_ && !releasing_; }
};

/// The state of all slices of a group.
class SliceStates
{
public:
  /// Initializes the states from the record of another assigner; no slice is
  /// resolved.
  void Recover(const GroupTable& aTable);
  /// Initializes the states of a new group, whose slices no server holds yet.
  void Create(const GroupTable& aTable);
  /// Applies a record of this assigner that the store confirmed. Server indices
  /// of targets are translated from aOld.
  void Confirm(const GroupTable& aOld, const GroupTable& aNew);
  /// Marks the slices that a pending write changes.
  void Block(const GroupTable& aOld, const GroupTable& aNext);
  void Unblock();

  std::vector<SliceState>& Slices() { return slices_; }
  const std::vector<SliceState>& Slices() const { return slices_; }
  /// Slice that contains the hash; null when there are no slices.
  SliceState* Find(KeyHash aHash);

private:
  std::vector<SliceState> slices_;
};

}

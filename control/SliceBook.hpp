#pragma once

#include "common/GroupTable.hpp"
#include "control/Timing.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Ownership of one slice as its assigner knows it. The record is what the
/// store holds; the slice is held by the recorded owner at the recorded epoch
/// or by the recorded standby at the next one, and by nobody else.
struct SliceState
{
  SliceRecord record_;
  KeyHash end_ = 0;
  /// The standby was granted the next epoch.
  bool promoted_ = false;
  /// It is known who of the two holds it. False after a change of assigner.
  bool resolved_ = false;
  /// Nobody holds it and the standby may have held it, so the record must get
  /// epoch + 2 before it is granted again.
  bool ambiguous_ = false;
  /// A pending write changes the record; no promotion until it is resolved.
  bool blocked_ = false;
  /// The owner was told to give it up, or its table entry was withdrawn.
  bool releasing_ = false;
  /// Order that revokes it, 0 when none was sent.
  int64_t revokeSequence_ = 0;
  /// Order that first grants it to the holder.
  int64_t grantSequence_ = 0;
  /// When view leases of tables that name the owner have ended.
  TimeMs viewsEndMs_ = timing::kNever;
  /// Incarnation of the holder that was granted the slice.
  std::string incarnation_;
  /// Wanted owner of a planned move.
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
  /// The holder may be granted or renewed the slice.
  bool IsHeld() const { return resolved_ && !ambiguous_ && !releasing_; }
};

/// All slices of a group.
class SliceBook
{
public:
  /// Takes over the record of another assigner: nothing is resolved.
  void Recover(const GroupTable& aTable);
  /// A new group: no server holds anything yet.
  void Create(const GroupTable& aTable);
  /// Applies a confirmed record of this assigner. Server indices of targets
  /// are translated from aOld.
  void Confirm(const GroupTable& aOld, const GroupTable& aNew);
  /// Marks the slices that a pending write changes.
  void Block(const GroupTable& aOld, const GroupTable& aNext);
  void Unblock();

  std::vector<SliceState>& Slices() { return slices_; }
  const std::vector<SliceState>& Slices() const { return slices_; }
  /// Slice that holds the hash; null when there are none.
  SliceState* Find(KeyHash aHash);

private:
  std::vector<SliceState> slices_;
};

}

#pragma once

#include "control/GroupState.hpp"

#include <set>
#include <string>
#include <vector>

namespace cactuspitch {

/// Plans the next stored record of the group: confirmed promotions, standbys,
/// splits, merges and the list of backend servers.
class RecordPlanner
{
public:
  explicit RecordPlanner(GroupState& aState)
    : state_(aState)
  {
  }

  void RequestSplit(KeyHash aHash) { splits_.insert(aHash); }
  void RequestMerge(KeyHash aBegin) { merges_.insert(aBegin); }
  /// Sets the servers of the platform's list. The list lags behind and is only
  /// a hint, so a server that is missing in it stays until it owns nothing.
  void SetPlatformServers(std::vector<BackendServerRecord> aServers);
  /// The stored record with all pending changes applied.
  GroupTable NextTable(TimeMs aNowMs) const;
  /// Clears the requested splits and merges. Call once they are part of a
  /// record that is being written, or are not possible.
  void ClearRequests()
  {
    splits_.clear();
    merges_.clear();
  }

private:
  void UpdateServers(GroupTable& aTable) const;
  void UpdateSlices(GroupTable& aTable, TimeMs aNowMs) const;
  void UpdateSlice(const SliceState& aSlice,
                   SliceRecord& aRecord,
                   TimeMs aNowMs) const;
  bool NeedsReplacement(int32_t aServer, TimeMs aNowMs) const;
  int32_t ChooseStandby(const SliceState& aSlice,
                        int32_t aOwner,
                        TimeMs aNowMs) const;
  void ApplySplits(GroupTable& aTable) const;
  void ApplyMerges(GroupTable& aTable) const;
  void RemoveUnusedServers(GroupTable& aTable) const;
  bool HasNoPendingMove(KeyHash aBegin) const;

  GroupState& state_;
  std::vector<BackendServerRecord> platformServers_;
  std::set<KeyHash> splits_;
  std::set<KeyHash> merges_;
  mutable std::vector<int> standbyCount_;
};

/// Record of a new group: equal slices, spread over the servers.
GroupTable NewGroupTable(const std::string& aService,
                         int32_t aGroup,
                         std::vector<BackendServerRecord> aServers,
                         size_t aSlices);

}

#pragma once

#include "common/GroupTable.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Change of a slice's owner between two versions of a table.
struct OwnerMove
{
  int64_t timeMs_ = 0; ///< Unix time at which this process saw the table
  std::string service_;
  int32_t group_ = 0;
  KeyHash begin_ = 0;
  KeyHash end_ = 0;
  std::string from_; ///< id of the old owner; empty: none
  std::string to_;   ///< id of the new owner; empty: none
  Epoch epoch_ = 0;
  /// Time without an owner that ended with this move, 0 for none.
  int64_t gapMs_ = 0;

  /// Share of the hash space that the slice covers, up to 1.
  double HashShare() const;
};

/// Moves of the last hour, found by comparing successive tables that this
/// process receives. Moves before the start of the process are unknown.
/// Thread-safe.
class MoveLog
{
public:
  /// Records the moves since the last table of the group. A table that isn't
  /// newer is ignored. aNowMs is Unix time.
  void Observe(const GroupTable& aTable, int64_t aNowMs);

  /// Moves since aSinceMs (Unix time), newest first. An empty aService means
  /// all services.
  std::vector<OwnerMove> Moves(const std::string& aService,
                               int64_t aSinceMs) const;
  /// Unix time in ms at which the current owner got the slice of aHash; nothing
  /// when that was before the first table that this process received.
  std::optional<int64_t> OwnedSinceMs(const std::string& aService,
                                      int32_t aGroup,
                                      KeyHash aHash) const;
  /// Longest time that a slice had no owner, out of the gaps that ended after
  /// aSinceMs and those that have not ended yet.
  int64_t LongestGapMs(const std::string& aService,
                       int64_t aSinceMs,
                       int64_t aNowMs) const;

private:
  struct ObservedGroup
  {
    GroupTable table_;
    /// One entry for each slice of table_; nothing when the time is unknown.
    std::vector<std::optional<int64_t>> ownedSinceMs_;
  };
  using GroupKey = std::pair<std::string, int32_t>;

  static constexpr int64_t kRetentionMs = 3600000;
  static constexpr size_t kMaxMoves = 20000;

  /// Records the move, if any, that led to slice aIndex of aNew. Returns the
  /// time since which the slice has its owner; nothing when unknown.
  std::optional<int64_t> ObserveSlice(const ObservedGroup& aOld,
                                      const GroupTable& aNew,
                                      size_t aIndex,
                                      int64_t aNowMs);

  mutable std::mutex mutex_;
  std::map<GroupKey, ObservedGroup> groups_;
  std::deque<OwnerMove> moves_;
};

}

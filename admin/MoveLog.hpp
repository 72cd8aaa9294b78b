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

/// Change of a slice's owner, as seen in the table.
struct OwnerMove
{
  int64_t timeMs_ = 0; ///< Unix time at which this process saw it
  std::string service_;
  int32_t group_ = 0;
  KeyHash begin_ = 0;
  KeyHash end_ = 0;
  std::string from_; ///< empty: no owner
  std::string to_;
  Epoch epoch_ = 0;
  /// Time without an owner that ended with this move, 0 for none.
  int64_t gapMs_ = 0;

  /// Share of the service's hash space.
  double HashShare() const;
};

/// Moves of the last hour, from the tables that this process follows. It
/// knows nothing of the time before it started.
class MoveLog
{
public:
  void Observe(const GroupTable& aTable, int64_t aNowMs);

  /// Newest first. An empty service stands for all.
  std::vector<OwnerMove> Moves(const std::string& aService,
                               int64_t aSinceMs) const;
  /// When the owner of the hash got it; nothing when that was before this
  /// process followed the table.
  std::optional<int64_t> OwnedSinceMs(const std::string& aService,
                                      int32_t aGroup,
                                      KeyHash aHash) const;
  /// Longest time without an owner since aSinceMs, gaps that last included.
  int64_t LongestGapMs(const std::string& aService,
                       int64_t aSinceMs,
                       int64_t aNowMs) const;

private:
  struct ObservedGroup
  {
    GroupTable table_;
    /// Parallel to the slices; nothing when unknown.
    std::vector<std::optional<int64_t>> ownedSinceMs_;
  };
  using GroupKey = std::pair<std::string, int32_t>;

  static constexpr int64_t kRetentionMs = 3600000;
  static constexpr size_t kMaxMoves = 20000;

  std::optional<int64_t> ObserveSlice(const ObservedGroup& aOld,
                                      const GroupTable& aNew,
                                      size_t aIndex,
                                      int64_t aNowMs);

  mutable std::mutex mutex_;
  std::map<GroupKey, ObservedGroup> groups_;
  std::deque<OwnerMove> moves_;
};

}

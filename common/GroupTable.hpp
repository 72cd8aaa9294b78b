#pragma once

#include "Types.hpp"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cactuspitch {

/// Value of owner_ or standby_ for a slice that has none.
inline constexpr int32_t kNoServer = -1;

/// Ownership of a slice: the hashes from begin_ up to the begin of the next
/// slice.
struct SliceRecord
{
  KeyHash begin_ = 0;
  Epoch epoch_ = 0;
  int32_t owner_ = kNoServer;   ///< index into GroupTable::servers_
  int32_t standby_ = kNoServer; ///< index into GroupTable::servers_

  bool operator==(const SliceRecord&) const = default;
};
// The table size in docs/CAPACITY.md is calculated with this value.
static_assert(sizeof(SliceRecord) == 24);

struct BackendServerRecord
{
  std::string id_;
  std::string address_;
  std::string failureDomain_;
  std::string incarnation_;
  int32_t slots_ = 1;
  int32_t connections_ = 1;
  int32_t warmupPercent_ = 100;
  bool checksFence_ = true;
  bool draining_ = false;

  bool operator==(const BackendServerRecord&) const = default;
};

/// Ownership table of one assignment group. Versions are ordered by
/// (term, sequence).
struct GroupTable
{
  std::string service_;
  int32_t group_ = 0;
  Term term_ = 0;
  int64_t sequence_ = 0;
  std::string assigner_;
  std::string deputy_;
  std::vector<BackendServerRecord> servers_;
  std::vector<SliceRecord> slices_; ///< sorted by begin_, first begins at 0

  /// Slice that contains the hash; slices_ must not be empty.
  const SliceRecord& FindSlice(KeyHash aHash) const;
  /// Last hash of the slice at aIndex.
  KeyHash SliceEnd(size_t aIndex) const;
  /// Server at an index; null for kNoServer.
  const BackendServerRecord* Server(int32_t aIndex) const;
  bool IsNewerThan(const GroupTable& aOther) const;
};

}

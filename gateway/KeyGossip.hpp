#pragma once

#include "gossip_types.h"
#include "keyspace/KeyOwnerMap.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cactuspitch {

/// Splits the leader's key table into datagrams: changes are sent at once, and
/// one slice of the table after the other makes up for lost datagrams.
class KeyGossip
{
public:
  /// Ranges in one datagram: about one kilobyte, below the usual packet size.
  static constexpr size_t kMaxRanges = 40;

  /// Treats all ranges as changed, and starts again with the first slice.
  void Reset();
  /// Returns the ranges that have changed since the last call.
  std::vector<wire::OwnedKeys> TakeChanges(const std::string& aService,
                                           const KeyOwnership& aOwnership);
  /// Returns the next slice of the table; the first one follows the last one.
  wire::OwnedKeys NextSlice(const std::string& aService,
                            const KeyOwnership& aOwnership);
  /// Returns the whole table.
  static std::vector<wire::OwnedKeys> All(const std::string& aService,
                                          const KeyOwnership& aOwnership);
  /// Merges a received part into aView. Returns true if this changed the view.
  static bool Apply(const wire::OwnedKeys& aKeys, KeyOwnerMap& aView);

private:
  using Sent = std::tuple<uint32_t, int64_t, bool>; ///< last key, fence, active

  std::map<std::string, std::map<uint32_t, Sent>> sent_;
  std::map<std::string, size_t> nextSlice_;
};

}

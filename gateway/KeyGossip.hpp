#pragma once

#include "gossip_types.h"
#include "keyspace/KeyOwnerMap.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cactuspitch {

/// The leader's key table as datagrams: changes at once, and in between a slice
/// after the other, which repairs what was lost.
class KeyGossip
{
public:
  /// Ranges of one datagram: about a kilobyte, below the usual packet size.
  static constexpr size_t kMaxRanges = 40;

  void Reset();
  /// Ranges that have changed since the last call.
  std::vector<wire::OwnedKeys> TakeChanges(const std::string& aService,
                                           const KeyOwnership& aOwnership);
  wire::OwnedKeys NextSlice(const std::string& aService,
                            const KeyOwnership& aOwnership);
  static std::vector<wire::OwnedKeys> All(const std::string& aService,
                                          const KeyOwnership& aOwnership);
  /// Merges a received part; true when the view changed.
  static bool Apply(const wire::OwnedKeys& aKeys, KeyOwnerMap& aView);

private:
  using Sent = std::tuple<uint32_t, int64_t, bool>; ///< last key, fence, active

  std::map<std::string, std::map<uint32_t, Sent>> sent_;
  std::map<std::string, size_t> nextSlice_;
};

}

#pragma once

#include "common/Types.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

inline constexpr uint32_t kKeyCount = 65536;
/// Longest lease of any version.
inline constexpr TimeMs kLongestLeaseMs = 4000;

/// In KeySegment::previous_: servers that the table does not name.
inline constexpr std::string_view kUnknownServer;

/// Range of keys first_ to last_ (both inclusive) of a service and their owner.
/// The fencing token fence_ increases with every change of owner.
struct KeySegment
{
  uint32_t first_ = 0;
  uint32_t last_ = 0;
  std::string owner_;
  int64_t ownerStartTimeMs_ = 0;
  int64_t fence_ = 0;
  /// Backend servers that may still hold a lease for these keys with an older
  /// fence. The owner is granted no lease until all of them have released
  /// theirs or let it expire.
  std::vector<std::string> previous_;

  bool operator==(const KeySegment&) const = default;
};

/// Segments sorted by first_ that cover all keys of a service without overlap.
using KeySegments = std::vector<KeySegment>;

namespace detail {

/// Splits the range that contains aStart so that aStart begins a range. Does
/// nothing if it already does. Part has the members first_ and last_.
template<typename Part>
void SplitBefore(std::vector<Part>& aParts, uint32_t aStart)
{
  const auto found = std::ranges::find_if(aParts, [&](const Part& aPart) {
    return aPart.first_ < aStart && aStart <= aPart.last_;
  });
  if (found == aParts.end()) {
    return;
  }
  auto upper = *found;
  upper.first_ = aStart;
  found->last_ = aStart - 1;
  aParts.insert(std::next(found), std::move(upper));
}

}

/// Segment that contains aKey; null if no segment does (empty table).
const KeySegment* FindSegment(const KeySegments& aSegments, uint32_t aKey);

/// Ownership of the keys of all services of a deployment, stored as one object
/// in the platform's store.
struct KeyTable
{
  int64_t term_ = 0;    ///< term of the leader that wrote the table
  int64_t writeId_ = 0; ///< distinguishes the writes of one leader
  TimeMs leaseMs_ = 0;  ///< longest lease of this and all earlier leaders
  /// Era of the store for which the table was written. In a later one, it is an
  /// older copy, and later writes may be lost.
  int64_t era_ = 0;
  std::map<std::string, KeySegments> services_;
};

nlohmann::json EncodeKeyTable(const KeyTable& aTable);
/// Returns false, and leaves aTable unchanged, if aJson is malformed or the
/// segments of a service don't cover all keys exactly once.
bool DecodeKeyTable(const nlohmann::json& aJson, KeyTable& aTable);

}

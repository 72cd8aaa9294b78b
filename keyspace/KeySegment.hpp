#pragma once

#include "common/Types.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

inline constexpr uint32_t kKeyCount = 65536;

/// Keys first_ to last_ (both inclusive) of a service and their owner. The
/// fence grows with every change of owner.
struct KeySegment
{
  uint32_t first_ = 0;
  uint32_t last_ = 0;
  std::string owner_;
  int64_t ownerStartTimeMs_ = 0;
  int64_t fence_ = 0;
  /// Backend servers that may still hold these keys under an older fence. The
  /// owner gets no grant before all of them have released or lapsed.
  std::vector<std::string> previous_;

  bool operator==(const KeySegment&) const = default;
};

/// Sorted by first_; the segments of a service cover all keys without overlap.
using KeySegments = std::vector<KeySegment>;

namespace detail {

/// Makes aStart the first key of a part; parts have first_ and last_.
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

/// Segment of a key; null when the table is empty.
const KeySegment* FindSegment(const KeySegments& aSegments, uint32_t aKey);

/// All assignments of a deployment, kept in one object of the platform's store.
struct KeyTable
{
  int64_t term_ = 0;    ///< of the leader that wrote it
  int64_t writeId_ = 0; ///< tells the writes of one leader apart
  TimeMs leaseMs_ = 0;  ///< longest grant of this leader and all before it
  std::map<std::string, KeySegments> services_;
};

nlohmann::json EncodeKeyTable(const KeyTable& aTable);
/// False when it is not a table that covers the keys of each service.
bool DecodeKeyTable(const nlohmann::json& aJson, KeyTable& aTable);

}

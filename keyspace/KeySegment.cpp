#include "keyspace/KeySegment.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

bool CoversAllKeys(const KeySegments& aSegments)
{
  uint32_t next = 0;
  const bool inOrder = std::ranges::all_of(aSegments, [&](const auto& aPart) {
    const bool fits = aPart.first_ == next && aPart.last_ >= aPart.first_ &&
                      aPart.last_ < kKeyCount;
    next = aPart.last_ + 1;
    return fits;
  });
  return inOrder && (aSegments.empty() || next == kKeyCount);
}

/// Encodes a segment as a JSON array, without field names, to keep the object
/// small: it is rewritten with every move.
Json ToJson(const KeySegment& aSegment)
{
  return Json::array({ aSegment.first_,
                       aSegment.last_,
                       aSegment.owner_,
                       aSegment.ownerStartTimeMs_,
                       aSegment.fence_,
                       aSegment.previous_ });
}

KeySegment SegmentFromJson(const Json& aJson)
{
  return {
    aJson.at(0).get<uint32_t>(),    aJson.at(1).get<uint32_t>(),
    aJson.at(2).get<std::string>(), aJson.at(3).get<int64_t>(),
    aJson.at(4).get<int64_t>(),     aJson.at(5).get<std::vector<std::string>>()
  };
}

}

const KeySegment* FindSegment(const KeySegments& aSegments, uint32_t aKey)
{
  const auto after = std::ranges::upper_bound(
    aSegments, aKey, {}, [](const auto& aPart) { return aPart.first_; });
  if (after == aSegments.begin()) {
    return nullptr;
  }
  const auto& found = *std::prev(after);
  return aKey <= found.last_ ? &found : nullptr;
}

nlohmann::json EncodeKeyTable(const KeyTable& aTable)
{
  auto services = detail::Json::object();
  for (const auto& [name, segments] : aTable.services_) {
    auto list = detail::Json::array();
    std::ranges::transform(segments, std::back_inserter(list), detail::ToJson);
    services[name] = std::move(list);
  }
  return detail::Json{ { "term", aTable.term_ },
                       { "writeId", aTable.writeId_ },
                       { "holdMs", aTable.leaseMs_ },
                       { "era", aTable.era_ },
                       { "services", std::move(services) } };
}

bool DecodeKeyTable(const nlohmann::json& aJson, KeyTable& aTable)
{
  try {
    KeyTable table;
    table.term_ = aJson.at("term").get<int64_t>();
    table.writeId_ = aJson.at("writeId").get<int64_t>();
    // Versions that didn't write this field may have granted the longest
    // leases.
    table.leaseMs_ = aJson.value("holdMs", kLongestLeaseMs);
    table.era_ = aJson.value("era", int64_t{ 0 });
    for (const auto& [name, list] : aJson.at("services").items()) {
      auto& segments = table.services_[name];
      std::ranges::transform(
        list, std::back_inserter(segments), detail::SegmentFromJson);
      if (!detail::CoversAllKeys(segments)) {
        return false;
      }
    }
    aTable = std::move(table);
    return true;
  } catch (const detail::Json::exception&) {
    return false;
  }
}

}

#include "GroupObject.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

Json ServerToJson(const BackendServerRecord& aServer)
{
  return { { "id", aServer.id_ },
           { "address", aServer.address_ },
           { "failureDomain", aServer.failureDomain_ },
           { "slots", aServer.slots_ },
           { "connections", aServer.connections_ },
           { "checksFence", aServer.checksFence_ },
           { "draining", aServer.draining_ } };
}

BackendServerRecord ServerFromJson(const Json& aJson)
{
  BackendServerRecord server;
  aJson.at("id").get_to(server.id_);
  aJson.at("address").get_to(server.address_);
  aJson.at("failureDomain").get_to(server.failureDomain_);
  aJson.at("slots").get_to(server.slots_);
  aJson.at("connections").get_to(server.connections_);
  aJson.at("checksFence").get_to(server.checksFence_);
  aJson.at("draining").get_to(server.draining_);
  return server;
}

bool IsIndex(int32_t aIndex, size_t aServers)
{
  return aIndex >= kNoServer && aIndex < static_cast<int32_t>(aServers);
}

bool IsCover(const GroupTable& aTable)
{
  const auto& slices = aTable.slices_;
  return !slices.empty() && slices.front().begin_ == 0 &&
         std::ranges::adjacent_find(slices,
                                    std::ranges::greater_equal{},
                                    &SliceRecord::begin_) == slices.end() &&
         std::ranges::all_of(slices, [&](const SliceRecord& aSlice) {
           return IsIndex(aSlice.owner_, aTable.servers_.size()) &&
                  IsIndex(aSlice.standby_, aTable.servers_.size());
         });
}

}

absl::StatusOr<std::string> EncodeGroup(const GroupObject& aObject)
{
  const auto& table = aObject.table_;
  auto servers = detail::Json::array();
  for (const auto& server : table.servers_) {
    servers.push_back(detail::ServerToJson(server));
  }
  // Slices are arrays [begin, epoch, owner, standby] to keep the object small.
  auto slices = detail::Json::array();
  for (const auto& slice : table.slices_) {
    slices.push_back(
      { slice.begin_, slice.epoch_, slice.owner_, slice.standby_ });
  }
  const detail::Json json = {
    { "service", table.service_ },
    { "group", table.group_ },
    { "term", table.term_ },
    { "assigner", table.assigner_ },
    { "deputy", table.deputy_ },
    { "servers", std::move(servers) },
    { "slices", std::move(slices) },
    { "writer", aObject.writer_ },
    { "change", aObject.change_ },
    { "earlierRenewers", aObject.earlierRenewers_ },
  };
  auto text = WriteJson(json);
  if (text.size() > kMaxObjectBytes) {
    return absl::ResourceExhaustedError(
      Concat("group object is too large: ", text.size(), " bytes"));
  }
  return text;
}

absl::StatusOr<GroupObject> DecodeGroup(const std::string& aText)
{
  GroupObject object;
  try {
    const auto json = detail::Json::parse(aText);
    auto& table = object.table_;
    json.at("service").get_to(table.service_);
    json.at("group").get_to(table.group_);
    json.at("term").get_to(table.term_);
    json.at("assigner").get_to(table.assigner_);
    json.at("deputy").get_to(table.deputy_);
    json.at("writer").get_to(object.writer_);
    json.at("change").get_to(object.change_);
    json.at("earlierRenewers").get_to(object.earlierRenewers_);
    for (const auto& server : json.at("servers")) {
      table.servers_.push_back(detail::ServerFromJson(server));
    }
    for (const auto& slice : json.at("slices")) {
      table.slices_.push_back({ slice.at(0).get<KeyHash>(),
                                slice.at(1).get<Epoch>(),
                                slice.at(2).get<int32_t>(),
                                slice.at(3).get<int32_t>() });
    }
  } catch (const detail::Json::exception& failure) {
    return absl::InvalidArgumentError(Concat("group object: ", failure.what()));
  }
  if (!detail::IsCover(object.table_)) {
    return absl::InvalidArgumentError(
      "group object: slices do not cover the hash space");
  }
  return object;
}

}

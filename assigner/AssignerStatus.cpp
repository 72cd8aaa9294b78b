#include "AssignerStatus.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

std::string LeaseStateName(const ServerLease& aLease, TimeMs aNowMs)
{
  if (aLease.IsGone()) {
    return "gone";
  }
  if (!aLease.IsFenced()) {
    return "unknown";
  }
  return aLease.IsSilent(aNowMs) ? "silent" : "leased";
}

Json LeasesToJson(const GroupState& aState, TimeMs aNowMs)
{
  auto leases = Json::array();
  for (size_t i = 0; i < aState.leases_.size(); ++i) {
    const auto& server = aState.Table().servers_[i];
    const auto& lease = aState.leases_[i];
    leases.push_back({ { "server", server.id_ },
                       { "address", server.address_ },
                       { "state", LeaseStateName(lease, aNowMs) },
                       { "draining", server.draining_ || lease.IsDraining() },
                       { "incarnation", lease.Incarnation() } });
  }
  return leases;
}

Json MovesToJson(const ManagedGroup& aGroup, TimeMs aNowMs)
{
  auto moves = Json::array();
  for (const auto& move : aGroup.Moves()) {
    moves.push_back({ { "ageMs", aNowMs - move.atMs_ },
                      { "begin", move.begin_ },
                      { "epoch", move.epoch_ },
                      { "from", move.from_ },
                      { "to", move.to_ },
                      { "reason", move.reason_ } });
  }
  return moves;
}

Json SlicesToJson(const std::map<KeyHash, double>& aLoads)
{
  auto slices = Json::array();
  for (const auto& [begin, load] : aLoads) {
    slices.push_back({ { "begin", begin }, { "load", load } });
  }
  return slices;
}

Json GroupToJson(ManagedGroup& aGroup,
                 const SliceBalancer& aBalancer,
                 TimeMs aNowMs)
{
  auto json = aGroup.WithLock([&](const GroupController& aControl) {
    const auto& table = aControl.Table();
    const auto& slices = aControl.State().sliceStates_.Slices();
    const auto open = std::ranges::count_if(
      slices, [](const SliceState& aSlice) { return !aSlice.IsHeld(); });
    return Json{ { "service", aGroup.Service() },
                 { "group", aGroup.Group() },
                 { "role", std::string(EnumName(aControl.Role())) },
                 { "term", table.term_ },
                 { "sequence", table.sequence_ },
                 { "assigner", table.assigner_ },
                 { "deputy", table.deputy_ },
                 { "armed", aControl.IsArmed() },
                 { "earlierRenewers", aControl.State().earlierRenewers_ },
                 { "sliceCount", table.slices_.size() },
                 { "slicesInTransit", open },
                 { "servers", LeasesToJson(aControl.State(), aNowMs) } };
  });
  json["moves"] = MovesToJson(aGroup, aNowMs);
  if (json["role"] == EnumName(GroupRole::Assigner)) {
    json["slices"] = SlicesToJson(aBalancer.SliceLoads(aGroup.Service()));
  }
  return json;
}

}

std::string AssignerStatusJson(const ControlLoop& aControl,
                               const SliceBalancer& aBalancer,
                               TimeMs aNowMs,
                               bool aStoreReachable,
                               int64_t aStoreCalls)
{
  auto groups = detail::Json::array();
  for (const auto& group : aControl.All()) {
    groups.push_back(detail::GroupToJson(*group, aBalancer, aNowMs));
  }
  return WriteJson({ { "groups", std::move(groups) },
                     { "storeReachable", aStoreReachable },
                     { "storeCalls", aStoreCalls } });
}

}

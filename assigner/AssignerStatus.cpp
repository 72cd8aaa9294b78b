#include "AssignerStatus.hpp"

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

Json MovesToJson(const GroupHost& aHost, TimeMs aNowMs)
{
  auto moves = Json::array();
  for (const auto& move : aHost.Moves()) {
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

Json GroupToJson(GroupHost& aHost, const BalanceDuty& aBalance, TimeMs aNowMs)
{
  auto json = aHost.With([&](const GroupController& aControl) {
    const auto& table = aControl.Table();
    const auto& slices = aControl.State().book_.Slices();
    const auto open = std::ranges::count_if(
      slices, [](const SliceState& aSlice) { return !aSlice.IsHeld(); });
    return Json{ { "service", aHost.Service() },
                 { "group", aHost.Group() },
                 { "role", std::string(EnumName(aControl.Role())) },
                 { "term", table.term_ },
                 { "sequence", table.sequence_ },
                 { "assigner", table.assigner_ },
                 { "deputy", table.deputy_ },
                 { "armed", aControl.IsArmed() },
                 { "earlierRenewers", aControl.State().earlier_ },
                 { "sliceCount", table.slices_.size() },
                 { "slicesInTransit", open },
                 { "servers", LeasesToJson(aControl.State(), aNowMs) } };
  });
  json["moves"] = MovesToJson(aHost, aNowMs);
  if (json["role"] == EnumName(GroupRole::Assigner)) {
    json["slices"] = SlicesToJson(aBalance.SliceLoads(aHost.Service()));
  }
  return json;
}

}

std::string AssignerStatusJson(const ControlDuty& aControl,
                               const BalanceDuty& aBalance,
                               TimeMs aNowMs,
                               bool aStoreReachable,
                               int64_t aStoreCalls)
{
  auto groups = detail::Json::array();
  for (const auto& host : aControl.All()) {
    groups.push_back(detail::GroupToJson(*host, aBalance, aNowMs));
  }
  return detail::Json{
    { "groups", std::move(groups) },
    { "storeReachable", aStoreReachable },
    { "storeCalls", aStoreCalls }
  }.dump();
}

}

#include "gateway/BrokerLookup.hpp"

#include "common/ShortHash.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kRefreshMs = 100;
/// While no leader lists the living gateways, its last list holds this long.
constexpr TimeMs kMaxListAgeMs = 10000;

}

BrokerLookup::BrokerLookup(EventLoop& aLoop,
                           const PeerMesh& aMesh,
                           const std::string& aInstance,
                           const std::string& aDomain,
                           int aCpuPercent)
  : loop_(aLoop)
  , mesh_(aMesh)
  , instance_(aInstance)
  , self_{ ShortHash(aInstance), ShortHash(aDomain), aCpuPercent }
{
}

std::optional<uint32_t> BrokerLookup::Find(uint32_t aService,
                                           uint32_t aDomain,
                                           std::optional<uint32_t> aExcept)
{
  Refresh();
  if (candidates_.size() <= kMaxDirectGateways) {
    return std::nullopt;
  }
  const auto [entry, isNew] =
    brokers_.try_emplace({ aService, aDomain, aExcept.value_or(0) });
  if (isNew) {
    entry->second = ChooseBroker(candidates_, aService, aDomain, aExcept);
  }
  return entry->second;
}

const Peer* BrokerLookup::FindPeer(uint32_t aGateway) const
{
  const auto name = names_.find(aGateway);
  if (name == names_.end()) {
    return nullptr;
  }
  const auto peer = mesh_.Peers().find(name->second);
  return peer == mesh_.Peers().end() ? nullptr : &peer->second;
}

std::string BrokerLookup::Name(uint32_t aGateway) const
{
  const auto name = names_.find(aGateway);
  if (name != names_.end()) {
    return name->second;
  }
  return aGateway == self_.gateway_ ? instance_ : "unknown";
}

void BrokerLookup::Add(uint32_t aGateway, const std::string& aInstance)
{
  names_.try_emplace(aGateway, aInstance);
}

void BrokerLookup::Refresh()
{
  const TimeMs nowMs = loop_.NowMs();
  if (refreshedMs_ && nowMs - *refreshedMs_ < detail::kRefreshMs) {
    return;
  }
  refreshedMs_ = nowMs;
  const auto& peers = mesh_.Peers();
  TimeMs listMs = 0;
  for (const auto& [instance, peer] : peers) {
    listMs = std::max(listMs, peer.listedByLeaderMs_);
  }
  const bool usesList = UsesLeadersList(listMs, nowMs);
  candidates_.clear();
  if (!stopping_) {
    candidates_.push_back(self_);
  }
  brokers_.clear();
  for (const auto& [instance, peer] : peers) {
    const auto gateway = ShortHash(instance);
    names_.try_emplace(gateway, instance);
    if (peer.stopping_) {
      continue;
    }
    if (usesList ? peer.listedByLeaderMs_ == listMs
                 : PeerMesh::IsAlive(peer, nowMs)) {
      candidates_.push_back(
        { gateway, ShortHash(peer.failureDomain_), peer.cpuPercent_ });
    }
  }
}

bool BrokerLookup::UsesLeadersList(TimeMs aListMs, TimeMs aNowMs) const
{
  // Most gateways of a large fleet hear only from some others, each from
  // different ones. The leader's list gives all the same view.
  const TimeMs ageMs = aNowMs - aListMs;
  if (aListMs == 0 || ageMs >= detail::kMaxListAgeMs) {
    return false;
  }
  if (ageMs < PeerMesh::kAliveMs) {
    return true;
  }
  const auto listed =
    std::ranges::count_if(mesh_.Peers(), [&](const auto& aEntry) {
      return aEntry.second.listedByLeaderMs_ == aListMs;
    });
  // The leader itself gets no lists, and hears from all.
  return mesh_.AliveCount(aNowMs) * 2 < static_cast<size_t>(listed);
}

}

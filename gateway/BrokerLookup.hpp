#pragma once

#include "gateway/PeerMesh.hpp"
#include "scheduling/BrokerChoice.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Finds the brokers of services and failure domains among the living gateways.
class BrokerLookup
{
public:
  BrokerLookup(EventLoop& aLoop,
               const PeerMesh& aMesh,
               const std::string& aInstance,
               const std::string& aDomain,
               int aCpuPercent);

  /// Broker of the service in the domain, or its deputy without aExcept. None
  /// while this gateway knows too few others to agree with them on one: after
  /// its start, or cut off.
  std::optional<uint32_t> Find(uint32_t aService,
                               uint32_t aDomain,
                               std::optional<uint32_t> aExcept = {});
  /// This gateway is about to exit: others become broker for its places.
  void SetStopping() { stopping_ = true; }
  /// Null if the gateway is not known.
  const Peer* FindPeer(uint32_t aGateway) const;
  /// Name of the gateway, for logs.
  std::string Name(uint32_t aGateway) const;
  /// Makes a gateway known that has sent a message.
  void Add(uint32_t aGateway, const std::string& aInstance);

private:
  void Refresh();
  bool UsesLeadersList(TimeMs aListMs, TimeMs aNowMs) const;

  EventLoop& loop_;
  const PeerMesh& mesh_;
  std::string instance_;
  BrokerCandidate self_;
  bool stopping_ = false;
  std::optional<TimeMs> refreshedMs_;
  std::vector<BrokerCandidate> candidates_;
  /// By service, failure domain and excepted gateway.
  std::map<std::tuple<uint32_t, uint32_t, uint32_t>, std::optional<uint32_t>>
    brokers_;
  std::unordered_map<uint32_t, std::string> names_;
};

}

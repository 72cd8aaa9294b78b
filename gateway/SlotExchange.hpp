#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "gateway/PeerMesh.hpp"
#include "scheduling/ColdRate.hpp"
#include "scheduling/SlotClient.hpp"
#include "scheduling/SlotScheduler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

namespace wire {
class Gossip;
}

/// Carries slot requests and answers between this gateway and the brokers, and
/// runs the schedulers of the services and failure domains whose broker this
/// gateway is. Does nothing in a small fleet.
class SlotExchange
{
public:
  struct Handlers
  {
    /// A datagram with the state that every datagram carries.
    std::function<wire::Gossip()> makeGossip_;
    /// A broker has decided on requests that were pending.
    std::function<void()> onDecided_;
    /// Limits of the service's cold servers.
    std::function<ColdLimits(const std::string& aService)> coldLimits_;
    /// Whether the servers of the failure domain are to get no requests.
    std::function<bool(const std::string& aDomain)> isEvacuated_;
  };

  SlotExchange(EventLoop& aLoop,
               EventLog& aLog,
               GatewayMetrics& aMetrics,
               PeerMesh& aMesh,
               std::string aInstance,
               std::string aDomain,
               int aCpuPercent,
               Handlers aHandlers);
  ~SlotExchange();

  /// Whether brokers schedule the slots: the fleet is large.
  bool IsActive() const;
  SlotClient& Client();
  /// To be called when servers, their states or the evacuated domains changed.
  void UpdateServers(const BackendPool& aPool);
  /// Handles the slot messages in a datagram of another gateway.
  void OnReceived(const wire::Gossip& aGossip);
};

}

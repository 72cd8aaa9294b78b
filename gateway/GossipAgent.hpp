#pragma once

#include "gateway/EvacuationWatch.hpp"
#include "gateway/Forwarder.hpp"
#include "gateway/KeyCoordinator.hpp"
#include "gateway/KeyGossip.hpp"
#include "gateway/LeaderElection.hpp"
#include "gateway/LimitGossip.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/SlotExchange.hpp"
#include "gateway/StoreRelay.hpp"
#include "policy/FleetLoadTable.hpp"
#include "policy/SuspectExchange.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Composes this gateway's gossip and applies the gossip of the others: owners
/// of keys, loads of backend servers and keys, suspect requests, and the
/// version of the configuration.
class GossipAgent
{
public:
  struct Self
  {
    std::string instance_;
    std::string failureDomain_;
    int64_t bootId_ = 0;
    int cpuPercent_ = 100;
    uint16_t statusPort_ = 0;
  };
  struct Handlers
  {
    std::function<int64_t()> configVersion_;
    /// Hashes of servers that announced their shutdown, at most aMaxCount.
    std::function<std::vector<int32_t>(size_t aMaxCount)> leavingServers_;
    /// Another gateway sent the hashes of servers that announced their
    /// shutdown.
    std::function<void(const std::vector<int32_t>& aServers)> onLeaving_;
    /// At most aMaxCount cold servers.
    std::function<std::vector<ColdNotice>(size_t aMaxCount)> coldServers_;
    /// Another gateway told of cold servers. Returns true if one was news.
    std::function<bool(const std::vector<ColdNotice>& aServers)> onCold_;
  };

  GossipAgent(EventLoop& aLoop,
              Self aSelf,
              PeerMesh& aMesh,
              LeaderElection& aElection,
              KeyCoordinator& aCoordinator,
              FleetLoadTable& aFleetLoads,
              StoreRelay& aRelay,
              Forwarder& aForwarder,
              LimitGossip& aLimits,
              SlotExchange& aSlots,
              EvacuationWatch& aEvacuations,
              Handlers aHandlers);

  void Start();
  /// A datagram with the state that every datagram carries.
  wire::Gossip MakeBriefGossip();
  /// Tells all gateways that this process is about to exit.
  void OnStopping();
  /// Introduces this gateway to its failure domain.
  void Announce();
  void OnReceived(const wire::Gossip& aGossip,
                  const Endpoint& aOrigin,
                  const Endpoint& aSender);
  /// Must be called when this process becomes or stops being the leader.
  void OnLeadershipChanged();
  /// Sends changed registrations that this gateway has read from the store.
  void BroadcastRegistrations(std::vector<wire::BackendChange> aChanges);
  /// Sends the state that every datagram carries to all gateways.
  void BroadcastState() { mesh_.SendToAll(MakeGossip()); }
  /// Must be called on the leader when owners of keys change. Changes are
  /// batched, applied to this gateway and sent to all others.
  void OnKeysChanged();
  /// Sends the servers that announced their shutdown or a limit, and those
  /// that are cold, to the leader, or to all gateways if this process leads or
  /// knows no leader.
  void SendServerNotices();
  /// Sends this gateway's due requests for permits to the leader.
  void SendPermitRequests();
  /// Must be called when this gateway has counted or cleared crashes of
  /// requests.
  void OnSuspectsChanged();

private:
  void Tick();
  void SendAsLeader(wire::Gossip& aGossip);
  void SendAsFollower(wire::Gossip& aGossip);
  /// A datagram that also carries recent notices of backend servers.
  wire::Gossip MakeGossip();
  void SendToLeaderOrAll(const wire::Gossip& aGossip);
  void FillColdServers(wire::Gossip& aGossip);
  void ApplyColdServers(const wire::Gossip& aGossip);
  static void FillSuspects(const std::vector<CrashSuspect>& aSuspects,
                           wire::Gossip& aGossip);
  void ScheduleSendSuspects();
  /// Sends the crashes that this gateway has counted or cleared since the last
  /// call.
  void SendSuspects();
  /// Sends this gateway's suspects to the sender of aGossip if its digest of
  /// them differs.
  void SyncSuspects(const wire::Gossip& aGossip, const Endpoint& aOrigin);
  void FillKeyCounts(wire::Gossip& aGossip);
  static void FillLoads(const std::vector<FleetLoadEntry>& aEntries,
                        wire::Gossip& aGossip);
  void FillAdmissions(wire::Gossip& aGossip);
  void ApplyAdmissions(const wire::Gossip& aGossip);
  void SendKeyChanges();
  void SendAllKeys(const Endpoint& aReceiver);
  void ApplyKeyCounts(const wire::Gossip& aGossip);
  void ApplyLoads(const wire::Gossip& aGossip);
  void ApplySuspects(const wire::Gossip& aGossip);
  void ApplyLimits(const wire::Gossip& aGossip, const Endpoint& aOrigin);
  bool KnowsAllKeys() const;

  EventLoop& loop_;
  Self self_;
  PeerMesh& mesh_;
  LeaderElection& election_;
  KeyCoordinator& coordinator_;
  FleetLoadTable& fleetLoads_;
  StoreRelay& relay_;
  Forwarder& forwarder_;
  LimitGossip& limits_;
  SlotExchange& slots_;
  EvacuationWatch& evacuations_;
  Handlers handlers_;
  KeyGossip keyGossip_;
  Timer timer_;
  Timer keyChangeTimer_;
  TimeMs allKeysSentMs_ = 0;
  uint64_t rounds_ = 0;
  bool stopping_ = false;
  SuspectExchange suspects_;
  Timer suspectTimer_;
  Timer serverNoticeTimer_;
};

}

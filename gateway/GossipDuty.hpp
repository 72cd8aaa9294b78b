#pragma once

#include "gateway/Forwarder.hpp"
#include "gateway/KeyDirector.hpp"
#include "gateway/KeyGossip.hpp"
#include "gateway/LeaderElection.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/StoreRelay.hpp"
#include "policy/FleetLoadTable.hpp"
#include "policy/SuspectExchange.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// What this gateway tells the others, and what it does with what they tell:
/// owners of keys, loads of backend servers and keys, suspect requests, and the
/// version of the configuration.
class GossipDuty
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
    /// Servers that said that they leave, by hash, at most so many.
    std::function<std::vector<int32_t>(size_t aMost)> leavingServers_;
    std::function<void(const std::vector<int32_t>& aServers)> onLeaving_;
  };

  GossipDuty(EventLoop& aLoop,
             Self aSelf,
             PeerMesh& aMesh,
             LeaderElection& aElection,
             KeyDirector& aDirector,
             FleetLoadTable& aFleetLoads,
             StoreRelay& aRelay,
             Forwarder& aForwarder,
             Handlers aHandlers);

  void Start();
  /// Makes this gateway known to its failure domain.
  void Announce();
  void OnReceived(const wire::Gossip& aGossip,
                  const Endpoint& aOrigin,
                  const Endpoint& aSender);
  /// This process was elected or has stopped leading.
  void OnLeadershipChanged();
  /// Registrations that this gateway has read from the store.
  void TellChanges(std::vector<wire::BackendChange> aChanges);
  /// The leader's owners have changed; changes are gathered and told to all,
  /// this gateway included.
  void OnKeysChanged();
  /// A server said to this gateway that it leaves.
  void TellLeaving();
  /// This gateway counted or cleared crashes of requests.
  void OnSuspectsChanged();

private:
  void Tick();
  void TellAsLeader(wire::Gossip& aGossip);
  void TellAsFollower(wire::Gossip& aGossip);
  wire::Gossip Basic();
  static void FillSuspects(const std::vector<CrashSuspect>& aSuspects,
                           wire::Gossip& aGossip);
  void ScheduleSuspects();
  /// Tells what this gateway has counted or cleared and not told yet.
  void TellSuspects();
  /// Tells a gateway that knows other suspects what this one knows.
  void CompareSuspects(const wire::Gossip& aGossip, const Endpoint& aOrigin);
  void FillKeyCounts(wire::Gossip& aGossip);
  static void FillLoads(const std::vector<FleetLoadEntry>& aEntries,
                        wire::Gossip& aGossip);
  void FillAdmissions(wire::Gossip& aGossip);
  void TakeAdmissions(const wire::Gossip& aGossip);
  void SendChanges();
  void AnswerWantedKeys(const Endpoint& aAsker);
  void TakeKeyCounts(const wire::Gossip& aGossip);
  void TakeLoads(const wire::Gossip& aGossip);
  void TakeSuspects(const wire::Gossip& aGossip);
  bool KnowsAllKeys() const;

  EventLoop& loop_;
  Self self_;
  PeerMesh& mesh_;
  LeaderElection& election_;
  KeyDirector& director_;
  FleetLoadTable& fleetLoads_;
  StoreRelay& relay_;
  Forwarder& forwarder_;
  Handlers handlers_;
  KeyGossip keyGossip_;
  Timer timer_;
  Timer changeTimer_;
  TimeMs allKeysToldMs_ = 0;
  uint64_t rounds_ = 0;
  SuspectExchange suspects_;
  Timer suspectTimer_;
};

}

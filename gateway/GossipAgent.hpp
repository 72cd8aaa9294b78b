#pragma once

#include "gateway/Forwarder.hpp"
#include "gateway/KeyCoordinator.hpp"
#include "gateway/KeyGossip.hpp"
#include "gateway/LeaderElection.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/StoreRelay.hpp"
#include "policy/LoadBoard.hpp"
#include "policy/SuspectExchange.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// What this gateway tells the others, and what it does with what they tell:
/// owners of keys, loads of backend servers and keys, suspect requests, and the
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
    /// Servers that said that they leave, by hash, at most so many.
    std::function<std::vector<int32_t>(size_t aMaxCount)> leavingServers_;
    std::function<void(const std::vector<int32_t>& aServers)> onLeaving_;
  };

  GossipAgent(EventLoop& aLoop,
              Self aSelf,
              PeerMesh& aMesh,
              LeaderElection& aElection,
              KeyCoordinator& aCoordinator,
              LoadBoard& aBoard,
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
  void BroadcastRegistrations(std::vector<wire::BackendChange> aChanges);
  /// The leader's owners have changed; changes are gathered and told to all,
  /// this gateway included.
  void OnKeysChanged();
  /// A server said to this gateway that it leaves.
  void SendLeavingNotice();
  /// This gateway counted or cleared crashes of requests.
  void OnSuspectsChanged();

private:
  void Tick();
  void SendAsLeader(wire::Gossip& aGossip);
  void SendAsFollower(wire::Gossip& aGossip);
  wire::Gossip MakeGossip();
  static void FillSuspects(const std::vector<CrashSuspect>& aSuspects,
                           wire::Gossip& aGossip);
  void ScheduleSendSuspects();
  /// Tells what this gateway has counted or cleared and not told yet.
  void SendSuspects();
  /// Tells a gateway that knows other suspects what this one knows.
  void SyncSuspects(const wire::Gossip& aGossip, const Endpoint& aOrigin);
  void FillKeyCounts(wire::Gossip& aGossip);
  static void FillLoads(const std::vector<BoardEntry>& aEntries,
                        wire::Gossip& aGossip);
  void FillAdmissions(wire::Gossip& aGossip);
  void ApplyAdmissions(const wire::Gossip& aGossip);
  void SendKeyChanges();
  void SendAllKeys(const Endpoint& aReceiver);
  void ApplyKeyCounts(const wire::Gossip& aGossip);
  void ApplyLoads(const wire::Gossip& aGossip);
  void ApplySuspects(const wire::Gossip& aGossip);
  bool KnowsAllKeys() const;

  EventLoop& loop_;
  Self self_;
  PeerMesh& mesh_;
  LeaderElection& election_;
  KeyCoordinator& coordinator_;
  LoadBoard& board_;
  StoreRelay& relay_;
  Forwarder& forwarder_;
  Handlers handlers_;
  KeyGossip keyGossip_;
  Timer timer_;
  Timer keyChangeTimer_;
  TimeMs allKeysSentMs_ = 0;
  uint64_t rounds_ = 0;
  SuspectExchange suspects_;
  Timer suspectTimer_;
};

}

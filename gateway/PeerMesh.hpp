#pragma once

#include "gateway/EventLog.hpp"
#include "net/EventLoop.hpp"
#include "net/TcpStream.hpp"
#include "policy/BroadcastPlan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

namespace wire {
class Gossip;
}

/// Last known state of another gateway.
struct Peer
{
  Endpoint endpoint_;
  int64_t bootId_ = 0;
  int64_t term_ = 0;
  bool leading_ = false;
  bool stopping_ = false; ///< about to exit
  std::string failureDomain_;
  int cpuPercent_ = 0;
  TimeMs lastHeardMs_ = 0;      ///< 0: never heard
  TimeMs listedByLeaderMs_ = 0; ///< last listed by the leader as alive
};

/// Sends and receives the datagrams between gateways (wire/gossip.thrift). Each
/// datagram is self-contained, so the next one makes up for loss and
/// reordering. In large fleets relays forward the datagrams that are sent to
/// all, see PlanBroadcast().
class PeerMesh
{
public:
  /// aOrigin is the first sender. aSender is the relay that forwarded the
  /// datagram, or the same as aOrigin.
  using Receiver = std::function<void(const wire::Gossip& aGossip,
                                      const Endpoint& aOrigin,
                                      const Endpoint& aSender)>;
  /// Returns the highest version of the configuration that this gateway can
  /// serve to its failure domain.
  using VersionSource = std::function<int64_t()>;
  /// A peer counts as alive for this long after it was last heard or listed by
  /// the leader.
  static constexpr TimeMs kAliveMs = 2500;

  PeerMesh(EventLoop& aLoop,
           EventLog& aLog,
           std::string aSelf,
           std::string aDomain,
           Receiver aReceiver,
           VersionSource aConfigVersion);
  ~PeerMesh();

  /// Binds the socket. Returns false on failure.
  bool Open(const Endpoint& aEndpoint);
  void SendTo(const Endpoint& aPeer, const wire::Gossip& aGossip);
  void SendToAll(const wire::Gossip& aGossip);
  /// Sends to all gateways of this failure domain except the author of the
  /// datagram.
  void SendToDomain(const wire::Gossip& aGossip);
  /// Sends to aCount living gateways, chosen at random.
  void SendToRandom(const wire::Gossip& aGossip, size_t aCount);

  /// Adds a gateway from its registration in the store. Does not overwrite what
  /// the gateway's own datagrams reported.
  void AddRegistered(const std::string& aInstance,
                     const Endpoint& aEndpoint,
                     int64_t aBootId,
                     const std::string& aDomain,
                     int aCpuPercent);
  /// Updates the peer that sent aGossip.
  void RecordHeard(const wire::Gossip& aGossip, const Endpoint& aSender);
  /// Updates the peers that the leader lists as alive, see MemberHashes.
  void RecordMembers(const std::vector<int32_t>& aMembers);
  /// Number of gateways in the leader's last list that are not known here.
  size_t UnknownMembers() const { return unknownMembers_; }
  /// Hashes of the names of the living gateways, including this one, for
  /// RecordMembers.
  std::vector<int32_t> MemberHashes(TimeMs aNowMs) const;
  /// True if the fleet is too large for all gateways to send to all others.
  bool IsLarge() const { return peers_.size() > kMaxDirectGateways; }
  const std::map<std::string, Peer>& Peers() const { return peers_; }
  static bool IsAlive(const Peer& aPeer, TimeMs aNowMs);
  size_t AliveCount(TimeMs aNowMs) const;
  /// Names and failure domains of the peers that are alive.
  std::vector<std::pair<std::string, std::string>> AliveGateways(
    TimeMs aNowMs) const;

private:
  Peer& AddPeer(const std::string& aInstance);
  void ReceiveDatagrams();
  void RelayToDomain(wire::Gossip aGossip, const Endpoint& aOrigin);
  void SendBytes(const Endpoint& aPeer, std::string_view aBytes);

  EventLoop& loop_;
  EventLog& log_;
  std::string self_;
  std::string domain_;
  Receiver receiver_;
  VersionSource configVersion_;
  IoWatcher watcher_;
  int fd_ = -1;
  std::map<std::string, Peer> peers_;
  std::unordered_map<int32_t, std::string> namesByHash_;
  size_t unknownMembers_ = 0;
  std::minstd_rand random_;
};

}

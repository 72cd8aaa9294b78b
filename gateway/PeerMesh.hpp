#pragma once

#include "gateway/EventLog.hpp"
#include "net/EventLoop.hpp"
#include "net/TcpStream.hpp"
#include "policy/RelayTree.hpp"

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

/// What a gateway knows of another one.
struct Peer
{
  Endpoint endpoint_;
  int64_t bootId_ = 0;
  int64_t term_ = 0;
  bool leading_ = false;
  std::string failureDomain_;
  int cpuPercent_ = 0;
  TimeMs lastHeardMs_ = 0;      ///< 0: never
  TimeMs listedByLeaderMs_ = 0; ///< a leader named it among those that it hears
};

/// Datagrams between the gateways (wire/gossip.thrift). Each is self-contained,
/// so loss and reordering need no repair beyond the next one. What goes to all
/// is passed on by relays in large fleets (policy/RelayTree).
class PeerMesh
{
public:
  /// aOrigin sent it first, aSender passed it on.
  using Receiver = std::function<void(const wire::Gossip& aGossip,
                                      const Endpoint& aOrigin,
                                      const Endpoint& aSender)>;
  /// Highest configuration that this gateway can serve to its domain.
  using VersionSource = std::function<int64_t()>;
  /// A peer counts as alive if it was heard within this time.
  static constexpr TimeMs kAliveMs = 2500;

  PeerMesh(EventLoop& aLoop,
           EventLog& aLog,
           std::string aSelf,
           std::string aDomain,
           Receiver aReceiver,
           VersionSource aConfigVersion);
  ~PeerMesh();

  bool Open(const Endpoint& aEndpoint);
  void SendTo(const Endpoint& aPeer, const wire::Gossip& aGossip);
  void SendToAll(const wire::Gossip& aGossip);
  /// To the gateways of the own failure domain, but not to the one that it is
  /// from.
  void SendToDomain(const wire::Gossip& aGossip);
  /// To some living gateways, drawn at random.
  void SendToRandom(const wire::Gossip& aGossip, size_t aCount);

  /// From a registration in the store.
  void AddRegistered(const std::string& aInstance,
                     const Endpoint& aEndpoint,
                     int64_t aBootId,
                     const std::string& aDomain,
                     int aCpuPercent);
  void RecordHeard(const wire::Gossip& aGossip, const Endpoint& aSender);
  /// The leader's list of gateways that it hears.
  void RecordMembers(const std::vector<int32_t>& aMembers);
  /// Gateways that the leader named last and that are not known here.
  size_t UnknownMembers() const { return unknownMembers_; }
  /// Names of the living gateways, this one included, for RecordMembers.
  std::vector<int32_t> MemberHashes(TimeMs aNowMs) const;
  /// True when not everybody hears everybody.
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

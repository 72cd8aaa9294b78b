#pragma once

#include "gateway/EventLog.hpp"
#include "net/EventLoop.hpp"
#include "net/TcpStream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
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
  TimeMs heardMs_ = 0; ///< 0: never
};

/// Datagrams between the gateways (wire/gossip.thrift). Each is self-contained,
/// so loss and reordering need no repair beyond the next one.
class PeerMesh
{
public:
  using Receiver =
    std::function<void(const wire::Gossip& aGossip, const Endpoint& aSender)>;
  /// A peer counts as alive if it was heard within this time.
  static constexpr TimeMs kAliveMs = 2500;

  PeerMesh(EventLoop& aLoop, EventLog& aLog, Receiver aReceiver);
  ~PeerMesh();

  bool Open(const Endpoint& aEndpoint);
  void SendTo(const Endpoint& aPeer, const wire::Gossip& aGossip);
  void SendToAll(const wire::Gossip& aGossip);

  /// From a registration in the store.
  void AddKnown(const std::string& aInstance,
                const Endpoint& aEndpoint,
                int64_t aBootId);
  void NoteHeard(const wire::Gossip& aGossip, const Endpoint& aSender);
  const std::map<std::string, Peer>& Peers() const { return peers_; }
  static bool IsAlive(const Peer& aPeer, TimeMs aNowMs);
  size_t AliveCount(TimeMs aNowMs) const;
  /// Names and failure domains of the peers that are alive.
  std::vector<std::pair<std::string, std::string>> AliveGateways(
    TimeMs aNowMs) const;

private:
  void ReceiveAvailable();
  void SendBytes(const Endpoint& aPeer, std::string_view aBytes);

  EventLoop& loop_;
  EventLog& log_;
  Receiver receiver_;
  IoWatcher watcher_;
  int fd_ = -1;
  std::map<std::string, Peer> peers_;
};

}

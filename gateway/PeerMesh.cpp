#include "gateway/PeerMesh.hpp"

#include "gossip_types.h"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr size_t kMaxDatagramBytes = 65507;

std::string Encode(const wire::Gossip& aGossip)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  aGossip.write(&protocol);
  return buffer->getBufferAsString();
}

bool Decode(std::string_view aBytes, wire::Gossip& aGossip)
{
  const auto buffer = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data())),
    static_cast<uint32_t>(aBytes.size()));
  Protocol protocol(buffer,
                    static_cast<int32_t>(kMaxDatagramBytes),
                    static_cast<int32_t>(kMaxDatagramBytes));
  try {
    aGossip.read(&protocol);
    return true;
  } catch (const apache::thrift::TException&) {
    return false;
  }
}

}

PeerMesh::PeerMesh(EventLoop& aLoop, EventLog& aLog, Receiver aReceiver)
  : loop_(aLoop)
  , log_(aLog)
  , receiver_(std::move(aReceiver))
  , watcher_(aLoop, [this](bool, bool) { ReceiveAvailable(); })
{
}

PeerMesh::~PeerMesh()
{
  if (fd_ >= 0) {
    watcher_.Stop();
    ::close(fd_);
  }
}

bool PeerMesh::Open(const Endpoint& aEndpoint)
{
  fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto address = aEndpoint.ToSockaddr();
  if (fd_ < 0 || ::bind(fd_,
                        reinterpret_cast<const sockaddr*>(&address),
                        sizeof address) != 0) {
    return false;
  }
  watcher_.Set(fd_, true, false);
  return true;
}

void PeerMesh::SendBytes(const Endpoint& aPeer, std::string_view aBytes)
{
  const auto address = aPeer.ToSockaddr();
  // Lost datagrams are made up for by the next ones.
  [[maybe_unused]] const auto sent =
    ::sendto(fd_,
             aBytes.data(),
             aBytes.size(),
             MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
}

void PeerMesh::SendTo(const Endpoint& aPeer, const wire::Gossip& aGossip)
{
  SendBytes(aPeer, detail::Encode(aGossip));
}

void PeerMesh::SendToAll(const wire::Gossip& aGossip)
{
  const auto bytes = detail::Encode(aGossip);
  for (const auto& [instance, peer] : peers_) {
    SendBytes(peer.endpoint_, bytes);
  }
}

void PeerMesh::AddKnown(const std::string& aInstance,
                        const Endpoint& aEndpoint,
                        int64_t aBootId)
{
  auto& peer = peers_[aInstance];
  if (peer.heardMs_ == 0) {
    peer.endpoint_ = aEndpoint;
    peer.bootId_ = aBootId;
  }
}

void PeerMesh::NoteHeard(const wire::Gossip& aGossip, const Endpoint& aSender)
{
  auto& peer = peers_[aGossip.instance];
  peer.endpoint_ = aSender;
  peer.bootId_ = aGossip.bootId;
  peer.term_ = aGossip.term;
  peer.leading_ = aGossip.leading;
  peer.failureDomain_ = aGossip.failureDomain;
  peer.cpuPercent_ = aGossip.cpuPercent;
  peer.heardMs_ = loop_.NowMs();
}

size_t PeerMesh::AliveCount(TimeMs aNowMs) const
{
  return std::ranges::count_if(
    peers_, [&](const auto& aEntry) { return IsAlive(aEntry.second, aNowMs); });
}

std::vector<std::pair<std::string, std::string>> PeerMesh::AliveGateways(
  TimeMs aNowMs) const
{
  std::vector<std::pair<std::string, std::string>> alive;
  for (const auto& [instance, peer] : peers_) {
    if (IsAlive(peer, aNowMs)) {
      alive.emplace_back(instance, peer.failureDomain_);
    }
  }
  return alive;
}

bool PeerMesh::IsAlive(const Peer& aPeer, TimeMs aNowMs)
{
  return aPeer.heardMs_ != 0 && aNowMs - aPeer.heardMs_ < kAliveMs;
}

void PeerMesh::ReceiveAvailable()
{
  constexpr int kMaxDatagramsPerRound = 64;
  static std::array<char, detail::kMaxDatagramBytes> buffer;
  for (int round = 0; round < kMaxDatagramsPerRound; ++round) {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    const auto count = ::recvfrom(fd_,
                                  buffer.data(),
                                  buffer.size(),
                                  0,
                                  reinterpret_cast<sockaddr*>(&address),
                                  &length);
    if (count < 0) {
      return;
    }
    wire::Gossip gossip;
    if (!detail::Decode({ buffer.data(), static_cast<size_t>(count) },
                        gossip)) {
      log_.Write(LogLevel::Warning,
                 "gossip-unreadable",
                 { { "bytes", static_cast<int64_t>(count) } });
      continue;
    }
    const Endpoint sender{ address.sin_addr.s_addr, ntohs(address.sin_port) };
    receiver_(gossip, sender);
  }
}

}

#include "gateway/PeerMesh.hpp"

#include "common/NameCheck.hpp"
#include "common/ShortHash.hpp"
#include "common/Strings.hpp"
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

constexpr int kPortBits = 16;

int64_t PackEndpoint(const Endpoint& aEndpoint)
{
  return static_cast<int64_t>(
    (static_cast<uint64_t>(aEndpoint.ip_) << kPortBits) | aEndpoint.port_);
}

Endpoint UnpackEndpoint(int64_t aPacked)
{
  const auto packed = static_cast<uint64_t>(aPacked);
  return { static_cast<uint32_t>(packed >> kPortBits),
           static_cast<uint16_t>(packed) };
}

int32_t HashOf(std::string_view aInstance)
{
  return static_cast<int32_t>(ShortHash(aInstance));
}

std::string Encode(const wire::Gossip& aGossip)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  aGossip.write(&protocol);
  return buffer->getBufferAsString();
}

bool HasPlainNames(const wire::BackendChange& aChange)
{
  return IsPlainText(aChange.id) && IsPlainText(aChange.serviceName) &&
         IsPlainText(aChange.address) && IsPlainText(aChange.failureDomain);
}

bool HasPlainNames(const wire::Gossip& aGossip)
{
  return IsPlainText(aGossip.instance) && IsPlainText(aGossip.failureDomain) &&
         std::ranges::all_of(aGossip.keys,
                             [](const wire::OwnedKeys& aKeys) {
                               return IsPlainText(aKeys.serviceName) &&
                                      std::ranges::all_of(aKeys.owners,
                                                          IsPlainText);
                             }) &&
         std::ranges::all_of(aGossip.keyCounts,
                             [](const wire::KeyCounts& aCounts) {
                               return IsPlainText(aCounts.serviceName);
                             });
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
    // The registration of another writer spoils no others.
    std::erase_if(aGossip.changes, [](const wire::BackendChange& aChange) {
      return !HasPlainNames(aChange);
    });
    return HasPlainNames(aGossip);
  } catch (const apache::thrift::TException&) {
    return false;
  }
}

}

PeerMesh::PeerMesh(EventLoop& aLoop,
                   EventLog& aLog,
                   std::string aSelf,
                   std::string aDomain,
                   Receiver aReceiver,
                   VersionSource aConfigVersion)
  : loop_(aLoop)
  , log_(aLog)
  , self_(std::move(aSelf))
  , domain_(std::move(aDomain))
  , receiver_(std::move(aReceiver))
  , configVersion_(std::move(aConfigVersion))
  , watcher_(aLoop, [this](bool, bool) { ReceiveDatagrams(); })
  , random_(std::random_device{}())
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
  // The next datagram makes up for one that is lost.
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
  const TimeMs nowMs = loop_.NowMs();
  std::vector<BroadcastTarget> members;
  std::vector<const Peer*> targets;
  for (const auto& [instance, peer] : peers_) {
    members.push_back({ instance,
                        peer.failureDomain_,
                        peer.cpuPercent_,
                        IsAlive(peer, nowMs) });
    targets.push_back(&peer);
  }
  const auto plan = PlanBroadcast(domain_, members);
  const auto bytes = detail::Encode(aGossip);
  for (const auto index : plan.direct_) {
    SendBytes(targets[index]->endpoint_, bytes);
  }
  if (plan.relays_.empty()) {
    return;
  }
  auto relayed = aGossip;
  relayed.passOn = true;
  const auto relayedBytes = detail::Encode(relayed);
  for (const auto index : plan.relays_) {
    SendBytes(targets[index]->endpoint_, relayedBytes);
  }
}

void PeerMesh::SendToDomain(const wire::Gossip& aGossip)
{
  const auto bytes = detail::Encode(aGossip);
  for (const auto& [instance, peer] : peers_) {
    if (peer.failureDomain_ == domain_ && instance != aGossip.instance) {
      SendBytes(peer.endpoint_, bytes);
    }
  }
}

void PeerMesh::SendToRandom(const wire::Gossip& aGossip, size_t aCount)
{
  const TimeMs nowMs = loop_.NowMs();
  std::vector<const Peer*> alive;
  for (const auto& [instance, peer] : peers_) {
    if (IsAlive(peer, nowMs)) {
      alive.push_back(&peer);
    }
  }
  std::vector<const Peer*> sampled;
  std::ranges::sample(alive,
                      std::back_inserter(sampled),
                      static_cast<std::ptrdiff_t>(aCount),
                      random_);
  const auto bytes = detail::Encode(aGossip);
  for (const auto* peer : sampled) {
    SendBytes(peer->endpoint_, bytes);
  }
}

void PeerMesh::RelayToDomain(wire::Gossip aGossip, const Endpoint& aOrigin)
{
  aGossip.passOn = false;
  aGossip.origin = detail::PackEndpoint(aOrigin);
  // The receivers fetch a newer configuration from the relay, which must not
  // announce a version that it does not have.
  aGossip.configVersion = std::min(aGossip.configVersion, configVersion_());
  SendToDomain(aGossip);
}

void PeerMesh::AddRegistered(const std::string& aInstance,
                             const Endpoint& aEndpoint,
                             int64_t aBootId,
                             const std::string& aDomain,
                             int aCpuPercent)
{
  auto& peer = AddPeer(aInstance);
  if (peer.lastHeardMs_ == 0) {
    peer.endpoint_ = aEndpoint;
    peer.bootId_ = aBootId;
    peer.failureDomain_ = aDomain;
    peer.cpuPercent_ = aCpuPercent;
  }
}

Peer& PeerMesh::AddPeer(const std::string& aInstance)
{
  const auto [entry, isNew] = peers_.try_emplace(aInstance);
  if (isNew) {
    namesByHash_[detail::HashOf(aInstance)] = aInstance;
  }
  return entry->second;
}

void PeerMesh::RecordMembers(const std::vector<int32_t>& aMembers)
{
  if (aMembers.empty()) {
    return;
  }
  unknownMembers_ = 0;
  for (const auto hash : aMembers) {
    const auto name = namesByHash_.find(hash);
    if (name != namesByHash_.end()) {
      peers_.at(name->second).listedByLeaderMs_ = loop_.NowMs();
    } else if (hash != detail::HashOf(self_)) {
      ++unknownMembers_;
    }
  }
}

std::vector<int32_t> PeerMesh::MemberHashes(TimeMs aNowMs) const
{
  std::vector<int32_t> hashes{ detail::HashOf(self_) };
  for (const auto& [instance, peer] : peers_) {
    if (IsAlive(peer, aNowMs)) {
      hashes.push_back(detail::HashOf(instance));
    }
  }
  return hashes;
}

void PeerMesh::RecordHeard(const wire::Gossip& aGossip, const Endpoint& aSender)
{
  auto& peer = AddPeer(aGossip.instance);
  peer.endpoint_ = aSender;
  peer.bootId_ = aGossip.bootId;
  peer.term_ = aGossip.term;
  peer.leading_ = aGossip.leading;
  peer.stopping_ = aGossip.stopping;
  peer.failureDomain_ = aGossip.failureDomain;
  peer.cpuPercent_ = aGossip.cpuPercent;
  peer.lastHeardMs_ = loop_.NowMs();
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
  const TimeMs seenMs = std::max(aPeer.lastHeardMs_, aPeer.listedByLeaderMs_);
  return seenMs != 0 && aNowMs - seenMs < kAliveMs;
}

void PeerMesh::ReceiveDatagrams()
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
    const auto origin =
      gossip.origin == 0 ? sender : detail::UnpackEndpoint(gossip.origin);
    receiver_(gossip, origin, sender);
    if (gossip.passOn) {
      RelayToDomain(gossip, origin);
    }
  }
}

}

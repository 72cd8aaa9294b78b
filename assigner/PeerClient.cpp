#include "PeerClient.hpp"

#include "common/Strings.hpp"
#include "rpc/ThriftChannel.hpp"

#include <AssignerPeer.h>

namespace cactuspitch {

namespace detail {

constexpr size_t kQueueCapacity = 16;
/// A later reply would extend no authority, because authority counts from the
/// send time.
constexpr int kCallTimeoutMs = 400;
constexpr int kConnectTimeoutMs = 200;

}

wire::HeartbeatRequest ToWire(const PeerHeartbeat& aHeartbeat,
                              const std::string& aService,
                              int32_t aGroup)
{
  wire::HeartbeatRequest request;
  request.instance = aHeartbeat.from_;
  request.deputy = aHeartbeat.to_;
  request.serviceName = aService;
  request.group = aGroup;
  request.term = aHeartbeat.term_;
  request.storeReachable = aHeartbeat.storeReachable_;
  request.arm = aHeartbeat.arm_;
  request.stopRenewing = aHeartbeat.stopRenewing_;
  return request;
}

PeerHeartbeat FromWire(const wire::HeartbeatRequest& aRequest)
{
  PeerHeartbeat heartbeat;
  heartbeat.from_ = aRequest.instance;
  heartbeat.to_ = aRequest.deputy;
  heartbeat.term_ = aRequest.term;
  heartbeat.storeReachable_ = aRequest.storeReachable;
  heartbeat.arm_ = aRequest.arm;
  heartbeat.stopRenewing_ = aRequest.stopRenewing;
  return heartbeat;
}

wire::HeartbeatResponse ToWire(const PeerHeartbeatReply& aReply)
{
  wire::HeartbeatResponse response;
  response.granted = aReply.granted_;
  response.term = aReply.term_;
  response.armed = aReply.armed_;
  response.storeReachable = aReply.storeReachable_;
  response.stoppedRenewing = aReply.stoppedRenewing_;
  return response;
}

PeerClient::Link::Link(std::string aAddress)
  : address_(std::move(aAddress))
  , ring_(detail::kQueueCapacity)
{
}

PeerClient::PeerClient(ControlLoop& aControl,
                       const FleetDirectory& aDirectory,
                       std::string aSecret)
  : control_(aControl)
  , directory_(aDirectory)
  , secret_(std::move(aSecret))
{
}

PeerClient::~PeerClient()
{
  Stop();
}

void PeerClient::Stop()
{
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  for (const auto& [address, link] : links_) {
    link->ring_.Close();
  }
  for (const auto& [address, link] : links_) {
    link->thread_.join();
  }
  links_.clear();
}

void PeerClient::SendHeartbeat(const ManagedGroup& aGroup,
                               PeerHeartbeat aHeartbeat)
{
  Push({ aGroup.Service(), aGroup.Group(), false, std::move(aHeartbeat) });
}

void PeerClient::ProbePeers(const std::string& aInstance)
{
  for (const auto& group : control_.All()) {
    const auto peers = group->WithLock(
      [](GroupController& aControl) { return aControl.PeersToProbe(); });
    for (const auto& peer : peers) {
      PeerHeartbeat heartbeat;
      heartbeat.from_ = aInstance;
      heartbeat.to_ = peer;
      Push({ group->Service(), group->Group(), true, std::move(heartbeat) });
    }
  }
}

void PeerClient::Push(Job aJob)
{
  const auto address = directory_.AssignerAddress(aJob.heartbeat_.to_);
  const std::lock_guard lock(mutex_);
  if (address.empty() || stopped_) {
    return;
  }
  auto& link = links_[address];
  if (!link) {
    link = std::make_unique<Link>(address);
    link->thread_ = std::thread([this, &link = *link] { Run(link); });
  }
  // The queue to an unresponsive peer fills up, and the newest messages are
  // then dropped. Replies to the older ones extend no authority.
  link->ring_.TryPush(std::move(aJob));
}

void PeerClient::Run(Link& aLink)
{
  constexpr auto kWait = std::chrono::milliseconds(1000);
  ThriftChannel<wire::AssignerPeerClient> channel(
    aLink.address_, detail::kConnectTimeoutMs, detail::kCallTimeoutMs, secret_);
  while (!aLink.ring_.IsClosed()) {
    auto job = aLink.ring_.Pop(kWait);
    if (!job) {
      continue;
    }
    wire::HeartbeatResponse response;
    const auto status = channel.Run([&](wire::AssignerPeerClient& aClient) {
      aClient.Heartbeat(response,
                        ToWire(job->heartbeat_, job->service_, job->group_));
    });
    const auto& peer = job->heartbeat_.to_;
    if (IsConnectionRefused(status)) {
      control_.Post(job->service_,
                    [peer](GroupController& aControl, TimeMs aNowMs, Actions&) {
                      aControl.OnPeerExited(aNowMs, peer);
                    });
    }
    if (!status.ok()) {
      continue;
    }
    PeerHeartbeatReply reply;
    reply.id_ = job->heartbeat_.id_;
    reply.granted_ = response.granted;
    reply.term_ = response.term;
    reply.armed_ = response.armed;
    reply.storeReachable_ = response.storeReachable;
    reply.stoppedRenewing_ = response.stoppedRenewing;
    control_.Post(job->service_,
                  [reply, peer, isProbe = job->isProbe_](
                    GroupController& aControl, TimeMs aNowMs, Actions&) {
                    if (!isProbe) {
                      aControl.OnHeartbeatReply(aNowMs, reply);
                    } else if (reply.term_ > 0) {
                      aControl.OnPeerResponded(aNowMs, peer, reply.term_);
                    }
                  });
  }
}

}

#include "PeerDuty.hpp"

#include "common/Strings.hpp"
#include "rpc/ThriftChannel.hpp"

#include <AssignerPeer.h>

namespace cactuspitch {

namespace detail {

constexpr size_t kQuestions = 16;
/// A later answer would give no right any more: it counts from the send time.
constexpr int kAnswerMs = 400;
constexpr int kConnectMs = 200;

}

wire::HeartbeatRequest ToWire(const PeerQuestion& aQuestion,
                              const std::string& aService,
                              int32_t aGroup)
{
  wire::HeartbeatRequest request;
  request.instance = aQuestion.from_;
  request.deputy = aQuestion.to_;
  request.serviceName = aService;
  request.group = aGroup;
  request.term = aQuestion.term_;
  request.storeReachable = aQuestion.storeReachable_;
  request.arm = aQuestion.arm_;
  request.stopRenewing = aQuestion.stopRenewing_;
  return request;
}

PeerQuestion FromWire(const wire::HeartbeatRequest& aRequest)
{
  PeerQuestion question;
  question.from_ = aRequest.instance;
  question.to_ = aRequest.deputy;
  question.term_ = aRequest.term;
  question.storeReachable_ = aRequest.storeReachable;
  question.arm_ = aRequest.arm;
  question.stopRenewing_ = aRequest.stopRenewing;
  return question;
}

wire::HeartbeatResponse ToWire(const PeerAnswer& aAnswer)
{
  wire::HeartbeatResponse response;
  response.granted = aAnswer.granted_;
  response.term = aAnswer.term_;
  response.armed = aAnswer.armed_;
  response.storeReachable = aAnswer.storeReachable_;
  response.stoppedRenewing = aAnswer.stoppedRenewing_;
  return response;
}

PeerDuty::Link::Link(std::string aAddress)
  : address_(std::move(aAddress))
  , ring_(detail::kQuestions)
{
}

PeerDuty::PeerDuty(ControlDuty& aControl,
                   const FleetDirectory& aDirectory,
                   std::string aSecret)
  : control_(aControl)
  , directory_(aDirectory)
  , secret_(std::move(aSecret))
{
}

PeerDuty::~PeerDuty()
{
  Stop();
}

void PeerDuty::Stop()
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

void PeerDuty::Ask(const GroupHost& aHost, PeerQuestion aQuestion)
{
  Push({ aHost.Service(), aHost.Group(), false, std::move(aQuestion) });
}

void PeerDuty::Probe(const std::string& aInstance)
{
  for (const auto& host : control_.All()) {
    const auto peers = host->With(
      [](GroupController& aControl) { return aControl.PeersToProbe(); });
    for (const auto& peer : peers) {
      PeerQuestion question;
      question.from_ = aInstance;
      question.to_ = peer;
      Push({ host->Service(), host->Group(), true, std::move(question) });
    }
  }
}

void PeerDuty::Push(Job aJob)
{
  const auto address = directory_.AssignerAddress(aJob.question_.to_);
  const std::lock_guard lock(mutex_);
  if (address.empty() || stopped_) {
    return;
  }
  auto& link = links_[address];
  if (!link) {
    link = std::make_unique<Link>(address);
    link->thread_ = std::thread([this, &link = *link] { Run(link); });
  }
  // A silent peer's queue fills; the newest questions are then dropped, and
  // answers to old ones give no right.
  link->ring_.TryPush(std::move(aJob));
}

void PeerDuty::Run(Link& aLink)
{
  constexpr auto kWait = std::chrono::milliseconds(1000);
  ThriftChannel<wire::AssignerPeerClient> channel(
    aLink.address_, detail::kConnectMs, detail::kAnswerMs, secret_);
  while (!aLink.ring_.IsClosed()) {
    auto job = aLink.ring_.Pop(kWait);
    if (!job) {
      continue;
    }
    wire::HeartbeatResponse response;
    const auto status = channel.Run([&](wire::AssignerPeerClient& aClient) {
      aClient.Heartbeat(response,
                        ToWire(job->question_, job->service_, job->group_));
    });
    const auto& peer = job->question_.to_;
    if (IsConnectionRefused(status)) {
      control_.Post(job->service_,
                    [peer](GroupController& aControl, TimeMs aNowMs, Actions&) {
                      aControl.OnPeerGone(aNowMs, peer);
                    });
    }
    if (!status.ok()) {
      continue;
    }
    PeerAnswer answer;
    answer.id_ = job->question_.id_;
    answer.granted_ = response.granted;
    answer.term_ = response.term;
    answer.armed_ = response.armed;
    answer.storeReachable_ = response.storeReachable;
    answer.stoppedRenewing_ = response.stoppedRenewing;
    control_.Post(job->service_,
                  [answer, peer, isProbe = job->isProbe_](
                    GroupController& aControl, TimeMs aNowMs, Actions&) {
                    if (!isProbe) {
                      aControl.OnAnswer(aNowMs, answer);
                    } else if (answer.term_ > 0) {
                      aControl.OnPeerSeen(aNowMs, peer, answer.term_);
                    }
                  });
  }
}

}

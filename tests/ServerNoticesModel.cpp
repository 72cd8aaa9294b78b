#include "tests/ServerNoticesModel.hpp"

#include "common/Strings.hpp"
#include "policy/PreferredServers.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace {

constexpr TimeMs kSecondMs = 1000;
constexpr int64_t kUsPerMs = 1000;
/// Time from the first leaving notice in a server's responses to the draining
/// state in its registration.
constexpr TimeMs kRegistrationLagMs = 3000;
/// A server ends so long after the drain time.
constexpr TimeMs kShutdownDelayMs = 1000;
constexpr TimeMs kReplacementDelayMs = 1000;
/// Pauses and replacements begin after this, when gateways know the loads.
constexpr TimeMs kWarmupMs = 2000;
constexpr TimeMs kPeerDelayMs = 100;
constexpr TimeMs kRegistrationDelayMs = 400;
constexpr TimeMs kLoadReportIntervalMs = 500;
constexpr TimeMs kQueueIntervalMs = 10;
constexpr TimeMs kNoticeAllowanceMs = 500;
constexpr int kAllowedInPause = 2;
constexpr int kMaxAttempts = 3;
constexpr int kMaxCallerRetries = 2;
constexpr int kDomains = 4;
constexpr size_t kSampleSize = 6;
constexpr int kPausingShare = 10; ///< one of so many servers pauses
/// Servers of a release that are being replaced at the same time.
constexpr double kReleaseShare = 0.04;
constexpr double kShortestPauseMs = 1000;
constexpr double kLongestPauseMs = 10000;
constexpr size_t kBytes = 2048;

std::vector<NodeLocation> NodeLocations(char aKind, size_t aCount)
{
  std::vector<NodeLocation> names;
  for (size_t index = 0; index < aCount; ++index) {
    names.emplace_back(Concat(std::string(1, aKind), index),
                       Concat("z", index % kDomains));
  }
  return names;
}

}

ServerNoticesModel::Result& ServerNoticesModel::Result::operator+=(
  const Result& aOther)
{
  requests_ += aOther.requests_;
  served_ += aOther.served_;
  late_ += aOther.late_;
  refused_ += aOther.refused_;
  lost_ += aOther.lost_;
  sentAfterLeavingNotice_ += aOther.sentAfterLeavingNotice_;
  sentInPause_ += aOther.sentInPause_;
  shedAfterPause_ += aOther.shedAfterPause_;
  return *this;
}

ServerNoticesModel::ServerNoticesModel(Options aOptions, uint32_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
  , workload_(aSeed + 1)
  , servers_(static_cast<size_t>(aOptions.servers_))
  , gateways_(static_cast<size_t>(aOptions.gateways_))
{
  const auto gatewayNames = NodeLocations('g', gateways_.size());
  const auto serverNames = NodeLocations('s', servers_.size());
  for (size_t index = 0; index < gateways_.size(); ++index) {
    auto& gateway = gateways_[index];
    gateway.views_.assign(servers_.size(), NewView());
    const auto preferredServers =
      PreferredServers(gatewayNames[index].first, gatewayNames, serverNames);
    for (size_t server = 0; server < servers_.size(); ++server) {
      if (preferredServers.contains(serverNames[server].first)) {
        gateway.preferredServers_.push_back(server);
      }
    }
  }
}

ServerNoticesModel::View ServerNoticesModel::NewView() const
{
  View view;
  view.load_.SetSlots(options_.slots_);
  view.load_.SetDefaultServiceTimeMs(options_.serviceTimeMs_);
  return view;
}

ServerNoticesModel::Result ServerNoticesModel::Run()
{
  const TimeMs endMs = options_.seconds_ * kSecondMs;
  const auto concurrentReplacements =
    std::max(1.0, kReleaseShare * static_cast<double>(servers_.size()));
  const auto replacementIntervalMs = static_cast<TimeMs>(
    static_cast<double>(kRegistrationLagMs + options_.drainMs_ +
                        kShutdownDelayMs + kReplacementDelayMs) /
    concurrentReplacements);
  for (size_t server = 0; server < servers_.size(); ++server) {
    After(kWarmupMs + static_cast<TimeMs>(server) * replacementIntervalMs,
          [this, server] { StartReplacement(server); });
    if (server % kPausingShare == 0) {
      After(kWarmupMs + static_cast<TimeMs>(RandomBetween(
                          workload_, 0, static_cast<double>(endMs) / 2)),
            [this, server] { StartPause(server); });
    }
  }
  ReportLoads();
  SendNextCall();
  events_.RunUntil((endMs + options_.deadlineMs_) * kUsPerMs);
  return result_;
}

void ServerNoticesModel::StartReplacement(size_t aServer)
{
  servers_[aServer].leaving_ = true;
  After(kRegistrationLagMs, [this, aServer] {
    servers_[aServer].draining_ = true;
    for (auto& gateway : gateways_) {
      After(
        static_cast<TimeMs>(RandomBetween(0, kRegistrationDelayMs)),
        [&view = gateway.views_[aServer]] { view.acceptsRequests_ = false; });
    }
  });
  After(kRegistrationLagMs + options_.drainMs_ + kShutdownDelayMs,
        [this, aServer] {
          auto& server = servers_[aServer];
          result_.lost_ += server.running_ + std::ssize(server.waiting_);
          const int nextIncarnation = server.incarnation_ + 1;
          server = {};
          server.incarnation_ = nextIncarnation;
          server.up_ = false;
        });
  After(kRegistrationLagMs + options_.drainMs_ + kShutdownDelayMs +
          kReplacementDelayMs,
        [this, aServer] {
          servers_[aServer].up_ = true;
          for (auto& gateway : gateways_) {
            gateway.views_[aServer] = NewView();
          }
        });
}

void ServerNoticesModel::StartPause(size_t aServer)
{
  auto& server = servers_[aServer];
  const auto pauseMs = static_cast<TimeMs>(
    RandomBetween(workload_, kShortestPauseMs, kLongestPauseMs));
  server.pauseEndMs_ = events_.NowMs() + pauseMs;
}

void ServerNoticesModel::ReportLoads()
{
  for (size_t server = 0; server < servers_.size(); ++server) {
    const auto load = static_cast<double>(
      servers_[server].running_ + std::ssize(servers_[server].waiting_));
    for (auto& gateway : gateways_) {
      gateway.views_[server].load_.OnSharedReport(load, 0, events_.NowMs());
    }
  }
  if (events_.NowMs() < options_.seconds_ * kSecondMs) {
    After(kLoadReportIntervalMs, [this] { ReportLoads(); });
  }
}

void ServerNoticesModel::SendNextCall()
{
  if (events_.NowMs() >= options_.seconds_ * kSecondMs) {
    return;
  }
  auto call = std::make_shared<Call>();
  call->sentMs_ = call->receivedMs_ = events_.NowMs();
  ++result_.requests_;
  Dispatch(RandomIndex(gateways_.size()), call);
  const double perMs = options_.load_ * options_.servers_ * options_.slots_ /
                       options_.serviceTimeMs_;
  std::exponential_distribution<double> gapMs(perMs);
  events_.After(gapMs(workload_) * kUsPerMs, [this] { SendNextCall(); });
}

std::vector<size_t> ServerNoticesModel::Candidates(const GatewayState& aGateway)
{
  std::vector<size_t> candidates;
  const auto add = [&](size_t aServer) {
    const auto& view = aGateway.views_[aServer];
    const bool leaves =
      options_.obeysLeavingNotices_ && view.leavingNoticeMs_ != 0;
    const bool pauses =
      options_.obeysPauses_ && view.pause_.IsActive(events_.NowMs());
    if (view.acceptsRequests_ && !leaves && !pauses &&
        std::ranges::find(candidates, aServer) == candidates.end()) {
      candidates.push_back(aServer);
    }
  };
  std::ranges::for_each(aGateway.preferredServers_, add);
  for (size_t draw = 0; draw < kSampleSize; ++draw) {
    add(RandomIndex(servers_.size()));
  }
  return candidates;
}

void ServerNoticesModel::Dispatch(size_t aGateway, const CallPtr& aCall)
{
  auto& gateway = gateways_[aGateway];
  const TimeMs nowMs = events_.NowMs();
  const auto servers = Candidates(gateway);
  std::vector<PlacementCandidate> candidates;
  for (const auto server : servers) {
    const auto& view = gateway.views_[server];
    PlacementCandidate candidate;
    candidate.expectedMs_ = view.load_.ExpectedMs(nowMs);
    candidate.serviceTimeMs_ = view.load_.ServiceTimeMs(nowMs);
    candidate.failureShare_ = view.load_.FailureShare(nowMs);
    candidate.sameDomain_ = aGateway % kDomains == server % kDomains;
    candidate.preferred_ =
      std::ranges::find(gateway.preferredServers_, server) !=
      gateway.preferredServers_.end();
    candidate.full_ = options_.obeysPauses_ &&
                      view.pause_.IsFull(static_cast<size_t>(view.inFlight_));
    candidate.tried_ = aCall->tried_.contains(server);
    candidates.push_back(candidate);
  }
  const TimeMs remainingMs = aCall->sentMs_ + options_.deadlineMs_ - nowMs;
  const auto decision = Place(
    placement_,
    { remainingMs, options_.objectiveMs_, nowMs - aCall->receivedMs_, kBytes },
    candidates);
  switch (decision.verdict_) {
    case PlacementVerdict::Send:
      Send(aGateway, servers[decision.index_], aCall);
      break;
    case PlacementVerdict::Wait:
      After(kQueueIntervalMs,
            [this, aGateway, aCall] { Dispatch(aGateway, aCall); });
      break;
    default:
      Refuse(aCall, decision.retryAfterMs_);
  }
}

void ServerNoticesModel::Refuse(const CallPtr& aCall, TimeMs aRetryAfterMs)
{
  const TimeMs nowMs = events_.NowMs();
  const TimeMs retryAtMs = nowMs + aRetryAfterMs;
  if (aCall->callerRetries_ >= kMaxCallerRetries ||
      retryAtMs >= aCall->sentMs_ + options_.deadlineMs_) {
    ++result_.refused_;
    return;
  }
  ++aCall->callerRetries_;
  After(aRetryAfterMs, [this, aCall] {
    aCall->receivedMs_ = events_.NowMs();
    aCall->attempts_ = 0;
    aCall->tried_.clear();
    Dispatch(RandomIndex(gateways_.size()), aCall);
  });
}

void ServerNoticesModel::Send(size_t aGateway,
                              size_t aServer,
                              const CallPtr& aCall)
{
  auto& gateway = gateways_[aGateway];
  auto& view = gateway.views_[aServer];
  if (aCall->attempts_++ == 0) {
    gateway.budget_.OnRequest();
  }
  view.load_.OnSent();
  ++view.inFlight_;
  After(1, [this, aGateway, aServer, aCall] {
    OnArrival(aGateway, aServer, aCall);
  });
}

void ServerNoticesModel::CountArrival(View& aView)
{
  const TimeMs nowMs = events_.NowMs();
  if (aView.leavingNoticeMs_ != 0 &&
      nowMs > aView.leavingNoticeMs_ + options_.drainMs_) {
    ++result_.sentAfterLeavingNotice_;
  }
  if (nowMs > aView.pauseStartMs_ + kNoticeAllowanceMs &&
      nowMs < aView.pauseUntilMs_ && ++aView.sentInPause_ > kAllowedInPause) {
    ++result_.sentInPause_;
  }
}

void ServerNoticesModel::OnArrival(size_t aGateway,
                                   size_t aServer,
                                   const CallPtr& aCall)
{
  auto& server = servers_[aServer];
  const TimeMs nowMs = events_.NowMs();
  if (!server.up_) {
    OnNotExecuted(aGateway, aServer, aCall, 0);
    return;
  }
  CountArrival(gateways_[aGateway].views_[aServer]);
  if (nowMs < server.pauseEndMs_) {
    // The remaining time, rounded up to whole seconds as in Retry-After.
    const TimeMs remainingMs = server.pauseEndMs_ - nowMs;
    OnNotExecuted(aGateway,
                  aServer,
                  aCall,
                  (remainingMs + kSecondMs - 1) / kSecondMs * kSecondMs);
  } else if (server.running_ < options_.slots_) {
    StartWork(aGateway, aServer, aCall);
  } else if (std::ssize(server.waiting_) < options_.slots_) {
    server.waiting_.emplace_back(aCall, aGateway);
  } else {
    if (server.pauseEndMs_ != 0 && nowMs < server.pauseEndMs_ + kSecondMs) {
      ++result_.shedAfterPause_;
    }
    OnNotExecuted(aGateway, aServer, aCall, 0);
  }
}

void ServerNoticesModel::StartWork(size_t aGateway,
                                   size_t aServer,
                                   const CallPtr& aCall)
{
  auto& server = servers_[aServer];
  ++server.running_;
  const auto serviceTimeMs = static_cast<TimeMs>(RandomBetween(
    options_.serviceTimeMs_ / 2, options_.serviceTimeMs_ * 3 / 2));
  After(serviceTimeMs,
        [this, aGateway, aServer, incarnation = server.incarnation_, aCall] {
          OnWorkDone(aGateway, aServer, incarnation, aCall);
        });
}

void ServerNoticesModel::OnWorkDone(size_t aGateway,
                                    size_t aServer,
                                    int aIncarnation,
                                    const CallPtr& aCall)
{
  auto& server = servers_[aServer];
  if (server.incarnation_ != aIncarnation) {
    return; // lost when its server ended
  }
  --server.running_;
  auto& view = gateways_[aGateway].views_[aServer];
  const TimeMs nowMs = events_.NowMs();
  const TimeMs tookMs = nowMs - aCall->receivedMs_;
  --view.inFlight_;
  view.load_.OnEnded();
  view.load_.OnResponse(
    static_cast<double>(tookMs), view.load_.Load(nowMs), nowMs);
  view.load_.OnReport({ server.running_,
                        static_cast<int>(server.waiting_.size()),
                        options_.slots_ },
                      nowMs);
  view.pause_.OnRequestSucceeded(aCall->receivedMs_, options_.slots_);
  if (server.leaving_) {
    RecordLeavingNotice(aGateway, aServer);
  }
  ++result_.served_;
  if (nowMs - aCall->sentMs_ > options_.objectiveMs_) {
    ++result_.late_;
  }
  if (!server.waiting_.empty()) {
    const auto [call, gateway] = server.waiting_.front();
    server.waiting_.erase(server.waiting_.begin());
    StartWork(gateway, aServer, call);
  }
}

void ServerNoticesModel::OnNotExecuted(size_t aGateway,
                                       size_t aServer,
                                       const CallPtr& aCall,
                                       TimeMs aPauseMs)
{
  auto& gateway = gateways_[aGateway];
  auto& view = gateway.views_[aServer];
  const TimeMs nowMs = events_.NowMs();
  view.inFlight_ = std::max(0, view.inFlight_ - 1);
  view.load_.OnEnded();
  view.load_.OnShed(nowMs);
  if (servers_[aServer].leaving_) {
    RecordLeavingNotice(aGateway, aServer);
  }
  if (aPauseMs > 0) {
    view.pause_.Begin(aPauseMs, RandomBetween(0, 1), nowMs);
    if (nowMs >= view.pauseUntilMs_) {
      view.pauseStartMs_ = nowMs;
      view.sentInPause_ = 0;
    }
    view.pauseUntilMs_ = std::max(view.pauseUntilMs_, nowMs + aPauseMs);
  }
  aCall->tried_.insert(aServer);
  if (aCall->attempts_ < kMaxAttempts && gateway.budget_.TryTake()) {
    Dispatch(aGateway, aCall);
  } else {
    Refuse(aCall, placement_.minRetryAfterMs_);
  }
}

void ServerNoticesModel::RecordLeavingNotice(size_t aGateway, size_t aServer)
{
  auto& own = gateways_[aGateway].views_[aServer];
  if (own.leavingNoticeMs_ != 0) {
    return;
  }
  own.leavingNoticeMs_ = events_.NowMs();
  if (!options_.obeysLeavingNotices_) {
    return;
  }
  const auto incarnation = servers_[aServer].incarnation_;
  for (auto& gateway : gateways_) {
    After(static_cast<TimeMs>(RandomBetween(0, kPeerDelayMs)),
          [this, &view = gateway.views_[aServer], aServer, incarnation] {
            if (servers_[aServer].incarnation_ == incarnation &&
                view.leavingNoticeMs_ == 0) {
              view.leavingNoticeMs_ = events_.NowMs();
            }
          });
  }
}

size_t ServerNoticesModel::RandomIndex(size_t aCount)
{
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(random_);
}

double ServerNoticesModel::RandomBetween(double aLow, double aHigh)
{
  return RandomBetween(random_, aLow, aHigh);
}

double ServerNoticesModel::RandomBetween(std::mt19937& aRandom,
                                         double aLow,
                                         double aHigh)
{
  return std::uniform_real_distribution<double>(aLow, aHigh)(aRandom);
}

void ServerNoticesModel::After(TimeMs aDelayMs, EventQueue::Action aAction)
{
  events_.After(static_cast<double>(aDelayMs) * kUsPerMs, std::move(aAction));
}

}

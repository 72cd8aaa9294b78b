#include "tests/RequestLimitModel.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace {

constexpr uint32_t kServer = 4711;
constexpr TimeMs kSecondMs = 1000;
constexpr double kMsPerSecond = 1000;
constexpr double kUsPerMs = 1000;
constexpr TimeMs kLimitStartMs = 3000;
constexpr TimeMs kAfterEndMs = 6000;
/// The rule: requests in a window, from gateways that were told some time
/// before, from some time after the first naming on.
constexpr TimeMs kWindowMs = 4000;
constexpr TimeMs kToldMs = 500;
constexpr TimeMs kStableMs = 3000;
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
constexpr TimeMs kServiceTimeMs = 60;
constexpr TimeMs kServerDelayMs = 1;
constexpr TimeMs kQueueIntervalMs = 10;
constexpr TimeMs kGossipIntervalMs = 250;
constexpr TimeMs kElectionMs = 900;
constexpr TimeMs kBurstMs = 100;
constexpr size_t kMaxNotices = 24;

}

RequestLimitModel::RequestLimitModel(Options aOptions, uint32_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
  , gateways_(static_cast<size_t>(aOptions.gateways_))
  , leader_(0)
{
  for (size_t index = 0; index < gateways_.size(); ++index) {
    Reset(index);
  }
  TimeMs atMs = kLimitStartMs;
  limits_.emplace_back(atMs, options_.limit_);
  while (options_.changes_ && atMs < kLimitStartMs + options_.limitedMs_) {
    atMs += Random(2000, 6000);
    std::uniform_real_distribution<double> factor(0.4, 2);
    limits_.emplace_back(atMs, options_.limit_ * factor(random_));
  }
}

void RequestLimitModel::Reset(size_t aGateway)
{
  auto& gateway = gateways_[aGateway];
  gateway = {};
  gateway.limiter_ = std::make_unique<RequestLimiter>(
    RequestLimiter::Handlers{
      [this, aGateway] { return ViewOf(aGateway); },
      [this, aGateway] {
        auto& own = gateways_[aGateway];
        if (!std::exchange(own.requestsScheduled_, true)) {
          After(0, [this, aGateway] { SendRequests(aGateway); });
        }
      } },
    static_cast<uint32_t>(random_()));
  gateway.tokens_ = std::uniform_real_distribution(0.0, 1.0)(random_);
}

bool RequestLimitModel::IsReachable(size_t aGateway) const
{
  const auto& gateway = gateways_[aGateway];
  return gateway.up_ && !gateway.cut_ &&
         gateway.frozenUntilMs_ <= events_.NowMs();
}

RequestLimiter::FleetView RequestLimitModel::ViewOf(size_t aGateway) const
{
  if (leader_ == aGateway) {
    // A leader that hears less than half of the others issues no permits.
    return { gateways_[aGateway].cut_ ? PermitIssuer::None : PermitIssuer::Self,
             gateways_.size() };
  }
  const bool knows = leader_ && !gateways_[aGateway].cut_;
  return { knows ? PermitIssuer::Leader : PermitIssuer::None,
           gateways_.size() };
}

void RequestLimitModel::Deliver(size_t aFrom,
                                size_t aTo,
                                std::function<void()> aAction)
{
  if (!IsReachable(aFrom) ||
      std::bernoulli_distribution(options_.loss_)(random_)) {
    return;
  }
  After(Random(1, 8), [this, aTo, action = std::move(aAction)] {
    if (IsReachable(aTo)) {
      action();
    }
  });
}

void RequestLimitModel::SendNotices(size_t aFrom)
{
  if (!leader_) {
    return;
  }
  const TimeMs nowMs = events_.NowMs();
  const auto notices =
    gateways_[aFrom].limiter_->TakeNotices(kMaxNotices, nowMs);
  const auto send = [&](size_t aTo) {
    Deliver(aFrom, aTo, [this, aTo, notices, nowMs] {
      // Dated by its age on arrival, as in datagrams.
      const TimeMs tookMs = events_.NowMs() - nowMs;
      bool changed = false;
      for (auto notice : notices) {
        notice.shownMs_ += tookMs;
        changed |= gateways_[aTo].limiter_->Merge(notice, events_.NowMs()) !=
                   LimitChange::None;
      }
      if (changed && leader_ == aTo) {
        SendNotices(aTo);
      }
    });
  };
  if (leader_ != aFrom) {
    send(*leader_);
    return;
  }
  for (size_t to = 0; to < gateways_.size(); ++to) {
    if (to != aFrom) {
      send(to);
    }
  }
}

void RequestLimitModel::TickLeader()
{
  if (leader_ && IsReachable(*leader_)) {
    SendNotices(*leader_);
  }
  After(kGossipIntervalMs, [this] { TickLeader(); });
}

void RequestLimitModel::SendRequests(size_t aGateway)
{
  auto& gateway = gateways_[aGateway];
  gateway.requestsScheduled_ = false;
  const auto requests = gateway.limiter_->TakeRequests();
  if (!leader_ || requests.empty()) {
    return;
  }
  SendNotices(aGateway);
  const auto leader = *leader_;
  Deliver(aGateway, leader, [this, aGateway, leader, requests] {
    for (const auto& request : requests) {
      if (leader_ != leader) {
        return;
      }
      const auto reply =
        gateways_[leader].limiter_->Issue(request, events_.NowMs());
      Deliver(leader, aGateway, [this, aGateway, reply] {
        gateways_[aGateway].limiter_->OnReply(reply, events_.NowMs());
      });
    }
  });
}

void RequestLimitModel::Elect()
{
  leader_.reset();
  After(kElectionMs, [this] {
    for (size_t index = 0; index < gateways_.size() && !leader_; ++index) {
      if (IsReachable(index)) {
        leader_ = index;
        gateways_[index].limiter_->ResetIssuer();
      }
    }
    if (!leader_) {
      Elect();
    }
  });
}

void RequestLimitModel::DrawFault()
{
  After(Random(400, 2500), [this] { DrawFault(); });
  // Every second fault hits the leader.
  const auto victim = leader_ && Random(0, 1) == 0
                        ? *leader_
                        : static_cast<size_t>(Random(
                            0, static_cast<TimeMs>(gateways_.size()) - 1));
  if (!IsReachable(victim)) {
    return;
  }
  auto& gateway = gateways_[victim];
  gateway.disturbedMs_ = events_.NowMs();
  const bool led = leader_ == victim;
  const TimeMs durationMs = Random(200, 3000);
  switch (Random(0, 2)) {
    case 0:
      Reset(victim);
      gateway.disturbedMs_ = events_.NowMs();
      gateway.up_ = false;
      After(durationMs, [&gateway] { gateway.up_ = true; });
      break;
    case 1:
      gateway.frozenUntilMs_ = events_.NowMs() + durationMs;
      break;
    default:
      gateway.cut_ = true;
      After(durationMs, [&gateway] { gateway.cut_ = false; });
  }
  After(durationMs,
        [this, &gateway] { gateway.disturbedMs_ = events_.NowMs(); });
  if (led && durationMs > kElectionMs) {
    Elect();
  }
}

std::optional<double> RequestLimitModel::LimitAt(TimeMs aAtMs) const
{
  if (aAtMs < kLimitStartMs || aAtMs >= kLimitStartMs + options_.limitedMs_) {
    return std::nullopt;
  }
  const auto next = std::ranges::upper_bound(
    limits_, aAtMs, {}, &std::pair<TimeMs, double>::first);
  return std::prev(next)->second;
}

double RequestLimitModel::LimitIntegral(TimeMs aFromMs, TimeMs aToMs) const
{
  constexpr TimeMs kStepMs = 10;
  double sum = 0;
  for (TimeMs atMs = aFromMs; atMs < aToMs; atMs += kStepMs) {
    sum += LimitAt(atMs).value_or(0) * kStepMs / kMsPerSecond;
  }
  return sum;
}

PermitVerdict RequestLimitModel::PassPermits(size_t aGateway, uint64_t aCall)
{
  auto& limiter = *gateways_[aGateway].limiter_;
  const auto decision = limiter.Check(kServer, aCall, events_.NowMs());
  if (decision.verdict_ == PermitVerdict::Available) {
    limiter.Take(kServer);
  }
  return decision.verdict_;
}

PermitVerdict RequestLimitModel::PassEqualShare(size_t aGateway, uint64_t)
{
  auto& gateway = gateways_[aGateway];
  const TimeMs nowMs = events_.NowMs();
  const auto limit = LimitAt(nowMs);
  if (!limit || !gateway.toldMs_) {
    return PermitVerdict::Unlimited;
  }
  const double share = *limit / static_cast<double>(gateways_.size());
  gateway.tokens_ = std::min(
    1.0,
    gateway.tokens_ +
      share * static_cast<double>(nowMs - gateway.tokensAtMs_) / kMsPerSecond);
  gateway.tokensAtMs_ = nowMs;
  if (gateway.tokens_ < 1) {
    return PermitVerdict::Denied;
  }
  gateway.tokens_ -= 1;
  return PermitVerdict::Available;
}

PermitVerdict RequestLimitModel::PassRandomDrop(size_t aGateway, uint64_t)
{
  const auto limit = LimitAt(events_.NowMs());
  if (!limit || !gateways_[aGateway].toldMs_) {
    return PermitVerdict::Unlimited;
  }
  const double passes = std::min(1.0, *limit / options_.offered_);
  return std::bernoulli_distribution(passes)(random_) ? PermitVerdict::Available
                                                      : PermitVerdict::Denied;
}

PermitVerdict RequestLimitModel::PassAll(size_t, uint64_t)
{
  return PermitVerdict::Unlimited;
}

void RequestLimitModel::Dispatch(size_t aGateway,
                                 uint64_t aCall,
                                 TimeMs aReceivedMs)
{
  static constexpr MayPass kPolicies[] = { &RequestLimitModel::PassPermits,
                                           &RequestLimitModel::PassEqualShare,
                                           &RequestLimitModel::PassRandomDrop,
                                           &RequestLimitModel::PassAll };
  static_assert(std::size(kPolicies) ==
                static_cast<size_t>(LimitPolicy::Count));
  const TimeMs nowMs = events_.NowMs();
  const auto& gateway = gateways_[aGateway];
  if (!gateway.up_) {
    return;
  }
  if (gateway.frozenUntilMs_ > nowMs) {
    After(gateway.frozenUntilMs_ - nowMs, [this, aGateway, aCall] {
      Dispatch(aGateway, aCall, events_.NowMs());
    });
    return;
  }
  const auto mayPass = kPolicies[static_cast<size_t>(options_.policy_)];
  const auto verdict = (this->*mayPass)(aGateway, aCall);
  if (verdict == PermitVerdict::Pending) {
    After(kQueueIntervalMs, [this, aGateway, aCall, aReceivedMs] {
      Dispatch(aGateway, aCall, aReceivedMs);
    });
    return;
  }
  result_.longestWaitMs_ =
    std::max(result_.longestWaitMs_, static_cast<double>(nowMs - aReceivedMs));
  if (verdict == PermitVerdict::Denied) {
    ++result_.refused_;
    return;
  }
  ++result_.sent_;
  After(kServerDelayMs,
        [this, aGateway, nowMs] { OnArrival(aGateway, nowMs); });
}

void RequestLimitModel::OnArrival(size_t aGateway, TimeMs aSentMs)
{
  const TimeMs nowMs = events_.NowMs();
  const auto& gateway = gateways_[aGateway];
  const bool told = gateway.toldMs_ && nowMs >= *gateway.toldMs_ + kToldMs;
  const bool disturbed =
    !IsReachable(aGateway) || nowMs - gateway.disturbedMs_ < kStableMs;
  arrivals_.push_back({ nowMs, told && !disturbed });
  After(kServiceTimeMs, [this, aGateway, aSentMs] {
    const auto named = LimitAt(events_.NowMs());
    After(kServerDelayMs, [this, aGateway, aSentMs, named] {
      OnAnswer(aGateway, named, aSentMs);
    });
  });
}

void RequestLimitModel::OnAnswer(size_t aGateway,
                                 std::optional<double> aNamed,
                                 TimeMs aSentMs)
{
  auto& gateway = gateways_[aGateway];
  const TimeMs nowMs = events_.NowMs();
  if (!gateway.up_) {
    return;
  }
  if (gateway.frozenUntilMs_ > nowMs) {
    After(gateway.frozenUntilMs_ - nowMs, [this, aGateway, aNamed, aSentMs] {
      OnAnswer(aGateway, aNamed, aSentMs);
    });
    return;
  }
  if (aNamed && !gateway.toldMs_) {
    gateway.toldMs_ = nowMs;
  }
  if (gateway.limiter_->OnAnswer(kServer, aNamed, aSentMs, nowMs) !=
      LimitChange::None) {
    SendNotices(aGateway);
  }
}

void RequestLimitModel::SendNextCall()
{
  if (events_.NowMs() >= kLimitStartMs + options_.limitedMs_ + kAfterEndMs) {
    return;
  }
  const auto last = static_cast<TimeMs>(gateways_.size()) - 1;
  // Callers reach another gateway if theirs is down.
  auto gateway =
    options_.oneGateway_ ? size_t{ 0 } : static_cast<size_t>(Random(0, last));
  if (!gateways_[gateway].up_) {
    gateway = static_cast<size_t>(Random(0, last));
  }
  Dispatch(gateway, ++calls_, events_.NowMs());
  std::exponential_distribution<double> gapMs(options_.offered_ / kMsPerSecond);
  events_.After(gapMs(random_) * kUsPerMs, [this] { SendNextCall(); });
}

RequestLimitModel::Result RequestLimitModel::Evaluate() const
{
  auto result = result_;
  const TimeMs endMs = kLimitStartMs + options_.limitedMs_;
  constexpr TimeMs kStepMs = 20;
  for (TimeMs fromMs = kLimitStartMs + kStableMs; fromMs + kWindowMs <= endMs;
       fromMs += kStepMs) {
    const auto counted =
      std::ranges::count_if(arrivals_, [&](const Arrival& aArrival) {
        return aArrival.counts_ && aArrival.atMs_ >= fromMs &&
               aArrival.atMs_ < fromMs + kWindowMs;
      });
    const double allowed =
      kAllowedFactor * LimitIntegral(fromMs, fromMs + kWindowMs) +
      kAllowedExtra;
    result.worstExcess_ =
      std::max(result.worstExcess_, static_cast<double>(counted) - allowed);
    ++result.windows_;
  }
  const auto countBetween = [&](TimeMs aFromMs, TimeMs aToMs) {
    return std::ranges::count_if(arrivals_, [&](const Arrival& aArrival) {
      return aArrival.atMs_ >= aFromMs && aArrival.atMs_ < aToMs;
    });
  };
  const TimeMs settledMs = kLimitStartMs + kSecondMs;
  result.used_ = static_cast<double>(countBetween(settledMs, endMs)) /
                 LimitIntegral(settledMs, endMs);
  const TimeMs halfMs = (kLimitStartMs + endMs) / 2;
  result.toldUsed_ = static_cast<double>(std::ranges::count_if(
                       arrivals_,
                       [&](const Arrival& aArrival) {
                         return aArrival.counts_ && aArrival.atMs_ >= halfMs &&
                                aArrival.atMs_ < endMs;
                       })) /
                     LimitIntegral(halfMs, endMs);
  for (TimeMs fromMs = endMs; fromMs < endMs + kAfterEndMs;
       fromMs += kBurstMs) {
    result.burstAfterEnd_ = std::max<int64_t>(
      result.burstAfterEnd_, countBetween(fromMs, fromMs + kBurstMs));
  }
  constexpr TimeMs kRateMs = 2000;
  result.rateAfterRecovery_ =
    static_cast<double>(
      countBetween(endMs + kAfterEndMs - kRateMs, endMs + kAfterEndMs)) *
    kMsPerSecond / kRateMs;
  return result;
}

RequestLimitModel::Result RequestLimitModel::Run()
{
  if (options_.leaderless_) {
    leader_.reset();
  }
  TickLeader();
  SendNextCall();
  if (options_.faults_) {
    DrawFault();
  }
  events_.RunUntil(
    static_cast<double>(kLimitStartMs + options_.limitedMs_ + kAfterEndMs) *
    kUsPerMs);
  return Evaluate();
}

void RequestLimitModel::After(TimeMs aDelayMs, EventQueue::Action aAction)
{
  events_.After(static_cast<double>(aDelayMs) * kUsPerMs, std::move(aAction));
}

TimeMs RequestLimitModel::Random(TimeMs aLow, TimeMs aHigh)
{
  return std::uniform_int_distribution<TimeMs>(aLow, aHigh)(random_);
}

}

#include "gateway/LeaderElection.hpp"

#include "common/JsonField.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kElectionTickMs = 50;
constexpr TimeMs kAcquireRetryMs = 150;
constexpr const char* kLeaderKind = "cactuspitch-leader";
constexpr const char* kLeaderName = "leader";

}

LeaderElection::LeaderElection(EventLoop& aLoop,
                               EventLog& aLog,
                               StoreLink& aStore,
                               const PeerMesh& aPeers,
                               LeaderLife aSelf,
                               int aCpuPercent,
                               std::function<int64_t()> aUnixNowMs,
                               Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , store_(aStore)
  , peers_(aPeers)
  , self_(std::move(aSelf))
  , cpuPercent_(aCpuPercent)
  , unixNowMs_(std::move(aUnixNowMs))
  , handlers_(std::move(aHandlers))
  , timer_(aLoop, [this] { Tick(); })
{
}

void LeaderElection::Start()
{
  heardMs_ = loop_.NowMs();
  timer_.Start(detail::kElectionTickMs);
}

void LeaderElection::OnGossip(const wire::Gossip& aGossip)
{
  highestTerm_ = std::max(highestTerm_, aGossip.term);
  if (aGossip.leading && aGossip.term >= highestTerm_) {
    heardMs_ = loop_.NowMs();
    everHeard_ = true;
    leader_ = aGossip.instance;
    if (state_ == State::Leading && aGossip.term > term_) {
      StepDown("newer leader heard");
    }
  }
  if (aGossip.deadTerm == highestTerm_ && leader_ == aGossip.instance &&
      !aGossip.leading) {
    // The leader has stopped on purpose: nobody needs to wait for silence.
    heardMs_ = std::min(heardMs_, loop_.NowMs() - LeaderTiming::kSilenceMs);
    leader_.clear();
  }
  if (state_ == State::Leading && !earlier_.empty()) {
    const auto before = earlier_.size();
    std::erase_if(earlier_, [&](const LeaderLife& aLife) {
      return aLife.instance_ == aGossip.instance &&
             (aLife.bootId_ != aGossip.bootId ||
              (aGossip.deadTerm != 0 && !aGossip.leading));
    });
    if (earlier_.size() != before && earlier_.empty()) {
      log_.Write(
        LogLevel::Info, "earlier-leaders-ended", { { "term", term_ } });
      handlers_.onForeignEnded_();
    }
  }
}

bool LeaderElection::MayOrder() const
{
  return state_ == State::Leading &&
         loop_.NowMs() - confirmedMs_ < LeaderTiming::kRightMs;
}

GrantScope LeaderElection::MayGrant() const
{
  const bool confirmed =
    loop_.NowMs() - confirmedMs_ < LeaderTiming::kConfirmedMs;
  return confirmed || !IsIsolated() ? GrantScope::All : GrantScope::Renewals;
}

bool LeaderElection::IsIsolated() const
{
  const auto known =
    std::ranges::count_if(peers_.Peers(), [](const auto& aEntry) {
      return aEntry.second.heardMs_ != 0;
    });
  // Followers of a large fleet hear few of the others.
  const auto expected = state_ == State::Leading
                          ? static_cast<size_t>(known)
                          : std::min<size_t>(known, kMaxDirectGateways);
  return known > 1 && peers_.AliveCount(loop_.NowMs()) * 2 < expected;
}

bool LeaderElection::HearsLeader() const
{
  return state_ == State::Leading ||
         (everHeard_ &&
          loop_.NowMs() - heardMs_ < 2 * LeaderTiming::kSilenceMs);
}

void LeaderElection::Tick()
{
  timer_.Start(detail::kElectionTickMs);
  if (state_ == State::Following) {
    if (ShouldTry()) {
      Acquire();
    }
    return;
  }
  if (state_ == State::Leading) {
    PruneEarlier();
    if (!renewing_ && loop_.NowMs() - renewedMs_ >= LeaderTiming::kRenewMs) {
      Renew();
    }
    if (!MayOrder()) {
      StepDown("right ended without a renewal");
    }
  }
}

TimeMs LeaderElection::RankDelayMs() const
{
  // Larger instances first, then in an order that differs with each term.
  const auto weight = [&](const std::string& aInstance, int aCpuPercent) {
    return std::pair(-aCpuPercent,
                     XXH3_64bits_withSeed(aInstance.data(),
                                          aInstance.size(),
                                          static_cast<uint64_t>(highestTerm_)));
  };
  const auto own = weight(self_.instance_, cpuPercent_);
  const TimeMs nowMs = loop_.NowMs();
  const auto before =
    std::ranges::count_if(peers_.Peers(), [&](const auto& aEntry) {
      return aEntry.first != self_.instance_ &&
             PeerMesh::IsAlive(aEntry.second, nowMs) &&
             aEntry.first != leader_ &&
             weight(aEntry.first, aEntry.second.cpuPercent_) < own;
    });
  constexpr TimeMs kMostDelayMs = 2000;
  return std::min<TimeMs>(before * LeaderTiming::kRankStepMs, kMostDelayMs);
}

TimeMs LeaderElection::FirstSilenceMs() const
{
  constexpr int kWholeCore = 100;
  const int lacking = std::max(0, kWholeCore - cpuPercent_);
  return LeaderTiming::kFirstSilenceMs +
         LeaderTiming::kSmallInstanceMs * lacking / kWholeCore;
}

bool LeaderElection::ShouldTry() const
{
  if (retired_ || !store_.IsReachable()) {
    return false;
  }
  const TimeMs nowMs = loop_.NowMs();
  const TimeMs silenceMs = nowMs - heardMs_;
  const TimeMs neededMs =
    everHeard_ ? LeaderTiming::kSilenceMs : FirstSilenceMs();
  if (silenceMs < neededMs + RankDelayMs()) {
    return false;
  }
  return !IsIsolated() || silenceMs >= LeaderTiming::kIsolatedSilenceMs;
}

nlohmann::json LeaderElection::Spec() const
{
  auto earlier = nlohmann::json::array();
  for (const auto& life : earlier_) {
    earlier.push_back(
      { { "instance", life.instance_ }, { "bootId", life.bootId_ } });
  }
  return nlohmann::json{ { "term", term_ },
                         { "instance", self_.instance_ },
                         { "bootId", self_.bootId_ },
                         { "renewedAtMs", unixNowMs_() },
                         { "earlier", std::move(earlier) } };
}

bool LeaderElection::IsOwnSpec(const nlohmann::json& aSpec) const
{
  return FieldOr(aSpec, "term", int64_t{ 0 }) == term_ &&
         FieldOr(aSpec, "instance", std::string()) == self_.instance_ &&
         FieldOr(aSpec, "bootId", int64_t{ 0 }) == self_.bootId_;
}

void LeaderElection::Acquire()
{
  state_ = State::Acquiring;
  heardBeforeMs_ = heardMs_;
  const auto round = ++round_;
  store_.Call(store_.Protocol().Get(detail::kLeaderKind, detail::kLeaderName),
              [this, round](const StoreAnswer& aAnswer) {
                if (round == round_) {
                  OnRead(aAnswer);
                }
              });
}

void LeaderElection::OnRead(const StoreAnswer& aAnswer)
{
  earlier_.clear();
  if (heardMs_ > heardBeforeMs_) {
    // A leader spoke meanwhile.
    state_ = State::Following;
    return;
  }
  if (aAnswer.status_ == StoreStatus::Missing) {
    revision_ = 0;
    term_ = std::max<int64_t>(highestTerm_, 0) + 1;
  } else if (aAnswer.status_ == StoreStatus::Ok) {
    const auto& json = aAnswer.object_.spec_;
    revision_ = aAnswer.object_.revision_;
    const auto storedTerm = FieldOr(json, "term", int64_t{ 0 });
    // Someone else was faster; its gossip is on the way.
    if (storedTerm > highestTerm_ && IsRenewedRecently(json)) {
      WaitForWinner(storedTerm);
      return;
    }
    term_ = std::max(highestTerm_, storedTerm) + 1;
    const auto addLife = [&](const nlohmann::json& aLife) {
      LeaderLife life{ FieldOr(aLife, "instance", std::string()),
                       FieldOr(aLife, "bootId", int64_t{ 0 }) };
      const auto peer = peers_.Peers().find(life.instance_);
      const bool ended =
        life.instance_ == self_.instance_ ||
        (peer != peers_.Peers().end() && peer->second.heardMs_ != 0 &&
         peer->second.bootId_ != life.bootId_);
      if (!ended && std::ranges::find(earlier_, life) == earlier_.end()) {
        earlier_.push_back(std::move(life));
      }
    };
    if (json.is_object()) {
      addLife(json);
      std::ranges::for_each(json.value("earlier", nlohmann::json()), addLife);
    }
  } else {
    TryAgainIn(detail::kAcquireRetryMs);
    return;
  }
  const TimeMs sentMs = loop_.NowMs();
  const auto round = ++round_;
  const auto& protocol = store_.Protocol();
  store_.Call(
    revision_ == 0
      ? protocol.Create(detail::kLeaderKind, detail::kLeaderName, Spec())
      : protocol.Replace(
          detail::kLeaderKind, detail::kLeaderName, Spec(), revision_),
    [this, round, sentMs](const StoreAnswer& aWritten) {
      if (round == round_) {
        OnWritten(aWritten, sentMs);
      }
    });
}

void LeaderElection::OnWritten(const StoreAnswer& aAnswer, TimeMs aSentMs)
{
  if (aAnswer.status_ == StoreStatus::Ok) {
    revision_ = aAnswer.object_.revision_;
    BecomeLeader(aSentMs);
    return;
  }
  if (aAnswer.status_ == StoreStatus::Unknown ||
      (aAnswer.status_ == StoreStatus::Conflict &&
       IsOwnSpec(aAnswer.object_.spec_))) {
    CheckWritten(aSentMs);
    return;
  }
  if (aAnswer.status_ == StoreStatus::Conflict &&
      aAnswer.object_.spec_.is_object()) {
    WaitForWinner(FieldOr(aAnswer.object_.spec_, "term", int64_t{ 0 }));
    return;
  }
  TryAgainIn(detail::kAcquireRetryMs);
}

void LeaderElection::WaitForWinner(int64_t aTerm)
{
  highestTerm_ = std::max(highestTerm_, aTerm);
  everHeard_ = true;
  heardMs_ = loop_.NowMs();
  state_ = State::Following;
}

bool LeaderElection::IsRenewedRecently(const nlohmann::json& aSpec) const
{
  // A hint only: clocks that differ cost one more wait, or one more election.
  constexpr TimeMs kRecentMs =
    LeaderTiming::kRenewMs + LeaderTiming::kSilenceMs;
  const auto renewedMs = FieldOr(aSpec, "renewedAtMs", int64_t{ 0 });
  return std::abs(unixNowMs_() - renewedMs) < kRecentMs;
}

void LeaderElection::TryAgainIn(TimeMs aMs)
{
  state_ = State::Following;
  heardMs_ = loop_.NowMs() - LeaderTiming::kSilenceMs + aMs +
             store_.Jitter(detail::kAcquireRetryMs);
}

void LeaderElection::CheckWritten(TimeMs aSentMs)
{
  const auto round = ++round_;
  store_.Call(store_.Protocol().Get(detail::kLeaderKind, detail::kLeaderName),
              [this, round, aSentMs](const StoreAnswer& aAnswer) {
                if (round != round_) {
                  return;
                }
                if (aAnswer.status_ == StoreStatus::Ok &&
                    IsOwnSpec(aAnswer.object_.spec_)) {
                  revision_ = aAnswer.object_.revision_;
                  BecomeLeader(aSentMs);
                  return;
                }
                // A write that is carried out later meets another revision,
                // because the next attempt changes it.
                TryAgainIn(0);
              });
}

void LeaderElection::BecomeLeader(TimeMs aConfirmedMs)
{
  state_ = State::Leading;
  confirmedMs_ = aConfirmedMs;
  renewedMs_ = loop_.NowMs();
  electedMs_ = loop_.NowMs();
  renewing_ = false;
  highestTerm_ = std::max(highestTerm_, term_);
  leader_ = self_.instance_;
  log_.Write(LogLevel::Info,
             "leader-elected",
             { { "term", term_ },
               { "silence_ms", loop_.NowMs() - heardMs_ },
               { "earlier", earlier_.size() } });
  handlers_.onElected_(term_);
  if (earlier_.empty()) {
    handlers_.onForeignEnded_();
  }
}

void LeaderElection::PruneEarlier()
{
  if (!earlier_.empty() &&
      loop_.NowMs() - electedMs_ > LeaderTiming::kRightMs) {
    earlier_.clear();
  }
}

void LeaderElection::Renew()
{
  renewing_ = true;
  renewedMs_ = loop_.NowMs();
  const auto round = ++round_;
  const TimeMs sentMs = renewedMs_;
  store_.Call(store_.Protocol().Replace(
                detail::kLeaderKind, detail::kLeaderName, Spec(), revision_),
              [this, round, sentMs](const StoreAnswer& aAnswer) {
                if (round == round_ && state_ == State::Leading) {
                  OnRenewed(aAnswer, sentMs);
                }
              });
}

void LeaderElection::OnRenewed(const StoreAnswer& aAnswer, TimeMs aSentMs)
{
  renewing_ = false;
  switch (aAnswer.status_) {
    case StoreStatus::Ok:
      revision_ = aAnswer.object_.revision_;
      confirmedMs_ = aSentMs;
      break;
    case StoreStatus::Conflict:
      if (IsOwnSpec(aAnswer.object_.spec_)) {
        // An earlier renewal of this process was carried out late.
        revision_ = aAnswer.object_.revision_;
        confirmedMs_ = aSentMs;
      } else {
        StepDown("replaced in the store");
      }
      break;
    case StoreStatus::Missing:
      StepDown("lease object is gone");
      break;
    default:
      // Sooner than the usual interval: the right runs on.
      renewedMs_ = loop_.NowMs() - LeaderTiming::kRenewMs +
                   detail::kAcquireRetryMs * 2 +
                   store_.Jitter(detail::kAcquireRetryMs * 2);
  }
}

void LeaderElection::StepDown(std::string_view aCause)
{
  if (state_ != State::Leading) {
    return;
  }
  ++round_;
  state_ = State::Following;
  endedTerm_ = term_;
  heardMs_ = loop_.NowMs();
  log_.Write(
    LogLevel::Info, "leader-ended", { { "term", term_ }, { "cause", aCause } });
  handlers_.onLost_();
}

void LeaderElection::Resign(std::string_view aCause)
{
  StepDown(aCause);
}

void LeaderElection::Retire()
{
  retired_ = true;
}

}

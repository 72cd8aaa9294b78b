#include "gateway/LeaderElection.hpp"

#include "common/JsonField.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kElectionTickMs = 50;
constexpr TimeMs kAcquireRetryMs = 150;
constexpr const char* kLeaderKind = "cactuspitch-leader";
constexpr const char* kLeaderName = "leader";

// Includes clocks that run at slightly different rates.
static_assert(LeaseTiming{}.earlierLeaderConnectMs_ >
              LeaderTiming::kMaxUnconfirmedMs);

}

LeaderElection::LeaderElection(EventLoop& aLoop,
                               EventLog& aLog,
                               StoreClient& aStore,
                               const PeerMesh& aPeers,
                               LeaderIncarnation aSelf,
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
  leaderHeardMs_ = loop_.NowMs();
  timer_.Start(detail::kElectionTickMs);
}

void LeaderElection::OnGossip(const wire::Gossip& aGossip)
{
  highestTerm_ = std::max(highestTerm_, aGossip.term);
  if (aGossip.leading && aGossip.term >= highestTerm_) {
    leaderHeardMs_ = loop_.NowMs();
    everHeardLeader_ = true;
    leader_ = aGossip.instance;
    leaderBootId_ = aGossip.bootId;
    if (state_ == State::Leading && aGossip.term > term_) {
      StepDown("received gossip of a newer leader");
    }
  }
  if (aGossip.deadTerm == highestTerm_ && leader_ == aGossip.instance &&
      !aGossip.leading) {
    // The leader has stepped down, so waiting for the timeout is not necessary.
    leaderHeardMs_ = std::min(leaderHeardMs_,
                              loop_.NowMs() - LeaderTiming::kElectionTimeoutMs);
    leader_.clear();
  }
  if (state_ == State::Leading && !earlierLeaders_.empty()) {
    const auto before = earlierLeaders_.size();
    std::erase_if(earlierLeaders_, [&](const LeaderIncarnation& aLeader) {
      return aLeader.instance_ == aGossip.instance &&
             (aLeader.bootId_ != aGossip.bootId ||
              (aGossip.deadTerm != 0 && !aGossip.leading));
    });
    if (earlierLeaders_.size() != before && earlierLeaders_.empty()) {
      log_.Write(
        LogLevel::Info, "earlier-leaders-ended", { { "term", term_ } });
      handlers_.onEarlierLeadersEnded_();
    }
  }
}

bool LeaderElection::MaySendCommands() const
{
  return state_ == State::Leading &&
         loop_.NowMs() - confirmedMs_ < LeaderTiming::kLeaseMs;
}

GrantScope LeaderElection::AllowedGrantScope(TimeMs aSinceMs) const
{
  const bool settled = restoredMs_ == 0 || confirmedMs_ - restoredMs_ >=
                                             LeaderTiming::kRestoreSettleMs;
  if (!settled || rejectedSinceConfirmed_) {
    return GrantScope::Renewals;
  }
  const TimeMs nowMs = loop_.NowMs();
  if (confirmedMs_ >= aSinceMs &&
      nowMs - confirmedMs_ < LeaderTiming::kMaxUnconfirmedMs) {
    return GrantScope::All;
  }
  const TimeMs heardMs = HeardFromAllSinceMs();
  return heardMs >= aSinceMs && nowMs - heardMs < LeaderTiming::kMaxUnheardMs
           ? GrantScope::All
           : GrantScope::Renewals;
}

TimeMs LeaderElection::HeardFromAllSinceMs() const
{
  std::optional<TimeMs> heardMs;
  for (const auto& [instance, peer] : peers_.Peers()) {
    const bool counts =
      peer.lastHeardMs_ != 0 && !peer.stopping_ &&
      peer.lastHeardMs_ >= confirmedMs_ - LeaderTiming::kForgottenMs;
    if (!counts) {
      continue;
    }
    if (peer.term_ > term_) {
      return 0;
    }
    heardMs = std::min(heardMs.value_or(peer.lastHeardMs_), peer.lastHeardMs_);
  }
  return heardMs.value_or(0);
}

bool LeaderElection::IsProbablySoleLeader() const
{
  const bool confirmed =
    loop_.NowMs() - confirmedMs_ < LeaderTiming::kMaxUnconfirmedMs;
  return confirmed || !IsIsolated();
}

void LeaderElection::RequireConfirmation(TimeMs aSinceMs)
{
  requiredSinceMs_ = std::max(requiredSinceMs_, aSinceMs);
  if (state_ == State::Leading && IsRenewalDue()) {
    Renew();
  }
}

bool LeaderElection::IsRenewalDue() const
{
  const bool isRequired =
    confirmedMs_ < requiredSinceMs_ && !lastRenewalFailed_;
  const TimeMs intervalMs =
    isRequired ? LeaderTiming::kMinRenewIntervalMs : RenewIntervalMs();
  return !renewing_ && loop_.NowMs() - lastRenewalMs_ >= intervalMs;
}

void LeaderElection::OnFenceRejected()
{
  if (state_ != State::Leading) {
    return;
  }
  rejectedSinceConfirmed_ = true;
  rejectedSinceSent_ = renewing_;
  if (!renewing_) {
    Renew();
  }
}

void LeaderElection::ReportGrantScope()
{
  const auto scope = AllowedGrantScope();
  if (std::exchange(reportedScope_, scope) != scope) {
    log_.Write(LogLevel::Info,
               "grant-scope",
               { { "term", term_ },
                 { "scope", EnumName(scope) },
                 { "unconfirmed_ms", loop_.NowMs() - confirmedMs_ },
                 { "isolated", IsIsolated() ? 1 : 0 } });
  }
}

bool LeaderElection::IsIsolated() const
{
  const auto known =
    std::ranges::count_if(peers_.Peers(), [](const auto& aEntry) {
      return aEntry.second.lastHeardMs_ != 0;
    });
  // Followers in a large fleet receive gossip from few of the others.
  const auto expected = state_ == State::Leading
                          ? static_cast<size_t>(known)
                          : std::min<size_t>(known, kMaxDirectGateways);
  return known > 1 && peers_.AliveCount(loop_.NowMs()) * 2 < expected;
}

bool LeaderElection::HearsLeader() const
{
  return state_ == State::Leading ||
         (everHeardLeader_ && loop_.NowMs() - leaderHeardMs_ <
                                2 * LeaderTiming::kElectionTimeoutMs);
}

void LeaderElection::Tick()
{
  timer_.Start(detail::kElectionTickMs);
  if (state_ == State::Following) {
    if (ShouldAcquire()) {
      Acquire();
    }
    return;
  }
  if (state_ == State::Leading) {
    PruneEarlierLeaders();
    ReportGrantScope();
    if (IsRenewalDue()) {
      Renew();
    }
    if (!MaySendCommands()) {
      StepDown("leader lease expired without a renewal");
    }
  }
}

TimeMs LeaderElection::RankDelayMs() const
{
  // Larger instances first, then in an order that changes with each term.
  const auto rankKey = [&](const std::string& aInstance, int aCpuPercent) {
    return std::pair(-aCpuPercent,
                     XXH3_64bits_withSeed(aInstance.data(),
                                          aInstance.size(),
                                          static_cast<uint64_t>(highestTerm_)));
  };
  const auto own = rankKey(self_.instance_, cpuPercent_);
  const TimeMs nowMs = loop_.NowMs();
  const auto before =
    std::ranges::count_if(peers_.Peers(), [&](const auto& aEntry) {
      return aEntry.first != self_.instance_ &&
             PeerMesh::IsAlive(aEntry.second, nowMs) &&
             aEntry.first != leader_ &&
             rankKey(aEntry.first, aEntry.second.cpuPercent_) < own;
    });
  constexpr TimeMs kMaxDelayMs = 2000;
  return std::min<TimeMs>(before * LeaderTiming::kDelayPerRankMs, kMaxDelayMs);
}

TimeMs LeaderElection::InitialElectionTimeoutMs() const
{
  constexpr int kWholeCore = 100;
  const int lacking = std::max(0, kWholeCore - cpuPercent_);
  return LeaderTiming::kInitialElectionTimeoutMs +
         LeaderTiming::kSmallInstanceDelayMs * lacking / kWholeCore;
}

bool LeaderElection::ShouldAcquire() const
{
  if (withdrawn_ || !store_.IsReachable()) {
    return false;
  }
  const TimeMs nowMs = loop_.NowMs();
  const TimeMs silenceMs = nowMs - leaderHeardMs_;
  const TimeMs neededMs = everHeardLeader_ ? LeaderTiming::kElectionTimeoutMs
                                           : InitialElectionTimeoutMs();
  if (silenceMs < neededMs + RankDelayMs()) {
    return false;
  }
  return !IsIsolated() || silenceMs >= LeaderTiming::kIsolatedElectionTimeoutMs;
}

nlohmann::json LeaderElection::LeaseSpec() const
{
  auto earlier = nlohmann::json::array();
  for (const auto& leader : earlierLeaders_) {
    earlier.push_back(
      { { "instance", leader.instance_ }, { "bootId", leader.bootId_ } });
  }
  return nlohmann::json{
    { "term", term_ },           { "instance", self_.instance_ },
    { "bootId", self_.bootId_ }, { "renewedAtMs", unixNowMs_() },
    { "era", store_.Era() },     { "earlier", std::move(earlier) }
  };
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
  leaderHeardBeforeReadMs_ = leaderHeardMs_;
  const auto generation = ++generation_;
  store_.Call(store_.Protocol().Get(detail::kLeaderKind, detail::kLeaderName),
              [this, generation](const StoreResponse& aResponse) {
                if (generation == generation_) {
                  OnLeaseRead(aResponse);
                }
              });
}

void LeaderElection::OnLeaseRead(const StoreResponse& aResponse)
{
  earlierLeaders_.clear();
  if (leaderHeardMs_ > leaderHeardBeforeReadMs_) {
    // Gossip of a leader arrived during the read.
    state_ = State::Following;
    return;
  }
  if (aResponse.status_ == StoreStatus::NotFound) {
    revision_ = 0;
    term_ = std::max(highestTerm_, FirstTermOfEra()) + 1;
  } else if (aResponse.status_ == StoreStatus::Ok) {
    const auto& json = aResponse.object_.spec_;
    revision_ = aResponse.object_.revision_;
    const auto storedTerm = FieldOr(json, "term", int64_t{ 0 });
    // Another candidate was faster; its gossip has not arrived yet.
    if (storedTerm > highestTerm_ && IsRenewedRecently(json)) {
      WaitForWinner(storedTerm);
      return;
    }
    term_ = std::max({ highestTerm_, storedTerm, FirstTermOfEra() }) + 1;
    const auto addEarlierLeader = [&](const nlohmann::json& aLeader) {
      AddEarlierLeader({ FieldOr(aLeader, "instance", std::string()),
                         FieldOr(aLeader, "bootId", int64_t{ 0 }) });
    };
    if (json.is_object()) {
      addEarlierLeader(json);
      std::ranges::for_each(json.value("earlier", nlohmann::json()),
                            addEarlierLeader);
    }
    const bool isCopy =
      FieldOr(json, "era", int64_t{ 0 }) < RevisionEra(revision_);
    if (isCopy && !everHeardLeader_) {
      // The copy may lack later leaders, of which this gateway has not heard.
      AddEarlierLeader({});
    }
  } else {
    RetryIn(detail::kAcquireRetryMs);
    return;
  }
  // The store may have been restored from a copy that lacks the last leader.
  if (!leader_.empty()) {
    AddEarlierLeader({ leader_, leaderBootId_ });
  }
  const TimeMs sentMs = loop_.NowMs();
  const auto generation = ++generation_;
  const auto& protocol = store_.Protocol();
  store_.Call(
    revision_ == 0
      ? protocol.Create(detail::kLeaderKind, detail::kLeaderName, LeaseSpec())
      : protocol.Replace(
          detail::kLeaderKind, detail::kLeaderName, LeaseSpec(), revision_),
    [this, generation, sentMs](const StoreResponse& aWritten) {
      if (generation == generation_) {
        OnLeaseWritten(aWritten, sentMs);
      }
    });
}

void LeaderElection::AddEarlierLeader(const LeaderIncarnation& aLeader)
{
  const auto peer = peers_.Peers().find(aLeader.instance_);
  const bool ended =
    aLeader.instance_ == self_.instance_ ||
    (peer != peers_.Peers().end() && peer->second.lastHeardMs_ != 0 &&
     peer->second.bootId_ != aLeader.bootId_);
  if (!ended &&
      std::ranges::find(earlierLeaders_, aLeader) == earlierLeaders_.end()) {
    earlierLeaders_.push_back(aLeader);
  }
}

int64_t LeaderElection::FirstTermOfEra() const
{
  constexpr int kTermBits = 16;
  return store_.Era() << kTermBits;
}

void LeaderElection::OnLeaseWritten(const StoreResponse& aResponse,
                                    TimeMs aSentMs)
{
  if (aResponse.status_ == StoreStatus::Ok) {
    revision_ = aResponse.object_.revision_;
    BecomeLeader(aSentMs);
    return;
  }
  if (aResponse.status_ == StoreStatus::Unknown ||
      (aResponse.status_ == StoreStatus::Conflict &&
       IsOwnSpec(aResponse.object_.spec_))) {
    VerifyWrite(aSentMs);
    return;
  }
  if (aResponse.status_ == StoreStatus::Conflict &&
      aResponse.object_.spec_.is_object()) {
    WaitForWinner(FieldOr(aResponse.object_.spec_, "term", int64_t{ 0 }));
    return;
  }
  RetryIn(detail::kAcquireRetryMs);
}

void LeaderElection::WaitForWinner(int64_t aTerm)
{
  highestTerm_ = std::max(highestTerm_, aTerm);
  everHeardLeader_ = true;
  leaderHeardMs_ = loop_.NowMs();
  state_ = State::Following;
}

bool LeaderElection::IsRenewedRecently(const nlohmann::json& aSpec) const
{
  // Only a hint: clock differences cost an additional wait or an additional
  // election.
  constexpr TimeMs kRecentMs =
    LeaderTiming::kRenewIntervalMs + LeaderTiming::kElectionTimeoutMs;
  const auto renewedMs = FieldOr(aSpec, "renewedAtMs", int64_t{ 0 });
  return std::abs(unixNowMs_() - renewedMs) < kRecentMs;
}

void LeaderElection::RetryIn(TimeMs aMs)
{
  state_ = State::Following;
  leaderHeardMs_ = loop_.NowMs() - LeaderTiming::kElectionTimeoutMs + aMs +
                   store_.Jitter(detail::kAcquireRetryMs);
}

void LeaderElection::VerifyWrite(TimeMs aSentMs)
{
  const auto generation = ++generation_;
  store_.Call(store_.Protocol().Get(detail::kLeaderKind, detail::kLeaderName),
              [this, generation, aSentMs](const StoreResponse& aResponse) {
                if (generation != generation_) {
                  return;
                }
                if (aResponse.status_ == StoreStatus::Ok &&
                    IsOwnSpec(aResponse.object_.spec_)) {
                  revision_ = aResponse.object_.revision_;
                  BecomeLeader(aSentMs);
                  return;
                }
                // If the write is applied later, it conflicts with the revision
                // of the next attempt.
                RetryIn(0);
              });
}

void LeaderElection::BecomeLeader(TimeMs aConfirmedMs)
{
  state_ = State::Leading;
  confirmedMs_ = aConfirmedMs;
  lastRenewalMs_ = loop_.NowMs();
  electedMs_ = loop_.NowMs();
  reportedScope_ = GrantScope::All;
  renewing_ = false;
  rejectedSinceSent_ = false;
  rejectedSinceConfirmed_ = false;
  lastRenewalFailed_ = false;
  restoredMs_ = 0;
  highestTerm_ = std::max(highestTerm_, term_);
  leader_ = self_.instance_;
  log_.Write(LogLevel::Info,
             "leader-elected",
             { { "term", term_ },
               { "silence_ms", loop_.NowMs() - leaderHeardMs_ },
               { "earlier", earlierLeaders_.size() } });
  handlers_.onElected_(term_);
  if (earlierLeaders_.empty()) {
    handlers_.onEarlierLeadersEnded_();
  }
}

void LeaderElection::PruneEarlierLeaders()
{
  if (!earlierLeaders_.empty() &&
      loop_.NowMs() - electedMs_ > LeaderTiming::kLeaseMs) {
    earlierLeaders_.clear();
  }
}

TimeMs LeaderElection::RenewIntervalMs() const
{
  // The next confirmation has to arrive before the last one is too old.
  return std::clamp(LeaderTiming::kMaxUnconfirmedMs - 2 * renewalLatencyMs_,
                    LeaderTiming::kMinRenewIntervalMs,
                    LeaderTiming::kRenewIntervalMs);
}

void LeaderElection::Renew()
{
  renewing_ = true;
  rejectedSinceSent_ = false;
  lastRenewalMs_ = loop_.NowMs();
  store_.Call(
    store_.Protocol().Replace(
      detail::kLeaderKind, detail::kLeaderName, LeaseSpec(), revision_),
    RenewalHandler(lastRenewalMs_));
}

StoreClient::Callback LeaderElection::RenewalHandler(TimeMs aSentMs)
{
  return [this, generation = ++generation_, aSentMs](
           const StoreResponse& aResponse) {
    if (generation == generation_ && state_ == State::Leading) {
      OnRenewed(aResponse, aSentMs);
    }
  };
}

void LeaderElection::OnStoreRestored()
{
  // The response to a pending renewal shows the restore as well.
  if (state_ == State::Leading && !renewing_) {
    RestoreLease();
  }
}

void LeaderElection::RestoreLease()
{
  renewing_ = true;
  restoredMs_ = loop_.NowMs();
  lastRenewalMs_ = loop_.NowMs();
  store_.Call(
    store_.Protocol().Get(detail::kLeaderKind, detail::kLeaderName),
    [this, generation = ++generation_](const StoreResponse& aResponse) {
      if (generation == generation_ && state_ == State::Leading) {
        OnRestoredLeaseRead(aResponse);
      }
    });
}

void LeaderElection::OnRestoredLeaseRead(const StoreResponse& aResponse)
{
  if (aResponse.status_ == StoreStatus::Ok) {
    const auto& spec = aResponse.object_.spec_;
    if (!IsOwnSpec(spec) && FieldOr(spec, "term", int64_t{ 0 }) >= term_) {
      StepDown("another leader is stored");
      return;
    }
    revision_ = aResponse.object_.revision_;
    Renew();
  } else if (aResponse.status_ == StoreStatus::NotFound) {
    store_.Call(store_.Protocol().Create(
                  detail::kLeaderKind, detail::kLeaderName, LeaseSpec()),
                RenewalHandler(loop_.NowMs()));
  } else {
    OnRenewed(aResponse, lastRenewalMs_);
  }
}

void LeaderElection::OnRenewed(const StoreResponse& aResponse, TimeMs aSentMs)
{
  renewing_ = false;
  switch (aResponse.status_) {
    case StoreStatus::Ok:
      OnConfirmed(aResponse, aSentMs);
      break;
    case StoreStatus::Conflict:
      if (IsOwnSpec(aResponse.object_.spec_)) {
        // An earlier renewal of this process was applied late.
        OnConfirmed(aResponse, aSentMs);
      } else {
        StepDown("another leader is stored");
      }
      break;
    case StoreStatus::NotFound:
      StepDown("lease object does not exist");
      break;
    case StoreStatus::Restored:
      RestoreLease();
      break;
    default:
      lastRenewalFailed_ = true;
      // Retry sooner than the renewal interval, because the lease
      // continues to run.
      lastRenewalMs_ = loop_.NowMs() - LeaderTiming::kRenewIntervalMs +
                       detail::kAcquireRetryMs * 2 +
                       store_.Jitter(detail::kAcquireRetryMs * 2);
  }
}

void LeaderElection::OnConfirmed(const StoreResponse& aResponse, TimeMs aSentMs)
{
  revision_ = aResponse.object_.revision_;
  confirmedMs_ = aSentMs;
  lastRenewalFailed_ = false;
  renewalLatencyMs_ = loop_.NowMs() - aSentMs;
  rejectedSinceConfirmed_ = rejectedSinceSent_;
  if (rejectedSinceSent_) {
    Renew();
  }
}

void LeaderElection::StepDown(std::string_view aCause)
{
  if (state_ != State::Leading) {
    return;
  }
  ++generation_;
  state_ = State::Following;
  endedTerm_ = term_;
  leaderHeardMs_ = loop_.NowMs();
  log_.Write(
    LogLevel::Info, "leader-ended", { { "term", term_ }, { "cause", aCause } });
  handlers_.onLeadershipLost_();
}

void LeaderElection::Resign(std::string_view aCause)
{
  StepDown(aCause);
}

void LeaderElection::WithdrawCandidacy()
{
  withdrawn_ = true;
}

}

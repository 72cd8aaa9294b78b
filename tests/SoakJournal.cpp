#include "tests/SoakJournal.hpp"

#include "common/ShortHash.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace cactuspitch {

namespace {

constexpr int kFirstFailure = 300;
constexpr int kNotFound = 404;
/// Each of them promises that the request has not run.
constexpr std::array kRefusals = { 408, 421, 429, 503 };
constexpr int kAllowedInPause = 2;
constexpr size_t kToleratedCrashes = 3;
constexpr int kAllowedCrashSends = 3;
constexpr int kAllowedClosed = 3;
constexpr int kAllowedForGone = 3;

}

SoakJournal::SoakJournal(const Clock& aClock, int aGateways)
  : clock_(aClock)
  , gateways_(static_cast<size_t>(aGateways))
{
}

std::string SoakJournal::BodyOf(const std::string& aId)
{
  constexpr uint32_t kLargeShare = 40;
  constexpr size_t kLargeBytes = 300000; // streamed by gateways
  constexpr size_t kMaxBytes = 2000;
  const auto hash = ShortHash(aId);
  const size_t bytes = hash % kLargeShare == 0 ? kLargeBytes : hash % kMaxBytes;
  std::string body;
  while (body.size() < bytes) {
    AppendTo(body, aId, "|");
  }
  return Concat(aId, "|", body);
}

void SoakJournal::Forget(Gateway& aGateway) const
{
  aGateway.leaving_.clear();
  aGateway.paused_.clear();
  aGateway.disturbedMs_ = clock_.NowMs();
  aGateway.killedMs_ = clock_.NowMs();
}

void SoakJournal::OnGatewayStarted(int aGateway)
{
  auto& gateway = gateways_[aGateway];
  Forget(gateway);
  gateway.up_ = true;
  gateway.stopping_ = gateway.frozen_ = false;
  gateway.served_ = 0;
}

void SoakJournal::OnGatewayEnded(int aGateway)
{
  Forget(gateways_[aGateway]);
  gateways_[aGateway].up_ = false;
}

void SoakJournal::OnGatewayFrozen(int aGateway)
{
  Forget(gateways_[aGateway]);
  gateways_[aGateway].frozen_ = true;
}

void SoakJournal::OnGatewayThawed(int aGateway)
{
  Forget(gateways_[aGateway]);
  gateways_[aGateway].frozen_ = false;
  thawedMs_ = clock_.NowMs();
}

void SoakJournal::OnGatewayStopping(int aGateway)
{
  gateways_[aGateway].stopping_ = true;
  gateways_[aGateway].disturbedMs_ = clock_.NowMs();
}

void SoakJournal::OnGatewayCut(int aGateway, bool aCut)
{
  auto& gateway = gateways_[aGateway];
  gateway.cut_ = aCut;
  gateway.disturbedMs_ = clock_.NowMs();
  gateway.paused_.clear();
  thawedMs_ = clock_.NowMs();
}

void SoakJournal::OnStoreDisturbed(bool aDisturbed)
{
  storeDisturbed_ = aDisturbed;
  storeDisturbedMs_ = clock_.NowMs();
}

void SoakJournal::OnConfigAccepted(int64_t aVersion)
{
  versions_[aVersion] = clock_.NowMs();
}

void SoakJournal::OnServerTrouble(const std::string& aLife)
{
  troubled_[aLife] = clock_.NowMs();
}

bool SoakJournal::IsInTouch(int aGateway) const
{
  const auto& gateway = gateways_[aGateway];
  const auto sinceMs =
    clock_.NowMs() - std::max(gateway.disturbedMs_, storeDisturbedMs_);
  return gateway.up_ && !gateway.frozen_ && !gateway.stopping_ &&
         !gateway.cut_ && !storeDisturbed_ && sinceMs > bounds_.stableWindowMs_;
}

bool SoakJournal::IsThawing() const
{
  return clock_.NowMs() - thawedMs_ <= bounds_.thawSlackMs_;
}

SoakJournal::Entry* SoakJournal::Find(const std::string& aId)
{
  const auto found = requests_.find(aId);
  return found == requests_.end() ? nullptr : &found->second;
}

void SoakJournal::OnSent(const SoakRequest& aRequest)
{
  requests_[aRequest.id_].request_ = aRequest;
  ++counts_[Concat("sent-", EnumName(aRequest.kind_))];
}

void SoakJournal::OnAnswer(const std::string& aId,
                           const HttpHead& aHead,
                           const std::string& aBody)
{
  auto* entry = Find(aId);
  if (entry == nullptr) {
    return;
  }
  entry->ended_ = true;
  ++over_;
  const int status = aHead.status_;
  ++counts_[Concat("status-", status)];
  if (status < kFirstFailure) {
    CheckSuccess(*entry, aHead, aBody);
    auto& gateway = gateways_[entry->request_.gateway_];
    if (!entry->leavingLife_.empty() &&
        entry->request_.sentMs_ > gateway.killedMs_) {
      gateway.leaving_.try_emplace(entry->leavingLife_, clock_.NowMs());
    }
  }
  if (std::ranges::find(kRefusals, status) != kRefusals.end()) {
    entry->refused_ = true;
    if (entry->request_.kind_ == SoakKind::Unsafe && entry->begun_ > 0) {
      Report(SoakFinding::FalseRefusal,
             Concat(aId, " got ", status, " and had run"));
    }
  }
  if (entry->request_.kind_ == SoakKind::Probe) {
    CheckProbe(*entry, status);
  } else if (status == kNotFound) {
    Report(SoakFinding::ProperRequestDenied, Concat(aId, " got 404"));
  }
}

void SoakJournal::CheckSuccess(Entry& aEntry,
                               const HttpHead& aHead,
                               const std::string& aBody)
{
  const auto& id = aEntry.request_.id_;
  ++served_;
  latenciesMs_.push_back(clock_.NowMs() - aEntry.request_.sentMs_);
  if (aBody != BodyOf(id)) {
    Report(SoakFinding::WrongAnswer,
           Concat(id, " got ", aBody.size(), " bytes that are not its answer"));
  }
  if (!aHead.HasField("Cactuspitch-Response-Seal") || !aEntry.ranToEnd_) {
    Report(SoakFinding::WrongAnswer,
           Concat(id, " got a success that no server gave"));
  }
  if (aHead.HasField("Server-Leaving")) {
    Report(SoakFinding::WrongAnswer,
           Concat(id, " got a notice that is not for callers"));
  }
}

void SoakJournal::CheckProbe(Entry& aEntry, int aStatus)
{
  const auto& request = aEntry.request_;
  auto& gateway = gateways_[request.gateway_];
  const auto version = request.version_;
  if (aStatus < kFirstFailure && version > gateway.served_) {
    gateway.served_ = version;
    gateway.servedMs_ = clock_.NowMs();
  }
  if (aStatus != kNotFound || request.sentMs_ < gateway.killedMs_) {
    return;
  }
  if (version <= gateway.served_ && request.sentMs_ > gateway.servedMs_) {
    Report(SoakFinding::OldConfig,
           Concat("gateway ",
                  request.gateway_,
                  " went back to before version ",
                  version));
  }
  const auto acceptedMs = versions_.at(version);
  if (request.sentMs_ > acceptedMs + bounds_.applyMs_ &&
      IsInTouch(request.gateway_)) {
    Report(SoakFinding::OldConfig,
           Concat("gateway ",
                  request.gateway_,
                  " does not know version ",
                  version,
                  " after ",
                  request.sentMs_ - acceptedMs,
                  " ms"));
  }
}

void SoakJournal::OnUnaskedAnswer(int aGateway)
{
  Report(SoakFinding::WrongAnswer,
         Concat("gateway ", aGateway, " sent an answer unasked"));
}

bool SoakJournal::IsTroubledSince(const std::string& aLife, TimeMs aMs) const
{
  const auto found = troubled_.find(aLife);
  return found != troubled_.end() &&
         found->second + bounds_.stableWindowMs_ > aMs;
}

bool SoakJournal::IsTroubled(const Entry& aEntry) const
{
  return std::ranges::any_of(aEntry.lives_, [&](const std::string& aLife) {
    return IsTroubledSince(aLife, aEntry.request_.sentMs_);
  });
}

void SoakJournal::OnClosed(const std::string& aId)
{
  auto* entry = Find(aId);
  if (entry == nullptr || entry->ended_) {
    return;
  }
  entry->ended_ = true;
  ++over_;
  ++counts_["closed"];
  const auto& request = entry->request_;
  const bool killed = gateways_[request.gateway_].killedMs_ >= request.sentMs_;
  const bool inTime = clock_.NowMs() < request.deadlineMs_;
  if (entry->begun_ > 0 && !killed && inTime && !IsTroubled(*entry) &&
      ++closedUnanswered_ > kAllowedClosed) {
    Report(SoakFinding::CutOff,
           Concat(aId, " was passed on, its connection closed"));
  }
}

void SoakJournal::OnOverdue(const std::string& aId)
{
  auto* entry = Find(aId);
  if (entry == nullptr || entry->ended_) {
    return;
  }
  entry->ended_ = true;
  ++over_;
  const auto& request = entry->request_;
  const auto& gateway = gateways_[request.gateway_];
  const bool disturbed =
    !gateway.up_ || gateway.frozen_ || gateway.killedMs_ >= request.sentMs_;
  if (!disturbed) {
    Report(SoakFinding::NoFinalAnswer,
           Concat(aId,
                  " ",
                  EnumName(request.kind_),
                  " has none after ",
                  clock_.NowMs() - request.sentMs_,
                  " ms"));
  }
}

void SoakJournal::OnLeft(const std::string& aId)
{
  auto* entry = Find(aId);
  if (entry != nullptr && !entry->ended_) {
    entry->ended_ = true;
    entry->leftMs_ = clock_.NowMs();
    ++counts_["left"];
  }
}

void SoakJournal::OnArrived(const std::string& aId,
                            const std::string& aLife,
                            const HttpHead& aHead,
                            const std::string& aBody)
{
  auto* entry = Find(aId);
  if (entry == nullptr) {
    Report(SoakFinding::ChangedRequest, Concat("id ", aId, " at ", aLife));
    return;
  }
  entry->lives_.insert(aLife);
  const auto& request = entry->request_;
  if (aHead.target_ != request.target_ || aBody != request.body_) {
    Report(SoakFinding::ChangedRequest,
           Concat(aId, " arrives changed at ", aLife));
  }
  const bool late = entry->leftMs_ != 0 &&
                    clock_.NowMs() > entry->leftMs_ + bounds_.goneMs_ &&
                    !IsTroubledSince(aLife, clock_.NowMs());
  if (late && IsInTouch(request.gateway_) && ++sentForGone_ > kAllowedForGone) {
    Report(SoakFinding::SentForGoneCaller,
           Concat(aId,
                  " reached ",
                  aLife,
                  " ",
                  clock_.NowMs() - entry->leftMs_,
                  " ms after its caller had left"));
  }
  CheckNotices(request, aLife);
  if (request.kind_ == SoakKind::Crash) {
    CheckCrashes(request);
  }
}

void SoakJournal::CheckNotices(const SoakRequest& aRequest,
                               const std::string& aLife)
{
  const TimeMs nowMs = clock_.NowMs();
  auto& gateway = gateways_[aRequest.gateway_];
  const auto leaving = gateway.leaving_.find(aLife);
  if (leaving != gateway.leaving_.end() &&
      aRequest.sentMs_ > leaving->second + bounds_.drainMs_) {
    Report(SoakFinding::SentToLeaving,
           Concat(aRequest.id_,
                  " reached ",
                  aLife,
                  " ",
                  nowMs - leaving->second,
                  " ms after gateway ",
                  aRequest.gateway_,
                  " was told that it leaves"));
  }
  const auto draining = draining_.find(aLife);
  if (draining != draining_.end() && IsInTouch(aRequest.gateway_) &&
      aRequest.sentMs_ > draining->second + bounds_.drainMs_) {
    Report(SoakFinding::SentToLeaving,
           Concat(aRequest.id_,
                  " reached ",
                  aLife,
                  " ",
                  nowMs - draining->second,
                  " ms after the store knew that it drains"));
  }
  const auto pause = gateway.paused_.find(aLife);
  if (pause != gateway.paused_.end() &&
      nowMs > pause->second.fromMs_ + bounds_.pauseSlackMs_ &&
      nowMs < pause->second.untilMs_ && !IsTroubledSince(aLife, nowMs) &&
      ++pause->second.requests_ > kAllowedInPause) {
    Report(SoakFinding::SentInPause,
           Concat(aRequest.id_,
                  " reached ",
                  aLife,
                  " in its pause for gateway ",
                  aRequest.gateway_));
  }
}

void SoakJournal::CheckCrashes(const SoakRequest& aRequest)
{
  if (crashes_.size() < kToleratedCrashes) {
    return;
  }
  const TimeMs thirdMs = crashes_[kToleratedCrashes - 1];
  if (clock_.NowMs() > thirdMs + bounds_.stableWindowMs_ &&
      IsInTouch(aRequest.gateway_) &&
      ++sendsAfterCrashes_ > kAllowedCrashSends) {
    Report(SoakFinding::RepeatedCrash,
           Concat("a crashing request was sent ",
                  sendsAfterCrashes_,
                  " times after ",
                  crashes_.size(),
                  " crashes"));
  }
}

void SoakJournal::OnBegun(const std::string& aId, const std::string& aLife)
{
  auto* entry = Find(aId);
  if (entry == nullptr) {
    return;
  }
  ++counts_["runs"];
  ++entry->begun_;
  if (entry->request_.kind_ != SoakKind::Unsafe) {
    return;
  }
  if (entry->begun_ > 1) {
    Report(SoakFinding::RunTwice, Concat(aId, " ran again at ", aLife));
  }
  if (entry->refused_) {
    Report(SoakFinding::FalseRefusal,
           Concat(aId, " runs at ", aLife, " after its refusal"));
  }
}

void SoakJournal::OnRunToEnd(const std::string& aId)
{
  if (auto* entry = Find(aId)) {
    entry->ranToEnd_ = true;
  }
}

void SoakJournal::OnLeavingTold(const std::string& aId,
                                const std::string& aLife)
{
  if (auto* entry = Find(aId)) {
    entry->leavingLife_ = aLife;
  }
}

void SoakJournal::OnPauseTold(const std::string& aId,
                              const std::string& aLife,
                              TimeMs aPauseMs)
{
  if (const auto* entry = Find(aId); entry != nullptr && !entry->ended_) {
    auto& gateway = gateways_[entry->request_.gateway_];
    if (entry->request_.sentMs_ > gateway.killedMs_) {
      const TimeMs nowMs = clock_.NowMs();
      auto& pause = gateway.paused_[aLife];
      if (nowMs >= pause.untilMs_) {
        pause = { nowMs, 0, 0 };
      }
      pause.untilMs_ = std::max(pause.untilMs_, nowMs + aPauseMs);
    }
  }
}

void SoakJournal::OnCrashed(const std::string& aLife)
{
  crashes_.push_back(clock_.NowMs());
  ++counts_["crashes-by-request"];
  OnServerTrouble(aLife);
}

void SoakJournal::OnDrainingAccepted(const std::string& aLife)
{
  draining_[aLife] = clock_.NowMs();
}

void SoakJournal::OnKeyTaken(uint32_t aKey,
                             int64_t aFence,
                             const std::string& aLife)
{
  auto& [fence, life] = fences_[aKey];
  if (aFence < fence || (aFence == fence && life != aLife)) {
    Report(SoakFinding::TwoOwners,
           Concat(aLife,
                  " takes key ",
                  aKey,
                  " with fence ",
                  aFence,
                  ", ",
                  life,
                  " had it with ",
                  fence));
  }
  if (aFence >= fence) {
    fence = aFence;
    life = aLife;
  }
}

void SoakJournal::OnKeysShared(uint32_t aKey, const std::string& aLives)
{
  Report(SoakFinding::TwoOwners, Concat("key ", aKey, " is held by ", aLives));
}

int64_t SoakJournal::Count(const std::string& aWhat) const
{
  const auto found = counts_.find(aWhat);
  return found == counts_.end() ? 0 : found->second;
}

std::string SoakJournal::Summary() const
{
  std::string text;
  for (const auto& [what, count] : counts_) {
    AppendTo(text, text.empty() ? "" : ", ", what, " ", count);
  }
  return text;
}

std::pair<int, int> SoakJournal::TakeServed()
{
  return { std::exchange(served_, 0), std::exchange(over_, 0) };
}

void SoakJournal::Report(SoakFinding aFinding, const std::string& aDetail)
{
  violations_.push_back(
    Concat(clock_.NowMs(), " ", EnumName(aFinding), ": ", aDetail));
}

}

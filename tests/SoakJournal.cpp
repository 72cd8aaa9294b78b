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
/// Statuses that guarantee that the request was not executed.
constexpr std::array kRefusals = { 408, 421, 429, 503 };
constexpr int kAllowedInPause = 2;
constexpr size_t kToleratedCrashes = 3;
constexpr int kAllowedCrashSends = 3;
constexpr int kAllowedClosed = 3;
constexpr int kAllowedSentAfterDisconnect = 3;

}

SoakJournal::SoakJournal(const Clock& aClock, int aGateways)
  : clock_(aClock)
  , gateways_(static_cast<size_t>(aGateways))
{
}

std::string SoakJournal::BodyForRequest(const std::string& aId)
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

void SoakJournal::ResetNotices(Gateway& aGateway)
{
  limits_.OnGatewayFault(static_cast<int>(&aGateway - gateways_.data()));
  aGateway.leaving_.clear();
  aGateway.paused_.clear();
  aGateway.lastFaultMs_ = clock_.NowMs();
  aGateway.connectionsLostMs_ = clock_.NowMs();
}

void SoakJournal::OnGatewayStarted(int aGateway)
{
  auto& gateway = gateways_[aGateway];
  ResetNotices(gateway);
  gateway.up_ = true;
  gateway.stopping_ = gateway.frozen_ = false;
  gateway.seenVersion_ = 0;
}

void SoakJournal::OnGatewayEnded(int aGateway)
{
  ResetNotices(gateways_[aGateway]);
  gateways_[aGateway].up_ = false;
}

void SoakJournal::OnGatewayFrozen(int aGateway)
{
  ResetNotices(gateways_[aGateway]);
  gateways_[aGateway].frozen_ = true;
}

void SoakJournal::OnGatewayResumed(int aGateway)
{
  ResetNotices(gateways_[aGateway]);
  gateways_[aGateway].frozen_ = false;
  recoveredMs_ = clock_.NowMs();
}

void SoakJournal::OnGatewayStopping(int aGateway)
{
  gateways_[aGateway].stopping_ = true;
  gateways_[aGateway].lastFaultMs_ = clock_.NowMs();
}

void SoakJournal::OnStoreLinkCut(int aGateway, bool aCut)
{
  auto& gateway = gateways_[aGateway];
  gateway.storeLinkCut_ = aCut;
  gateway.lastFaultMs_ = clock_.NowMs();
  gateway.paused_.clear();
  recoveredMs_ = clock_.NowMs();
}

void SoakJournal::OnStoreFault(bool aFaulty)
{
  storeFaulty_ = aFaulty;
  storeFaultChangedMs_ = clock_.NowMs();
}

void SoakJournal::OnConfigAccepted(int64_t aVersion)
{
  versions_[aVersion] = clock_.NowMs();
}

void SoakJournal::OnServerFault(const std::string& aIncarnation)
{
  serverFaultMs_[aIncarnation] = clock_.NowMs();
}

bool SoakJournal::IsStable(int aGateway) const
{
  const auto& gateway = gateways_[aGateway];
  const auto sinceMs =
    clock_.NowMs() - std::max(gateway.lastFaultMs_, storeFaultChangedMs_);
  return gateway.up_ && !gateway.frozen_ && !gateway.stopping_ &&
         !gateway.storeLinkCut_ && !storeFaulty_ &&
         sinceMs > bounds_.stableWindowMs_;
}

bool SoakJournal::HasJustRecovered() const
{
  return clock_.NowMs() - recoveredMs_ <= bounds_.recoverySlackMs_;
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

void SoakJournal::OnResponse(const std::string& aId,
                             const HttpHead& aHead,
                             const std::string& aBody)
{
  auto* entry = Find(aId);
  if (entry == nullptr) {
    return;
  }
  entry->ended_ = true;
  ++completed_;
  const int status = aHead.status_;
  ++counts_[Concat("status-", status)];
  if (status < kFirstFailure) {
    CheckSuccess(*entry, aHead, aBody);
    auto& gateway = gateways_[entry->request_.gateway_];
    if (!entry->leavingIncarnation_.empty() &&
        entry->request_.sentMs_ > gateway.connectionsLostMs_) {
      gateway.leaving_.try_emplace(entry->leavingIncarnation_, clock_.NowMs());
    }
  }
  if (std::ranges::find(kRefusals, status) != kRefusals.end()) {
    entry->refused_ = true;
    if (entry->request_.kind_ == SoakRequestKind::Unsafe &&
        entry->executions_ > 0) {
      Report(SoakViolation::FalseRefusal,
             Concat(aId, " got ", status, " although it was executed"));
    }
  }
  if (entry->request_.kind_ == SoakRequestKind::Probe) {
    CheckProbe(*entry, status);
  } else if (status == kNotFound) {
    Report(SoakViolation::ValidRequestRejected, Concat(aId, " got 404"));
  }
}

void SoakJournal::CheckSuccess(Entry& aEntry,
                               const HttpHead& aHead,
                               const std::string& aBody)
{
  const auto& id = aEntry.request_.id_;
  ++served_;
  latenciesMs_.push_back(clock_.NowMs() - aEntry.request_.sentMs_);
  if (aBody != BodyForRequest(id)) {
    Report(
      SoakViolation::WrongResponse,
      Concat(id, " got ", aBody.size(), " bytes that are not its response"));
  }
  if (!aHead.HasField("Cactuspitch-Response-Seal") || !aEntry.finished_) {
    Report(SoakViolation::WrongResponse,
           Concat(id, " got a success response that no server sent"));
  }
  if (aHead.HasField("Server-Leaving")) {
    Report(
      SoakViolation::WrongResponse,
      Concat(id, " got a Server-Leaving header, which is not for callers"));
  }
}

void SoakJournal::CheckProbe(Entry& aEntry, int aStatus)
{
  const auto& request = aEntry.request_;
  auto& gateway = gateways_[request.gateway_];
  const auto version = request.version_;
  if (aStatus < kFirstFailure && version > gateway.seenVersion_) {
    gateway.seenVersion_ = version;
    gateway.seenVersionMs_ = clock_.NowMs();
  }
  if (aStatus != kNotFound || request.sentMs_ < gateway.connectionsLostMs_) {
    return;
  }
  if (version <= gateway.seenVersion_ &&
      request.sentMs_ > gateway.seenVersionMs_) {
    Report(SoakViolation::OldConfig,
           Concat("gateway ",
                  request.gateway_,
                  " reverted to a configuration before version ",
                  version));
  }
  const auto acceptedMs = versions_.at(version);
  if (request.sentMs_ > acceptedMs + bounds_.applyMs_ &&
      IsStable(request.gateway_)) {
    Report(SoakViolation::OldConfig,
           Concat("gateway ",
                  request.gateway_,
                  " has not applied configuration version ",
                  version,
                  " after ",
                  request.sentMs_ - acceptedMs,
                  " ms"));
  }
}

void SoakJournal::OnUnexpectedResponse(int aGateway)
{
  Report(
    SoakViolation::WrongResponse,
    Concat("gateway ", aGateway, " sent an unexpected or invalid response"));
}

bool SoakJournal::HadServerFaultSince(const std::string& aIncarnation,
                                      TimeMs aMs) const
{
  const auto found = serverFaultMs_.find(aIncarnation);
  return found != serverFaultMs_.end() &&
         found->second + bounds_.stableWindowMs_ > aMs;
}

bool SoakJournal::HadServerFault(const Entry& aEntry) const
{
  return std::ranges::any_of(
    aEntry.incarnations_, [&](const std::string& aIncarnation) {
      return HadServerFaultSince(aIncarnation, aEntry.request_.sentMs_);
    });
}

void SoakJournal::OnClosed(const std::string& aId)
{
  auto* entry = Find(aId);
  if (entry == nullptr || entry->ended_) {
    return;
  }
  entry->ended_ = true;
  ++completed_;
  ++counts_["closed"];
  const auto& request = entry->request_;
  const bool connectionsLost =
    gateways_[request.gateway_].connectionsLostMs_ >= request.sentMs_;
  const bool inTime = clock_.NowMs() < request.deadlineMs_;
  if (entry->executions_ > 0 && !connectionsLost && inTime &&
      !HadServerFault(*entry) && ++closedWithoutResponse_ > kAllowedClosed) {
    Report(
      SoakViolation::ClosedWithoutResponse,
      Concat(aId,
             " was forwarded, but its connection closed without a response"));
  }
}

void SoakJournal::OnOverdue(const std::string& aId)
{
  auto* entry = Find(aId);
  if (entry == nullptr || entry->ended_) {
    return;
  }
  entry->ended_ = true;
  ++completed_;
  const auto& request = entry->request_;
  const auto& gateway = gateways_[request.gateway_];
  const bool faulty = !gateway.up_ || gateway.frozen_ ||
                      gateway.connectionsLostMs_ >= request.sentMs_;
  if (!faulty) {
    Report(SoakViolation::NoFinalResponse,
           Concat(aId,
                  " ",
                  EnumName(request.kind_),
                  " has no final response after ",
                  clock_.NowMs() - request.sentMs_,
                  " ms"));
  }
}

void SoakJournal::OnCallerDisconnected(const std::string& aId)
{
  auto* entry = Find(aId);
  if (entry != nullptr && !entry->ended_) {
    entry->ended_ = true;
    entry->disconnectedMs_ = clock_.NowMs();
    ++counts_["left"];
  }
}

void SoakJournal::OnArrived(const std::string& aId,
                            const std::string& aIncarnation,
                            const HttpHead& aHead,
                            const std::string& aBody)
{
  auto* entry = Find(aId);
  if (entry == nullptr) {
    Report(SoakViolation::ChangedRequest,
           Concat("unknown id ", aId, " at ", aIncarnation));
    return;
  }
  entry->incarnations_.insert(aIncarnation);
  const auto& request = entry->request_;
  if (aHead.target_ != request.target_ || aBody != request.body_) {
    Report(
      SoakViolation::ChangedRequest,
      Concat(aId, " arrived with another target or body at ", aIncarnation));
  }
  const bool late =
    entry->disconnectedMs_ != 0 &&
    clock_.NowMs() > entry->disconnectedMs_ + bounds_.disconnectSlackMs_ &&
    !HadServerFaultSince(aIncarnation, clock_.NowMs());
  if (late && IsStable(request.gateway_) &&
      ++sentAfterDisconnect_ > kAllowedSentAfterDisconnect) {
    Report(SoakViolation::SentAfterDisconnect,
           Concat(aId,
                  " reached ",
                  aIncarnation,
                  " ",
                  clock_.NowMs() - entry->disconnectedMs_,
                  " ms after its caller disconnected"));
  }
  CheckNotices(request, aIncarnation);
  CheckLimit(request, aIncarnation);
  if (request.kind_ == SoakRequestKind::Crash) {
    CheckCrashes(request);
  }
}

void SoakJournal::CheckNotices(const SoakRequest& aRequest,
                               const std::string& aIncarnation)
{
  const TimeMs nowMs = clock_.NowMs();
  auto& gateway = gateways_[aRequest.gateway_];
  const auto leaving = gateway.leaving_.find(aIncarnation);
  if (leaving != gateway.leaving_.end() &&
      aRequest.sentMs_ > leaving->second + bounds_.drainMs_) {
    Report(SoakViolation::SentToLeaving,
           Concat(aRequest.id_,
                  " reached ",
                  aIncarnation,
                  " ",
                  nowMs - leaving->second,
                  " ms after gateway ",
                  aRequest.gateway_,
                  " got its leaving notice"));
  }
  const auto draining = draining_.find(aIncarnation);
  if (draining != draining_.end() && IsStable(aRequest.gateway_) &&
      aRequest.sentMs_ > draining->second + bounds_.drainMs_) {
    Report(SoakViolation::SentToLeaving,
           Concat(aRequest.id_,
                  " reached ",
                  aIncarnation,
                  " ",
                  nowMs - draining->second,
                  " ms after it was registered as draining"));
  }
  const auto pause = gateway.paused_.find(aIncarnation);
  if (pause != gateway.paused_.end() &&
      nowMs > pause->second.fromMs_ + bounds_.pauseSlackMs_ &&
      nowMs < pause->second.untilMs_ &&
      !HadServerFaultSince(aIncarnation, nowMs) &&
      ++pause->second.requests_ > kAllowedInPause) {
    Report(SoakViolation::SentInPause,
           Concat(aRequest.id_,
                  " reached ",
                  aIncarnation,
                  " during its pause, which was announced to gateway ",
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
      IsStable(aRequest.gateway_) &&
      ++sendsAfterCrashes_ > kAllowedCrashSends) {
    Report(SoakViolation::RepeatedCrash,
           Concat("a crashing request was sent ",
                  sendsAfterCrashes_,
                  " times after ",
                  crashes_.size(),
                  " crashes"));
  }
}

void SoakJournal::OnExecutionStarted(const std::string& aId,
                                     const std::string& aIncarnation)
{
  auto* entry = Find(aId);
  if (entry == nullptr) {
    return;
  }
  ++counts_["runs"];
  ++entry->executions_;
  if (entry->request_.kind_ != SoakRequestKind::Unsafe) {
    return;
  }
  if (entry->executions_ > 1) {
    Report(SoakViolation::RunTwice,
           Concat(aId, " was executed again at ", aIncarnation));
  }
  if (entry->refused_) {
    Report(SoakViolation::FalseRefusal,
           Concat(aId, " is executed at ", aIncarnation, " after its refusal"));
  }
}

void SoakJournal::OnExecutionFinished(const std::string& aId)
{
  if (auto* entry = Find(aId)) {
    entry->finished_ = true;
  }
}

void SoakJournal::OnLeavingNoticeSent(const std::string& aId,
                                      const std::string& aIncarnation)
{
  if (auto* entry = Find(aId)) {
    entry->leavingIncarnation_ = aIncarnation;
  }
}

void SoakJournal::OnPauseNoticeSent(const std::string& aId,
                                    const std::string& aIncarnation,
                                    TimeMs aPauseMs)
{
  if (const auto* entry = Find(aId); entry != nullptr && !entry->ended_) {
    auto& gateway = gateways_[entry->request_.gateway_];
    if (entry->request_.sentMs_ > gateway.connectionsLostMs_) {
      const TimeMs nowMs = clock_.NowMs();
      auto& pause = gateway.paused_[aIncarnation];
      if (nowMs >= pause.untilMs_) {
        pause = { nowMs, 0, 0 };
      }
      pause.untilMs_ = std::max(pause.untilMs_, nowMs + aPauseMs);
    }
  }
}

void SoakJournal::OnLimitSet(const std::string& aIncarnation,
                             std::optional<double> aPerSecond)
{
  ++counts_["limits-set"];
  limits_.OnLimitSet(aIncarnation, aPerSecond, clock_.NowMs());
}

void SoakJournal::OnLimitNoticeSent(const std::string& aId,
                                    const std::string& aIncarnation)
{
  if (const auto* entry = Find(aId); entry != nullptr && !entry->ended_) {
    const auto gateway = entry->request_.gateway_;
    if (entry->request_.sentMs_ > gateways_[gateway].connectionsLostMs_) {
      limits_.OnTold(aIncarnation, gateway, clock_.NowMs());
    }
  }
}

void SoakJournal::CheckLimit(const SoakRequest& aRequest,
                             const std::string& aIncarnation)
{
  const auto& gateway = gateways_[aRequest.gateway_];
  // A store fault excuses no gateway, unlike a cut of its own link.
  const bool excused =
    !gateway.up_ || gateway.frozen_ || gateway.storeLinkCut_ ||
    clock_.NowMs() - gateway.lastFaultMs_ <= bounds_.stableWindowMs_;
  const auto excess =
    limits_.OnArrived(aIncarnation, aRequest.gateway_, excused, clock_.NowMs());
  if (!excess.empty()) {
    Report(SoakViolation::OverLimit, excess);
  }
}

void SoakJournal::OnCrashed(const std::string& aIncarnation)
{
  crashes_.push_back(clock_.NowMs());
  ++counts_["crashes-by-request"];
  OnServerFault(aIncarnation);
}

void SoakJournal::OnDrainingAccepted(const std::string& aIncarnation)
{
  draining_[aIncarnation] = clock_.NowMs();
}

void SoakJournal::OnKeyGranted(uint32_t aKey,
                               int64_t aFence,
                               const std::string& aIncarnation)
{
  auto& [fence, incarnation] = fences_[aKey];
  if (aFence < fence || (aFence == fence && incarnation != aIncarnation)) {
    Report(SoakViolation::TwoOwners,
           Concat(aIncarnation,
                  " was granted key ",
                  aKey,
                  " with fence ",
                  aFence,
                  ", ",
                  incarnation,
                  " had it with fence ",
                  fence));
  }
  if (aFence >= fence) {
    fence = aFence;
    incarnation = aIncarnation;
  }
}

void SoakJournal::OnKeyConflict(uint32_t aKey, const std::string& aIncarnations)
{
  Report(SoakViolation::TwoOwners,
         Concat("key ", aKey, " is held by ", aIncarnations));
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

std::pair<int, int> SoakJournal::TakeServedCounts()
{
  return { std::exchange(served_, 0), std::exchange(completed_, 0) };
}

void SoakJournal::Report(SoakViolation aViolation, const std::string& aDetail)
{
  violations_.push_back(
    Concat(clock_.NowMs(), " ", EnumName(aViolation), ": ", aDetail));
}

}

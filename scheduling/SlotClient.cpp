#include "scheduling/SlotClient.hpp"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kForgetIntervalMs = 1000;
constexpr int64_t kMaxFirstNumber = INT64_MAX / 2;

/// Answers to the numbers of an earlier process on this instance must not meet
/// those of this one.
int64_t DrawFirstNumber()
{
  std::random_device seed;
  std::uniform_int_distribution<int64_t> draw(1, kMaxFirstNumber);
  return draw(seed);
}

/// Updates the times left.
void Age(SlotRequest& aRequest, TimeMs aElapsedMs)
{
  aRequest.objectiveLeftMs_ -= aElapsedMs;
  aRequest.remainingMs_ =
    std::max<TimeMs>(aRequest.remainingMs_ - aElapsedMs, 0);
}

}

SlotClient::SlotClient(Handlers aHandlers, uint32_t aGateway, uint32_t aDomain)
  : handlers_(std::move(aHandlers))
  , gateway_(aGateway)
  , domain_(aDomain)
  , lastNumber_(detail::DrawFirstNumber())
{
}

SlotDecision SlotClient::Ask(uint64_t aRequester,
                             SlotRequest aRequest,
                             uint32_t aDomain,
                             TimeMs aNowMs)
{
  Withdraw(aRequester);
  aRequest.gateway_ = gateway_;
  aRequest.domain_ = aDomain;
  aRequest.returned_ = false;
  Pending pending;
  pending.requester_ = aRequester;
  pending.homeDomain_ = aDomain;
  pending.request_ = std::move(aRequest);
  pending.validMs_ = aNowMs;
  asking_ = aRequester;
  const bool sent = Send(std::move(pending), aNowMs);
  asking_.reset();
  return sent ? Check(aRequester, aNowMs)
              : SlotDecision{ SlotState::Unscheduled };
}

SlotDecision SlotClient::Check(uint64_t aRequester, TimeMs /*aNowMs*/)
{
  if (const auto node = decided_.extract(aRequester)) {
    return node.mapped().decision_;
  }
  return { numbers_.contains(aRequester) ? SlotState::Pending
                                         : SlotState::Unasked };
}

void SlotClient::Withdraw(uint64_t aRequester)
{
  if (const auto number = numbers_.find(aRequester); number != numbers_.end()) {
    const auto pending = TakePending(number->second);
    End(pending.broker_, pending.request_.number_, pending.request_.service_);
  }
  // A local broker may have decided on the request before.
  if (const auto node = decided_.extract(aRequester);
      node && node.mapped().decision_.state_ == SlotState::Assigned) {
    Return(node.mapped().decision_.number_, SlotOutcome::Unused, 0, {});
  }
}

void SlotClient::Return(int64_t aNumber,
                        SlotOutcome aOutcome,
                        TimeMs aLatencyMs,
                        const std::optional<SlotLoad>& aLoad)
{
  const auto node = slots_.extract(aNumber);
  if (!node) {
    return;
  }
  const auto& slot = node.mapped();
  handlers_.end_(slot.broker_,
                 { .gateway_ = gateway_,
                   .number_ = aNumber,
                   .service_ = slot.service_,
                   .server_ = slot.server_,
                   .outcome_ = aOutcome,
                   .latencyMs_ = aLatencyMs,
                   .load_ = aLoad });
}

void SlotClient::OnAnswer(uint32_t aBroker,
                          const SlotAnswer& aAnswer,
                          TimeMs aNowMs)
{
  avoidedUntilMs_.erase(aBroker);
  heardMs_[aBroker] = aNowMs;
  const auto found = pending_.find(aAnswer.number_);
  if (found == pending_.end() || found->second.broker_ != aBroker) {
    OnUnknown(aBroker, aAnswer);
    return;
  }
  if (aAnswer.verdict_ == SlotVerdict::Queued) {
    found->second.unansweredMs_.reset();
    found->second.resendMs_ = aNowMs + kQueuedResendMs;
    return;
  }
  auto pending = TakePending(aAnswer.number_);
  if (aAnswer.verdict_ == SlotVerdict::Assigned) {
    slots_[aAnswer.number_] = {
      aBroker, pending.request_.service_, aAnswer.server_, aNowMs
    };
    Decide(pending.requester_,
           { .state_ = SlotState::Assigned,
             .server_ = aAnswer.server_,
             .number_ = aAnswer.number_ },
           aNowMs);
  } else if (aAnswer.verdict_ == SlotVerdict::Elsewhere) {
    OnElsewhere(std::move(pending), aAnswer.domain_, aNowMs);
  } else if (pending.request_.domain_ != pending.homeDomain_) {
    const auto refusedBy = pending.request_.domain_;
    SendBack(std::move(pending), refusedBy, aNowMs);
  } else {
    Decide(pending.requester_,
           { .state_ = SlotState::Refused,
             .cause_ = aAnswer.cause_,
             .retryAfterMs_ = aAnswer.retryAfterMs_ },
           aNowMs);
  }
}

void SlotClient::OnUnknown(uint32_t aBroker, const SlotAnswer& aAnswer)
{
  const auto slot = slots_.find(aAnswer.number_);
  const bool isDuplicate =
    slot != slots_.end() && slot->second.broker_ == aBroker;
  if (aAnswer.verdict_ != SlotVerdict::Assigned || isDuplicate) {
    return;
  }
  End(aBroker, aAnswer.number_, 0, aAnswer.server_);
}

void SlotClient::End(uint32_t aBroker,
                     int64_t aNumber,
                     uint32_t aService,
                     uint32_t aServer)
{
  SlotEnd end;
  end.gateway_ = gateway_;
  end.number_ = aNumber;
  end.service_ = aService;
  end.server_ = aServer;
  handlers_.end_(aBroker, end);
}

void SlotClient::OnElsewhere(Pending aPending, uint32_t aDomain, TimeMs aNowMs)
{
  if (aPending.request_.returned_) {
    Decide(aPending.requester_, { SlotState::Unscheduled }, aNowMs);
    return;
  }
  const bool isFirst = aPending.request_.domain_ == aPending.homeDomain_;
  auto crossing = aPending;
  crossing.request_.domain_ = aDomain;
  if (!isFirst || aDomain == 0 || !Send(std::move(crossing), aNowMs)) {
    SendBack(std::move(aPending), aDomain, aNowMs);
  }
}

void SlotClient::SendBack(Pending aPending, uint32_t aRefusedBy, TimeMs aNowMs)
{
  const auto requester = aPending.requester_;
  aPending.request_.domain_ = aPending.homeDomain_;
  aPending.request_.returned_ = true;
  aPending.request_.refusedBy_ = aRefusedBy;
  if (!Send(std::move(aPending), aNowMs)) {
    Decide(requester, { SlotState::Unscheduled }, aNowMs);
  }
}

bool SlotClient::Send(Pending aPending, TimeMs aNowMs)
{
  auto& request = aPending.request_;
  const auto broker = FindBroker(request.service_, request.domain_, aNowMs);
  if (!broker) {
    return false;
  }
  detail::Age(request, aNowMs - aPending.validMs_);
  request.number_ = ++lastNumber_;
  request.crossing_ = request.domain_ != domain_;
  aPending.validMs_ = aNowMs;
  aPending.broker_ = *broker;
  aPending.resendMs_ = aNowMs + kResendMs;
  aPending.unansweredMs_ = aNowMs;
  aPending.repeats_ = 0;
  numbers_[aPending.requester_] = request.number_;
  pending_[request.number_] = aPending;
  // The answer may come during the call.
  handlers_.ask_(*broker, request);
  return true;
}

void SlotClient::Resend(Pending& aPending, TimeMs aNowMs)
{
  detail::Age(aPending.request_, aNowMs - aPending.validMs_);
  aPending.validMs_ = aNowMs;
  if (!aPending.unansweredMs_) {
    aPending.unansweredMs_ = aNowMs;
    aPending.repeats_ = 0;
  }
  aPending.resendMs_ =
    ++aPending.repeats_ < kMinRepeats
      ? aNowMs + (kResendMs << aPending.repeats_)
      : std::max(aNowMs + kResendMs, *aPending.unansweredMs_ + kSilentMs);
  const auto request = aPending.request_;
  handlers_.ask_(aPending.broker_, request);
}

void SlotClient::Poll(TimeMs aNowMs)
{
  std::vector<int64_t> due;
  for (const auto& [number, pending] : pending_) {
    if (pending.resendMs_ <= aNowMs) {
      due.push_back(number);
    }
  }
  for (const auto number : due) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
      continue;
    }
    if (IsSilent(found->second, aNowMs)) {
      OnSilent(number, aNowMs);
    } else {
      Resend(found->second, aNowMs);
    }
  }
  ForgetOld(aNowMs);
}

bool SlotClient::IsSilent(const Pending& aPending, TimeMs aNowMs) const
{
  if (!aPending.unansweredMs_ || aPending.repeats_ < kMinRepeats) {
    return false;
  }
  const auto heard = heardMs_.find(aPending.broker_);
  const TimeMs sinceMs = heard == heardMs_.end()
                           ? *aPending.unansweredMs_
                           : std::max(heard->second, *aPending.unansweredMs_);
  return aNowMs - sinceMs >= kSilentMs;
}

std::optional<uint32_t> SlotClient::FindBroker(uint32_t aService,
                                               uint32_t aDomain,
                                               TimeMs aNowMs)
{
  const auto broker = handlers_.broker_(aService, aDomain, {});
  if (!broker || MayAsk(*broker, aNowMs)) {
    return broker;
  }
  const auto deputy = handlers_.broker_(aService, aDomain, broker);
  return deputy && MayAsk(*deputy, aNowMs) ? deputy : std::nullopt;
}

void SlotClient::OnSilent(int64_t aNumber, TimeMs aNowMs)
{
  auto pending = TakePending(aNumber);
  avoidedUntilMs_[pending.broker_] = aNowMs + kAvoidMs;
  for (auto& [number, other] : pending_) {
    if (other.broker_ == pending.broker_ && !other.unansweredMs_) {
      other.resendMs_ = aNowMs;
    }
  }
  handlers_.onSilent_(pending.broker_, pending.request_);
  End(pending.broker_, aNumber, pending.request_.service_);
  if (pending.request_.domain_ != pending.homeDomain_) {
    const auto refusedBy = pending.request_.domain_;
    SendBack(std::move(pending), refusedBy, aNowMs);
    return;
  }
  const auto requester = pending.requester_;
  if (!Send(std::move(pending), aNowMs)) {
    Decide(requester, { SlotState::Unscheduled }, aNowMs);
  }
}

SlotClient::Pending SlotClient::TakePending(int64_t aNumber)
{
  auto pending = std::move(pending_.extract(aNumber).mapped());
  numbers_.erase(pending.requester_);
  return pending;
}

void SlotClient::Decide(uint64_t aRequester,
                        SlotDecision aDecision,
                        TimeMs aNowMs)
{
  decided_[aRequester] = { aDecision, aNowMs };
  if (asking_ != aRequester) {
    handlers_.onDecided_();
  }
}

bool SlotClient::MayAsk(uint32_t aBroker, TimeMs aNowMs)
{
  const auto avoided = avoidedUntilMs_.find(aBroker);
  if (avoided == avoidedUntilMs_.end()) {
    return true;
  }
  if (aNowMs < avoided->second) {
    return false;
  }
  avoided->second = aNowMs + kSilentMs;
  return true;
}

void SlotClient::ForgetOld(TimeMs aNowMs)
{
  if (aNowMs - forgotMs_ < detail::kForgetIntervalMs) {
    return;
  }
  forgotMs_ = aNowMs;
  std::erase_if(slots_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second.assignedMs_ >= kForgetMs;
  });
  std::erase_if(decided_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second.atMs_ >= kForgetMs;
  });
  std::erase_if(heardMs_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second >= kForgetMs;
  });
  std::erase_if(avoidedUntilMs_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second >= kForgetMs;
  });
}

}

#include "ServerLease.hpp"

#include <algorithm>

namespace cactuspitch {

void ServerLease::BeginTerm(TimeMs aNowMs, bool aKeepsReport)
{
  fencedMs_ = 0;
  // The server is asked at once, and its silence counts from now.
  sentMs_ = setSentMs_ = -timing::kNever;
  sinceMs_ = aNowMs;
  unansweredMs_ = 0;
  if (!aKeepsReport) {
    held_.clear();
    reportAskedMs_ = 0;
    reportValid_ = false;
  }
}

TimeMs ServerLease::Extend()
{
  leaseEndMs_ =
    std::max(leaseEndMs_, stampReceivedMs_ + Stretch(timing::kLeaseMs));
  return stampMs_ + timing::kLeaseMs;
}

void ServerLease::NoteSent(int64_t aOrderId, int64_t aSequence, TimeMs aNowMs)
{
  sentMs_ = aNowMs;
  setSentMs_ = aSequence > 0 ? aNowMs : setSentMs_;
  if (unansweredMs_ == 0) {
    unansweredMs_ = aNowMs;
  }
  constexpr size_t kMaxOutstanding = 16;
  if (outstanding_.size() == kMaxOutstanding) {
    outstanding_.erase(outstanding_.begin());
  }
  outstanding_.push_back({ aOrderId, aSequence, aNowMs });
}

bool ServerLease::OnReply(const ServerReply& aReply, Term aTerm, TimeMs aNowMs)
{
  const auto asked =
    std::ranges::find(outstanding_, aReply.id_, &Outstanding::id_);
  if (aReply.id_ < newestReply_ || asked == outstanding_.end()) {
    return false;
  }
  newestReply_ = aReply.id_;
  reportAskedMs_ = asked->sentMs_;
  const auto sequence = aReply.accepted_ ? asked->sequence_ : 0;
  outstanding_.erase(outstanding_.begin(), std::next(asked));
  if (!incarnation_.empty() && incarnation_ != aReply.incarnation_) {
    // The grants of the earlier incarnation ended with its process.
    leaseEndMs_ = 0;
  }
  gone_ = false;
  incarnation_ = aReply.incarnation_;
  stampMs_ = aReply.clockMs_;
  stampReceivedMs_ = aNowMs;
  answeredMs_ = aNowMs;
  unansweredMs_ = 0;
  held_ = aReply.held_;
  reportValid_ = aReply.validUntilMs_ > aReply.clockMs_;
  draining_ = aReply.draining_;
  reportedSequence_ = aReply.sequence_;
  acceptedSequence_ = std::max(acceptedSequence_, sequence);
  if (fencedMs_ == 0 && aReply.term_ == aTerm) {
    fencedMs_ = aNowMs;
  }
  return true;
}

void ServerLease::OnRefused(int64_t aOrderId, TimeMs aNowMs)
{
  const auto asked =
    std::ranges::find(outstanding_, aOrderId, &Outstanding::id_);
  if (aOrderId < newestReply_ || asked == outstanding_.end()) {
    return;
  }
  newestReply_ = aOrderId;
  outstanding_.erase(outstanding_.begin(), std::next(asked));
  if (!gone_) {
    gone_ = true;
    goneMs_ = aNowMs;
  }
  held_.clear();
  reportValid_ = false;
  leaseEndMs_ = 0;
}

bool ServerLease::IsAwaiting(TimeMs aNowMs) const
{
  return !outstanding_.empty() &&
         aNowMs - outstanding_.back().sentMs_ < timing::kOrderTimeoutMs;
}

bool ServerLease::IsSilent(TimeMs aNowMs) const
{
  // An assigner that was paused itself asks again before it judges.
  return gone_ ||
         (unansweredMs_ > 0 &&
          aNowMs - unansweredMs_ > timing::kSilentMs - timing::kRenewMs &&
          aNowMs - std::max(answeredMs_, sinceMs_) > timing::kSilentMs);
}

bool ServerLease::OwnLeaseEnded(TimeMs aNowMs) const
{
  return aNowMs > leaseEndMs_;
}

bool ServerLease::ReportsAll(KeyHash aBegin, KeyHash aEnd, Epoch aMax) const
{
  auto ranges = held_;
  std::ranges::sort(ranges, {}, &HeldRange::begin_);
  KeyHash next = aBegin;
  for (const auto& range : ranges) {
    if (range.end_ < next) {
      continue;
    }
    if (range.begin_ > next || range.epoch_ > aMax) {
      return false;
    }
    if (range.end_ >= aEnd) {
      return true;
    }
    next = range.end_ + 1;
  }
  return false;
}

bool ServerLease::ReportsAny(KeyHash aBegin, KeyHash aEnd, Epoch aMin) const
{
  return std::ranges::any_of(held_, [=](const HeldRange& aRange) {
    return aRange.begin_ <= aEnd && aRange.end_ >= aBegin &&
           aRange.epoch_ >= aMin;
  });
}

}

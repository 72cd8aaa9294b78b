#include "ServerLease.hpp"

#include <algorithm>

namespace cactuspitch {

void ServerLease::BeginTerm(TimeMs aNowMs, bool aKeepReport)
{
  fencedSinceMs_ = 0;
  // The server gets a command at once, and its silence counts from now on.
  lastSentMs_ = lastGrantSentMs_ = -timing::kNever;
  monitoredSinceMs_ = aNowMs;
  firstUnansweredMs_ = 0;
  if (!aKeepReport) {
    held_.clear();
    reportRequestedMs_ = 0;
    reportValid_ = false;
  }
}

TimeMs ServerLease::ExtendLease()
{
  leaseEndMs_ = std::max(
    leaseEndMs_, serverClockReceivedMs_ + AddClockDrift(timing::kLeaseMs));
  return serverClockMs_ + timing::kLeaseMs;
}

void ServerLease::RecordSent(int64_t aCommandId,
                             int64_t aSequence,
                             TimeMs aNowMs)
{
  lastSentMs_ = aNowMs;
  lastGrantSentMs_ = aSequence > 0 ? aNowMs : lastGrantSentMs_;
  if (firstUnansweredMs_ == 0) {
    firstUnansweredMs_ = aNowMs;
  }
  constexpr size_t kMaxOutstanding = 16;
  if (outstanding_.size() == kMaxOutstanding) {
    outstanding_.erase(outstanding_.begin());
  }
  outstanding_.push_back({ aCommandId, aSequence, aNowMs });
}

bool ServerLease::OnReply(const GrantReply& aReply, Term aTerm, TimeMs aNowMs)
{
  const auto command =
    std::ranges::find(outstanding_, aReply.id_, &Outstanding::id_);
  if (aReply.id_ < newestReplyId_ || command == outstanding_.end()) {
    return false;
  }
  newestReplyId_ = aReply.id_;
  reportRequestedMs_ = command->sentMs_;
  const auto sequence = aReply.accepted_ ? command->sequence_ : 0;
  outstanding_.erase(outstanding_.begin(), std::next(command));
  if (!incarnation_.empty() && incarnation_ != aReply.incarnation_) {
    // The grants of the earlier incarnation ended when its process exited.
    leaseEndMs_ = 0;
  }
  gone_ = false;
  incarnation_ = aReply.incarnation_;
  serverClockMs_ = aReply.clockMs_;
  serverClockReceivedMs_ = aNowMs;
  lastReplyMs_ = aNowMs;
  firstUnansweredMs_ = 0;
  held_ = aReply.held_;
  reportValid_ = aReply.validUntilMs_ > aReply.clockMs_;
  draining_ = aReply.draining_;
  reportedSequence_ = aReply.sequence_;
  acceptedSequence_ = std::max(acceptedSequence_, sequence);
  if (fencedSinceMs_ == 0 && aReply.term_ == aTerm) {
    fencedSinceMs_ = aNowMs;
  }
  return true;
}

void ServerLease::OnConnectionRefused(int64_t aCommandId, TimeMs aNowMs)
{
  const auto command =
    std::ranges::find(outstanding_, aCommandId, &Outstanding::id_);
  if (aCommandId < newestReplyId_ || command == outstanding_.end()) {
    return;
  }
  newestReplyId_ = aCommandId;
  outstanding_.erase(outstanding_.begin(), std::next(command));
  if (!gone_) {
    gone_ = true;
    goneSinceMs_ = aNowMs;
  }
  held_.clear();
  reportValid_ = false;
  leaseEndMs_ = 0;
}

bool ServerLease::IsAwaitingReply(TimeMs aNowMs) const
{
  return !outstanding_.empty() &&
         aNowMs - outstanding_.back().sentMs_ < timing::kCommandTimeoutMs;
}

bool ServerLease::IsSilent(TimeMs aNowMs) const
{
  // An assigner that was paused itself must send a new command before it may
  // treat the server as unresponsive.
  return gone_ || (firstUnansweredMs_ > 0 &&
                   aNowMs - firstUnansweredMs_ >
                     timing::kSilenceTimeoutMs - timing::kRenewIntervalMs &&
                   aNowMs - std::max(lastReplyMs_, monitoredSinceMs_) >
                     timing::kSilenceTimeoutMs);
}

bool ServerLease::HasOwnLeaseExpired(TimeMs aNowMs) const
{
  return aNowMs > leaseEndMs_;
}

bool ServerLease::ReportCovers(KeyHash aBegin, KeyHash aEnd, Epoch aMax) const
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

bool ServerLease::ReportOverlaps(KeyHash aBegin, KeyHash aEnd, Epoch aMin) const
{
  return std::ranges::any_of(held_, [=](const HeldRange& aRange) {
    return aRange.begin_ <= aEnd && aRange.end_ >= aBegin &&
           aRange.epoch_ >= aMin;
  });
}

}

#include "policy/RequestQueue.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace cactuspitch {

namespace {

/// Time reserved for an attempt, in mean service times.
constexpr double kReservedServiceTimes = 2;

}

RequestQueue::RequestQueue(QueueOptions aOptions, uint64_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
{
  entries_.reserve(options_.limit_ + 1);
}

bool RequestQueue::RanksBefore(const Entry& aLeft, const Entry& aRight)
{
  return std::tie(
           aLeft.startTag_, aLeft.request_.deadlineMs_, aLeft.request_.id_) <
         std::tie(
           aRight.startTag_, aRight.request_.deadlineMs_, aRight.request_.id_);
}

void RequestQueue::Offer(const QueuedRequest& aRequest,
                         const ServiceRate& aRate,
                         TimeMs aNowMs,
                         std::vector<RefusedRequest>& aRefused)
{
  const auto key = keys_.find(aRequest.key_);
  const uint64_t startTag =
    key == keys_.end() ? virtualTime_
                       : std::max(virtualTime_, key->second.lastStartTag_ + 1);
  const Entry entry{ startTag, aRequest };
  const auto position = std::ranges::upper_bound(entries_, entry, RanksBefore);
  const auto ahead = static_cast<double>(position - entries_.begin());
  // Half of the remaining time is kept in reserve, because service times vary
  // and the concurrency used for the prediction can decrease.
  const double remainingMs = static_cast<double>(aRequest.deadlineMs_ - aNowMs);
  const bool cannotMeetDeadline =
    (ahead + 1) * aRate.MsPerRequest() > remainingMs / 2 ||
    remainingMs < kReservedServiceTimes * aRate.serviceMs_;
  const bool isLast = position == entries_.end();
  if (cannotMeetDeadline || (isLast && entries_.size() >= options_.limit_)) {
    Refuse(aRequest, aRate, aNowMs, aRefused);
    return;
  }
  entries_.insert(position, entry);
  auto& state = keys_[aRequest.key_];
  state.lastStartTag_ = startTag;
  ++state.queued_;
  if (entries_.size() > options_.limit_) {
    const QueuedRequest lowest = entries_.back().request_;
    entries_.pop_back();
    OnRemoved(lowest.key_);
    Refuse(lowest, aRate, aNowMs, aRefused);
  }
}

std::optional<QueuedRequest> RequestQueue::Take(
  const ServiceRate& aRate,
  TimeMs aNowMs,
  std::vector<RefusedRequest>& aRefused)
{
  Expire(aRate, aNowMs, aRefused);
  if (entries_.empty()) {
    return std::nullopt;
  }
  const Entry first = entries_.front();
  entries_.erase(entries_.begin());
  virtualTime_ = std::max(virtualTime_, first.startTag_);
  OnRemoved(first.request_.key_);
  return first.request_;
}

void RequestQueue::Expire(const ServiceRate& aRate,
                          TimeMs aNowMs,
                          std::vector<RefusedRequest>& aRefused)
{
  const double endMs =
    static_cast<double>(aNowMs) + kReservedServiceTimes * aRate.serviceMs_;
  const auto isLate = [endMs](const Entry& aEntry) {
    return endMs > static_cast<double>(aEntry.request_.deadlineMs_);
  };
  if (std::ranges::none_of(entries_, isLate)) {
    return;
  }
  const auto late = std::stable_partition(
    entries_.begin(), entries_.end(), std::not_fn(isLate));
  const std::vector<Entry> refused(late, entries_.end());
  entries_.erase(late, entries_.end());
  for (const Entry& entry : refused) {
    OnRemoved(entry.request_.key_);
    Refuse(entry.request_, aRate, aNowMs, aRefused);
  }
}

bool RequestQueue::Remove(uint64_t aId)
{
  const auto found = std::ranges::find(
    entries_, aId, [](const Entry& aEntry) { return aEntry.request_.id_; });
  if (found == entries_.end()) {
    return false;
  }
  const KeyHash key = found->request_.key_;
  entries_.erase(found);
  OnRemoved(key);
  return true;
}

TimeMs RequestQueue::RetryAfterMs(const ServiceRate& aRate, TimeMs aNowMs)
{
  const auto nowMs = static_cast<double>(aNowMs);
  const auto minMs = static_cast<double>(options_.minRetryAfterMs_);
  const auto maxMs = static_cast<double>(options_.maxRetryAfterMs_);
  const double backlogMs =
    static_cast<double>(entries_.size()) * aRate.MsPerRequest();
  nextRetryAtMs_ = std::max(nextRetryAtMs_, nowMs + minMs + backlogMs) +
                   aRate.MsPerRequest() / options_.retryCapacityShare_;
  nextRetryAtMs_ = std::min(nextRetryAtMs_, nowMs + maxMs);
  const double waitMs = nextRetryAtMs_ - nowMs;
  constexpr double kJitter = 0.8;
  std::uniform_real_distribution<double> jitter(kJitter * waitMs, waitMs);
  return static_cast<TimeMs>(std::max(minMs, jitter(random_)));
}

TimeMs RequestQueue::EarliestDeadlineMs() const
{
  TimeMs earliest = INT64_MAX;
  for (const Entry& entry : entries_) {
    earliest = std::min(earliest, entry.request_.deadlineMs_);
  }
  return earliest;
}

void RequestQueue::Refuse(const QueuedRequest& aRequest,
                          const ServiceRate& aRate,
                          TimeMs aNowMs,
                          std::vector<RefusedRequest>& aRefused)
{
  aRefused.push_back({ aRequest.id_, RetryAfterMs(aRate, aNowMs) });
}

void RequestQueue::OnRemoved(KeyHash aKey)
{
  const auto found = keys_.find(aKey);
  if (--found->second.queued_ == 0) {
    keys_.erase(found);
  }
}

}

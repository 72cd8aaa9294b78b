#pragma once

#include "common/Types.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

struct QueuedRequest
{
  uint64_t id_ = 0; ///< unique within the queue
  KeyHash key_ = 0;
  TimeMs deadlineMs_ = 0;
};

struct RefusedRequest
{
  uint64_t id_ = 0;
  TimeMs retryAfterMs_ = 0;
};

struct QueueOptions
{
  size_t limit_ = 64;
  TimeMs minRetryAfterMs_ = 50;
  /// 3 times the capacity for 10 s leaves 20 s of refused work, which a
  /// service with 30% to spare needs more than a minute to make up for.
  TimeMs maxRetryAfterMs_ = 120000;
  /// Share of the capacity that callers who come back are spread over; the
  /// rest is left to new requests.
  double retryCapacityShare_ = 0.15;
};

/// What the queue's predictions are made from.
struct ServiceRate
{
  double serviceMs_ = 1;   ///< mean time of one attempt
  double concurrency_ = 1; ///< attempts in flight on average
  double MsPerRequest() const { return serviceMs_ / concurrency_; }
};

/// Bounded queue of one backend server. Keys take turns (start-time fair
/// queueing); requests of one turn are ordered by deadline. Requests that
/// cannot be served in time are refused at once. Not thread-safe.
class RequestQueue
{
public:
  RequestQueue(QueueOptions aOptions, uint64_t aSeed);

  /// Queues the request or refuses it. Appends to aRefused the request itself
  /// or a lower ranked one that had to make room.
  void Offer(const QueuedRequest& aRequest,
             const ServiceRate& aRate,
             TimeMs aNowMs,
             std::vector<RefusedRequest>& aRefused);
  /// Next request to run. Requests that can no longer be served in time are
  /// appended to aRefused.
  std::optional<QueuedRequest> Take(const ServiceRate& aRate,
                                    TimeMs aNowMs,
                                    std::vector<RefusedRequest>& aRefused);
  /// Refuses the queued requests that can no longer be served in time.
  void Expire(const ServiceRate& aRate,
              TimeMs aNowMs,
              std::vector<RefusedRequest>& aRefused);
  /// Removes a request whose caller has gone.
  bool Remove(uint64_t aId);
  /// Time after which a refused caller should come back. Each call reserves a
  /// place in the time that the backlog needs to clear, so that callers are
  /// spread over it.
  TimeMs RetryAfterMs(const ServiceRate& aRate, TimeMs aNowMs);

  size_t Size() const { return entries_.size(); }
  /// Deadline of the most urgent request, INT64_MAX when empty.
  TimeMs EarliestDeadlineMs() const;

private:
  struct Entry
  {
    uint64_t startTag_ = 0;
    QueuedRequest request_;
  };
  struct KeyState
  {
    uint64_t lastStartTag_ = 0;
    size_t queued_ = 0;
  };

  static bool RanksBefore(const Entry& aLeft, const Entry& aRight);
  void Refuse(const QueuedRequest& aRequest,
              const ServiceRate& aRate,
              TimeMs aNowMs,
              std::vector<RefusedRequest>& aRefused);
  void Forget(KeyHash aKey);

  QueueOptions options_;
  std::vector<Entry> entries_; ///< ordered by RanksBefore
  std::unordered_map<KeyHash, KeyState> keys_;
  uint64_t virtualTime_ = 0;
  double nextRetryAtMs_ = 0;
  std::mt19937_64 random_;
};

}

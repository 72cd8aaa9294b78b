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
  /// 10 s at 3 times the capacity leave 20 s of rejected work. A service with
  /// 30% spare capacity needs more than a minute to catch up.
  TimeMs maxRetryAfterMs_ = 120000;
  /// Fraction of the capacity over which the retries of rejected callers are
  /// spread; the rest is left to new requests.
  double retryCapacityShare_ = 0.15;
};

/// Processing rate of a server, from which the queue predicts waiting times.
struct ServiceRate
{
  double serviceMs_ = 1;   ///< mean service time of an attempt
  double concurrency_ = 1; ///< mean number of attempts in flight
  double MsPerRequest() const { return serviceMs_ / concurrency_; }
};

/// Bounded queue of one backend server. Start-time fair queueing shares the
/// server between keys; requests with equal start tags are ordered by deadline.
/// Requests that can't be served in time are rejected immediately. Not
/// thread-safe.
class RequestQueue
{
public:
  RequestQueue(QueueOptions aOptions, uint64_t aSeed);

  /// Queues the request or rejects it. Appends to aRefused the request itself,
  /// or the last queued request if that was displaced.
  void Offer(const QueuedRequest& aRequest,
             const ServiceRate& aRate,
             TimeMs aNowMs,
             std::vector<RefusedRequest>& aRefused);
  /// Removes and returns the next request to run; nullopt if there is none.
  /// Requests that can no longer be served in time are removed and appended to
  /// aRefused.
  std::optional<QueuedRequest> Take(const ServiceRate& aRate,
                                    TimeMs aNowMs,
                                    std::vector<RefusedRequest>& aRefused);
  /// Rejects the queued requests that can no longer be served in time.
  void Expire(const ServiceRate& aRate,
              TimeMs aNowMs,
              std::vector<RefusedRequest>& aRefused);
  /// Removes a request whose caller has disconnected. Returns false if it is
  /// not queued.
  bool Remove(uint64_t aId);
  /// Delay after which a rejected caller should retry. Each call reserves a
  /// later time, so that the retries are spread over the time in which the
  /// backlog clears.
  TimeMs RetryAfterMs(const ServiceRate& aRate, TimeMs aNowMs);

  size_t Size() const { return entries_.size(); }
  /// Deadline of the most urgent request; INT64_MAX if the queue is empty.
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
  /// Updates the state of a key after one of its requests was removed.
  void OnRemoved(KeyHash aKey);

  QueueOptions options_;
  std::vector<Entry> entries_; ///< ordered by RanksBefore
  std::unordered_map<KeyHash, KeyState> keys_;
  uint64_t virtualTime_ = 0;
  double nextRetryAtMs_ = 0;
  std::mt19937_64 random_;
};

}

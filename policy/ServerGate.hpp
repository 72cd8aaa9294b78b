#pragma once

#include "policy/AdmissionPolicy.hpp"
#include "policy/RequestQueue.hpp"

#include <memory>
#include <vector>

namespace cactuspitch {

/// What the caller of ServerGate does after a call.
struct GateActions
{
  std::vector<uint64_t> run_; ///< ids whose attempt starts now
  std::vector<RefusedRequest> refuse_;
  /// Time of the next call of Poll, INT64_MAX when none is needed.
  TimeMs nextPollMs_ = INT64_MAX;
};

/// Way of the requests of one router to one backend server: admission policy
/// and request queue together. Not thread-safe: the router holds a lock for
/// each call and wakes the threads named in the actions.
class ServerGate
{
public:
  ServerGate(std::unique_ptr<AdmissionPolicy> aPolicy,
             QueueOptions aOptions,
             uint64_t aSeed);

  /// A request arrives, also one that comes back after it was shed. When it is
  /// named in neither list of aActions, it waits in the queue.
  void Arrive(const QueuedRequest& aRequest,
              TimeMs aNowMs,
              GateActions& aActions);
  /// An attempt that was run has ended.
  void Finish(AttemptResult aEnd,
              double aLatencyMs,
              TimeMs aNowMs,
              GateActions& aActions);
  void Poll(TimeMs aNowMs, GateActions& aActions);
  /// The caller of a waiting request has gone; false when it is not waiting.
  bool Remove(uint64_t aId) { return queue_.Remove(aId); }

  AdmissionPolicy& Policy() { return *policy_; }
  size_t Waiting() const { return queue_.Size(); }
  TimeMs RetryAfterMs(TimeMs aNowMs);

private:
  ServiceRate Rate(TimeMs aNowMs) const;

  std::unique_ptr<AdmissionPolicy> policy_;
  RequestQueue queue_;
  double serviceMs_ = 1;
  bool measured_ = false;
};

}

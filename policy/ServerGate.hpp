#pragma once

#include "policy/AdmissionPolicy.hpp"
#include "policy/RequestQueue.hpp"

#include <memory>
#include <vector>

namespace cactuspitch {

/// Actions required of the caller after a call of ServerGate.
struct GateActions
{
  std::vector<uint64_t> run_; ///< ids of requests whose attempts start now
  std::vector<RefusedRequest> refuse_;
  /// Time of the next call of Poll(); INT64_MAX if none is needed.
  TimeMs nextPollMs_ = INT64_MAX;
};

/// Admission control for the requests of one router to one backend server:
/// combines an admission policy with a request queue. Not thread-safe: the
/// router locks each call and wakes the threads of the requests in the actions.
class ServerGate
{
public:
  ServerGate(std::unique_ptr<AdmissionPolicy> aPolicy,
             QueueOptions aOptions,
             uint64_t aSeed);

  /// Submits a new request, or one whose attempt was shed. It is queued if
  /// aActions lists it neither in run_ nor in refuse_.
  void Arrive(const QueuedRequest& aRequest,
              TimeMs aNowMs,
              GateActions& aActions);
  /// Reports the result of an attempt that was listed in run_.
  void Finish(AttemptResult aResult,
              double aLatencyMs,
              TimeMs aNowMs,
              GateActions& aActions);
  void Poll(TimeMs aNowMs, GateActions& aActions);
  /// Removes a queued request whose caller has disconnected. Returns false if
  /// it is not queued.
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

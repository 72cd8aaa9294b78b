#pragma once

#include "common/Clock.hpp"
#include "policy/ServerGate.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace cactuspitch {

struct AdmissionResult
{
  bool admitted_ = false;
  /// Time after which a refused caller should retry.
  TimeMs retryAfterMs_ = 0;
};

/// Thread-safe wrapper of ServerGate. The thread of a request blocks until the
/// request is admitted or refused.
class AdmissionController
{
public:
  AdmissionController(const Clock& aClock, std::unique_ptr<ServerGate> aGate);

  /// Blocks until the request is admitted or refused, at most until
  /// aDeadlineMs. Each admitted request must be followed by one Release().
  AdmissionResult Acquire(KeyHash aKey, TimeMs aDeadlineMs);
  void Release(AttemptResult aEnd, double aLatencyMs);
  /// The backend server has restarted and has to warm up.
  void OnColdStart();
  void OnLoadHint(double aLoad);
  /// Time after which a caller refused now should retry.
  TimeMs RetryAfterMs();
  /// Concurrency limit now in force.
  double Limit() const;
  int InFlight() const;
  size_t Waiting() const;

private:
  enum class State : uint8_t
  {
    Waiting,
    Admitted,
    Refused
  };
  struct Waiter
  {
    std::condition_variable changed_;
    State state_ = State::Waiting;
    TimeMs retryAfterMs_ = 0;
  };

  AdmissionResult Wait(std::unique_lock<std::mutex>& aLock,
                       uint64_t aId,
                       TimeMs aDeadlineMs);
  /// Wakes the threads whose requests aActions admits or refuses.
  void Apply(const GateActions& aActions);

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::unique_ptr<ServerGate> gate_;
  std::unordered_map<uint64_t, Waiter*> waiters_;
  uint64_t nextId_ = 1;
  TimeMs nextPollMs_ = INT64_MAX;
};

}

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
  /// Time after which a refused caller should come back.
  TimeMs retryAfterMs_ = 0;
};

/// ServerGate for the threads of the router: a request waits in its own thread
/// until it is admitted or refused.
class AdmissionController
{
public:
  AdmissionController(const Clock& aClock, std::unique_ptr<ServerGate> aGate);

  /// An admitted request must be given back with Leave().
  AdmissionResult Acquire(KeyHash aKey, TimeMs aDeadlineMs);
  void Release(AttemptEnd aEnd, double aLatencyMs);
  void OnColdStart();
  void OnLoadHint(double aLoad);
  TimeMs RetryAfterMs();
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
  /// Wakes the threads that aActions names.
  void Apply(const GateActions& aActions);

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::unique_ptr<ServerGate> gate_;
  std::unordered_map<uint64_t, Waiter*> waiters_;
  uint64_t nextId_ = 1;
  TimeMs nextPollMs_ = INT64_MAX;
};

}

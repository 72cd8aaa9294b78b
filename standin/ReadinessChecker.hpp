#pragma once

#include "common/Clock.hpp"

#include <atomic>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// Simulates the readiness checks of the platform's load balancer: polls
/// /_ready of each entry instance in turn.
class ReadinessChecker
{
public:
  /// With an interval of 0 there are no checks and every target counts as
  /// ready.
  ReadinessChecker(const Clock& aClock,
                   std::vector<std::string> aTargets,
                   TimeMs aIntervalMs);
  ~ReadinessChecker();
  ReadinessChecker(const ReadinessChecker&) = delete;
  ReadinessChecker& operator=(const ReadinessChecker&) = delete;

  /// Result of the last check of the target; true before the first.
  bool IsReady(size_t aTarget) const { return ready_[aTarget]; }

private:
  void Run();

  const Clock& clock_;
  const std::vector<std::string> targets_;
  const TimeMs intervalMs_;
  std::deque<std::atomic<bool>> ready_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}

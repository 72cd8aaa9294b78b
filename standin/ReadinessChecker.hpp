#pragma once

#include "common/Clock.hpp"

#include <atomic>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// Stands in for the readiness checks of the platform's balancer: asks every
/// entry instance for /_ready in turn.
class ReadinessChecker
{
public:
  /// aIntervalMs 0: every target counts as ready.
  ReadinessChecker(const Clock& aClock,
                   std::vector<std::string> aTargets,
                   TimeMs aIntervalMs);
  ~ReadinessChecker();
  ReadinessChecker(const ReadinessChecker&) = delete;
  ReadinessChecker& operator=(const ReadinessChecker&) = delete;

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

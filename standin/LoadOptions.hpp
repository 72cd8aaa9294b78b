#pragma once

#include "common/Types.hpp"

#include <atomic>
#include <string>
#include <vector>

namespace cactuspitch {

/// Options of the load generator.
struct LoadOptions
{
  std::vector<std::string> targets_;  ///< entry instances, IP:port
  std::vector<std::string> services_; ///< chosen with equal probability
  /// Requests per second over all connections; 0 selects a closed loop.
  double rate_ = 100;
  TimeMs durationMs_ = 5000;
  int connections_ = 8;
  size_t keys_ = 1000;
  double zipfExponent_ = 0.9;
  uint64_t seed_ = 1;
  TimeMs hotSetChangeMs_ = 0; ///< interval of hot set changes; 0: never
  int postPercent_ = 20;
  TimeMs deadlineMs_ = 2000;
  /// Attempts for one request, including the first.
  int maxAttempts_ = 3;
  uint64_t blobBytes_ = 0; ///< above 0: every request downloads this much
  std::string idPrefix_ = "load";
  std::string history_; ///< path of the history file; empty: none
  /// Value of X-Slice-Epoch, for measurements without a router; 0: not sent.
  Epoch epoch_ = 0;
  /// Time at the start that the goodput figure excludes.
  TimeMs warmupMs_ = 0;
  /// Interval of readiness checks like those of the platform's load balancer;
  /// 0: none.
  TimeMs readyCheckMs_ = 0;
  /// Stops the load early when the value becomes true; may be null.
  const std::atomic<bool>* stop_ = nullptr;
};

}

#pragma once

#include "common/Types.hpp"

#include <atomic>
#include <string>
#include <vector>

namespace cactuspitch {

struct LoadOptions
{
  std::vector<std::string> targets_;  ///< entry instances, IP:port
  std::vector<std::string> services_; ///< drawn evenly
  /// Requests a second over all connections; 0: closed loop.
  double rate_ = 100;
  TimeMs durationMs_ = 5000;
  int connections_ = 8;
  size_t keys_ = 1000;
  double zipfExponent_ = 0.9;
  uint64_t seed_ = 1;
  TimeMs hotSetChangeMs_ = 0; ///< 0: never
  int postPercent_ = 20;
  TimeMs deadlineMs_ = 2000;
  /// Sends of one request, the first included.
  int maxAttempts_ = 3;
  uint64_t blobBytes_ = 0; ///< above 0: every request is a download
  std::string idPrefix_ = "load";
  std::string history_; ///< file, empty: none
  /// Sent as X-Slice-Epoch, for a measurement without router; 0: not sent.
  Epoch epoch_ = 0;
  /// The goodput bar of the report leaves out this much of the start.
  TimeMs warmupMs_ = 0;
  /// Interval of readiness checks, as the platform's balancer makes them; 0:
  /// none.
  TimeMs readyCheckMs_ = 0;
  /// Ends the load before its time when set to true; may be null.
  const std::atomic<bool>* stop_ = nullptr;
};

}

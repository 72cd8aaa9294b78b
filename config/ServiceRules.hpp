#pragma once

#include <cstdint>
#include <string>

namespace cactuspitch {

/// Rules in force for one service (and failure domain, backend server or key):
/// the defaults with the exceptions applied.
struct ServiceRules
{
  // Requests
  int64_t defaultDeadlineMs_ = 2000;
  int64_t maxDeadlineMs_ = 30000;
  int64_t attemptTimeoutMs_ = 1000;
  int64_t maxAttempts_ = 3;
  int64_t retryBudgetPercent_ = 10;
  int64_t queueLimit_ = 64;
  int64_t maxRequestBytes_ = 1 << 20;
  int64_t quarantineMs_ = 600000;
  std::string admissionPolicy_ = "adaptive";

  // Ownership and balancing
  std::string balancingPolicy_ = "load-per-key";
  int64_t churnPercentPerMinute_ = 1;
  int64_t actAbovePercent_ = 110;
  int64_t stopBelowPercent_ = 105;
  int64_t hotKeyPercent_ = 30;
  int64_t warmupMs_ = 30000;

  // Objectives of the SLO burn report
  double availabilityPercent_ = 99.9;
  int64_t latencyMs_ = 500;
  double latencyPercent_ = 99.0;
};

}

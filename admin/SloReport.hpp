#pragma once

#include "SloArchive.hpp"
#include "config/ServiceRules.hpp"

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

/// Requests that an objective counts, and those that miss it.
struct SloRatio
{
  int64_t total_ = 0;
  int64_t bad_ = 0;
};

struct SloWindow
{
  std::string name_;
  int64_t minutes_ = 0;
  SloRatio ratio_;
  /// Share of missed requests over the share that the objective allows; 1
  /// uses up the budget exactly at the end of the period.
  double burnRate_ = 0;
};

/// One part of what used up the budget in the last 24 hours.
struct SloContribution
{
  std::string cause_;
  std::string server_;
  std::string failureDomain_;
  int64_t requests_ = 0;
  double shareOfBad_ = 0;
};

struct SloPoint
{
  int64_t minute_ = 0;
  double value_ = 0;
};

struct SloObjective
{
  std::string service_;
  std::string name_; ///< availability or latency
  double targetPercent_ = 0;
  int64_t latencyMs_ = 0; ///< 0 for availability
  std::vector<SloWindow> windows_;
  /// Share of the period's budget that is left; negative when overspent.
  double remainingBudget_ = 1;
  bool fastBurn_ = false;
  bool slowBurn_ = false;
  std::vector<SloContribution> contributions_;
  /// Burn over five minutes, for the last six hours.
  std::vector<SloPoint> burnRateSeries_;
  /// Budget left at the end of each hour of the period.
  std::vector<SloPoint> budgetSeries_;
};

struct SloReport
{
  int64_t nowMs_ = 0;
  /// Last save of the counters, 0 when there was none.
  int64_t savedMs_ = 0;
  std::vector<SloObjective> objectives_;
};

/// Two windows must both burn at this rate, so that an alert neither comes
/// from a short spike nor stays on after the fault has ended.
struct SloAlertRule
{
  const char* longWindow_;
  const char* shortWindow_;
  double burnRate_;
};
/// 2% of a 30 day budget in one hour.
inline constexpr SloAlertRule kFastBurn = { "1h", "5m", 14.4 };
/// 5% of a 30 day budget in six hours.
inline constexpr SloAlertRule kSlowBurn = { "6h", "30m", 6.0 };

/// Objectives are those of aRules for each service; services of the history
/// without rules get aDefaults.
SloReport MakeSloReport(const SloHistory& aHistory,
                        const std::map<std::string, ServiceRules>& aRules,
                        const ServiceRules& aDefaults,
                        int64_t aNowMs);

nlohmann::json ToJson(const SloReport& aReport);

}

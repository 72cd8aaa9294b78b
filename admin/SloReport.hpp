#pragma once

#include "SloArchive.hpp"
#include "config/ServiceRules.hpp"

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

/// Requests that an objective covers, and those of them that miss it.
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
  /// Share of requests that miss the objective, divided by the share that it
  /// allows. At a constant rate of 1, the error budget is used up exactly at
  /// the end of the period.
  double burnRate_ = 0;
};

/// Requests of one cause and backend server that missed the objective in the
/// last 24 hours.
struct SloContribution
{
  std::string cause_;
  std::string server_;
  std::string failureDomain_;
  int64_t requests_ = 0;
  double shareOfBad_ = 0; ///< of all requests that missed it, up to 1
};

struct SloPoint
{
  int64_t minute_ = 0; ///< since the Unix epoch
  double value_ = 0;
};

struct SloObjective
{
  std::string service_;
  std::string name_; ///< availability or latency
  double targetPercent_ = 0;
  int64_t latencyMs_ = 0; ///< 0 for availability
  std::vector<SloWindow> windows_;
  /// Share of the period's error budget that is left; negative when exceeded.
  double remainingBudget_ = 1;
  bool fastBurn_ = false;
  bool slowBurn_ = false;
  /// The ten largest, in descending order.
  std::vector<SloContribution> contributions_;
  /// Burn rate of each five minutes of the last six hours.
  std::vector<SloPoint> burnRateSeries_;
  /// Budget left at the end of each hour of the period.
  std::vector<SloPoint> budgetSeries_;
};

struct SloReport
{
  int64_t nowMs_ = 0; ///< Unix time
  /// Unix time of the last save of the counts, 0 when there was none.
  int64_t savedMs_ = 0;
  std::vector<SloObjective> objectives_;
};

/// Alert that fires while the burn rate of both windows is at least burnRate_.
/// The long window keeps short spikes from firing the alert, and the short one
/// ends the alert soon after the fault has ended.
struct SloAlertRule
{
  const char* longWindow_;
  const char* shortWindow_;
  double burnRate_;
};
/// Uses up 2% of the 30-day error budget in one hour.
inline constexpr SloAlertRule kFastBurn = { "1h", "5m", 14.4 };
/// Uses up 5% of the 30-day error budget in six hours.
inline constexpr SloAlertRule kSlowBurn = { "6h", "30m", 6.0 };

/// Reports on every service in aRules or aHistory, with the objectives of
/// aRules, or of aDefaults for services without rules. aNowMs is Unix time.
SloReport MakeSloReport(const SloHistory& aHistory,
                        const std::map<std::string, ServiceRules>& aRules,
                        const ServiceRules& aDefaults,
                        int64_t aNowMs);

nlohmann::json ToJson(const SloReport& aReport);

}

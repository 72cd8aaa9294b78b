#include "SloReport.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr int64_t kMsPerMinute = 60000;
constexpr int64_t kBurnSeriesMinutes = 360;
constexpr int64_t kBurnSeriesStepMinutes = 5;
constexpr size_t kMaxContributions = 10;
constexpr double kPercent = 100.0;

struct WindowSpec
{
  const char* name_;
  int64_t minutes_;
  /// Whether it is computed from the minute counts instead of the hour counts.
  bool usesMinutes_;
};

constexpr WindowSpec kWindows[] = {
  { "5m", 5, true },       { "30m", 30, true },    { "1h", 60, true },
  { "6h", 360, true },     { "24h", 1440, false }, { "3d", 4320, false },
  { "30d", 43200, false },
};

/// Selects the cells that an objective of one service covers, and computes its
/// burn rate.
class Objective
{
public:
  Objective(std::string aService, bool aIsLatency, double aTargetPercent)
    : service_(std::move(aService))
    , isLatency_(aIsLatency)
    , allowedBadShare_((kPercent - aTargetPercent) / kPercent)
  {
  }

  bool Includes(const SloKey& aKey) const
  {
    return aKey.service_ == service_ &&
           (!isLatency_ || aKey.cause_.empty() || aKey.cause_ == kSlowCause);
  }

  bool IsBad(const SloKey& aKey) const
  {
    return isLatency_ ? aKey.cause_ == kSlowCause
                      : !aKey.cause_.empty() && aKey.cause_ != kSlowCause;
  }

  void Add(const SloCells& aCells, SloRatio& aRatio) const
  {
    for (const auto& [key, requests] : aCells) {
      if (Includes(key)) {
        aRatio.total_ += requests;
        aRatio.bad_ += IsBad(key) ? requests : 0;
      }
    }
  }

  /// Over the slots from aFrom to aEnd, excluding aEnd.
  SloRatio Ratio(const std::map<int64_t, SloCells>& aSlots,
                 int64_t aFrom,
                 int64_t aEnd) const
  {
    SloRatio ratio;
    const auto end = aSlots.lower_bound(aEnd);
    for (auto it = aSlots.lower_bound(aFrom); it != end; ++it) {
      Add(it->second, ratio);
    }
    return ratio;
  }

  double BurnRate(const SloRatio& aRatio) const
  {
    return aRatio.total_ == 0
             ? 0
             : static_cast<double>(aRatio.bad_) /
                 static_cast<double>(aRatio.total_) / allowedBadShare_;
  }

private:
  std::string service_;
  bool isLatency_;
  double allowedBadShare_;
};

const SloWindow& FindWindow(const SloObjective& aObjective,
                            std::string_view aName)
{
  return *std::ranges::find(aObjective.windows_, aName, &SloWindow::name_);
}

bool IsAlertFiring(const SloObjective& aObjective, const SloAlertRule& aRule)
{
  return FindWindow(aObjective, aRule.longWindow_).burnRate_ >=
           aRule.burnRate_ &&
         FindWindow(aObjective, aRule.shortWindow_).burnRate_ >=
           aRule.burnRate_;
}

std::vector<SloContribution> FindContributions(const SloHistory& aHistory,
                                               const Objective& aObjective,
                                               int64_t aFromMinute)
{
  SloCells bad;
  int64_t total = 0;
  for (auto it = aHistory.hours_.lower_bound(aFromMinute);
       it != aHistory.hours_.end();
       ++it) {
    for (const auto& [key, requests] : it->second) {
      if (aObjective.Includes(key) && aObjective.IsBad(key)) {
        bad[key] += requests;
        total += requests;
      }
    }
  }
  std::vector<SloContribution> contributions;
  for (const auto& [key, requests] : bad) {
    contributions.push_back(
      { key.cause_,
        key.server_,
        key.failureDomain_,
        requests,
        static_cast<double>(requests) / static_cast<double>(total) });
  }
  std::ranges::sort(
    contributions, std::ranges::greater{}, &SloContribution::requests_);
  contributions.resize(std::min(contributions.size(), kMaxContributions));
  return contributions;
}

/// The error budget of a period is the allowed share of the period's requests.
/// As their number is known only at the end, the requests so far are used.
std::vector<SloPoint> BudgetSeries(const SloHistory& aHistory,
                                   const Objective& aObjective,
                                   int64_t aFromMinute)
{
  const auto whole = aObjective.Ratio(aHistory.hours_, aFromMinute, INT64_MAX);
  std::vector<SloPoint> series;
  SloRatio sum;
  for (auto it = aHistory.hours_.lower_bound(aFromMinute);
       it != aHistory.hours_.end();
       ++it) {
    aObjective.Add(it->second, sum);
    const SloRatio spent{ whole.total_, sum.bad_ };
    series.push_back(
      { it->first + kMinutesPerHour, 1 - aObjective.BurnRate(spent) });
  }
  return series;
}

SloObjective MakeObjective(const SloHistory& aHistory,
                           const std::string& aService,
                           const ServiceRules& aRules,
                           bool aIsLatency,
                           int64_t aNowMinute)
{
  SloObjective result;
  result.service_ = aService;
  result.name_ = aIsLatency ? "latency" : "availability";
  result.targetPercent_ =
    aIsLatency ? aRules.latencyPercent_ : aRules.availabilityPercent_;
  result.latencyMs_ = aIsLatency ? aRules.latencyMs_ : 0;
  const Objective objective(aService, aIsLatency, result.targetPercent_);
  for (const auto& spec : kWindows) {
    // Every window includes the current minute, although it is incomplete.
    const auto from = aNowMinute + 1 - spec.minutes_;
    const auto ratio = objective.Ratio(
      spec.usesMinutes_ ? aHistory.minutes_ : aHistory.hours_, from, INT64_MAX);
    result.windows_.push_back(
      { spec.name_, spec.minutes_, ratio, objective.BurnRate(ratio) });
  }
  result.remainingBudget_ = 1 - result.windows_.back().burnRate_;
  result.fastBurn_ = IsAlertFiring(result, kFastBurn);
  result.slowBurn_ = IsAlertFiring(result, kSlowBurn);
  result.contributions_ =
    FindContributions(aHistory, objective, aNowMinute + 1 - kMinutesPerDay);
  for (auto minute = aNowMinute + 1 - kBurnSeriesMinutes; minute <= aNowMinute;
       minute += kBurnSeriesStepMinutes) {
    const auto ratio = objective.Ratio(
      aHistory.minutes_, minute, minute + kBurnSeriesStepMinutes);
    result.burnRateSeries_.push_back({ minute, objective.BurnRate(ratio) });
  }
  result.budgetSeries_ = BudgetSeries(
    aHistory, objective, aNowMinute + 1 - kSloPeriodDays * kMinutesPerDay);
  return result;
}

nlohmann::json ToJson(const std::vector<SloPoint>& aSeries)
{
  auto list = nlohmann::json::array();
  for (const auto& point : aSeries) {
    list.push_back({ point.minute_, point.value_ });
  }
  return list;
}

nlohmann::json ToJson(const SloObjective& aObjective)
{
  auto windows = nlohmann::json::array();
  for (const auto& window : aObjective.windows_) {
    windows.push_back({ { "window", window.name_ },
                        { "requests", window.ratio_.total_ },
                        { "bad", window.ratio_.bad_ },
                        { "burn", window.burnRate_ } });
  }
  auto contributions = nlohmann::json::array();
  for (const auto& contribution : aObjective.contributions_) {
    contributions.push_back({ { "cause", contribution.cause_ },
                              { "server", contribution.server_ },
                              { "failureDomain", contribution.failureDomain_ },
                              { "requests", contribution.requests_ },
                              { "shareOfBad", contribution.shareOfBad_ } });
  }
  return { { "service", aObjective.service_ },
           { "objective", aObjective.name_ },
           { "targetPercent", aObjective.targetPercent_ },
           { "latencyMs", aObjective.latencyMs_ },
           { "budgetLeft", aObjective.remainingBudget_ },
           { "fastBurn", aObjective.fastBurn_ },
           { "slowBurn", aObjective.slowBurn_ },
           { "windows", std::move(windows) },
           { "causes", std::move(contributions) },
           { "burnSeries", ToJson(aObjective.burnRateSeries_) },
           { "budgetSeries", ToJson(aObjective.budgetSeries_) } };
}

}

SloReport MakeSloReport(const SloHistory& aHistory,
                        const std::map<std::string, ServiceRules>& aRules,
                        const ServiceRules& aDefaults,
                        int64_t aNowMs)
{
  std::set<std::string> services;
  for (const auto& [service, rules] : aRules) {
    services.insert(service);
  }
  for (const auto* slots : { &aHistory.hours_, &aHistory.minutes_ }) {
    for (const auto& [slot, cells] : *slots) {
      for (const auto& [key, requests] : cells) {
        services.insert(key.service_);
      }
    }
  }
  SloReport report;
  report.nowMs_ = aNowMs;
  report.savedMs_ = aHistory.savedMs_;
  for (const auto& service : services) {
    const auto found = aRules.find(service);
    const auto& rules = found == aRules.end() ? aDefaults : found->second;
    for (const bool isLatency : { false, true }) {
      report.objectives_.push_back(detail::MakeObjective(
        aHistory, service, rules, isLatency, aNowMs / detail::kMsPerMinute));
    }
  }
  return report;
}

nlohmann::json ToJson(const SloReport& aReport)
{
  auto objectives = nlohmann::json::array();
  for (const auto& objective : aReport.objectives_) {
    objectives.push_back(detail::ToJson(objective));
  }
  return {
    { "now", aReport.nowMs_ },
    { "saved", aReport.savedMs_ },
    { "periodDays", kSloPeriodDays },
    { "accuracy",
      "A replaced router or admin process loses at most the last unsaved "
      "minute. Nothing is counted twice; a router started twice within 30 s "
      "is counted too low." },
    { "objectives", std::move(objectives) },
  };
}

}

#include "BalanceDuty.hpp"

#include "common/Log.hpp"
#include "config/FleetDocument.hpp"
#include "config/RuleResolver.hpp"

#include <algorithm>
#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr size_t kReports = 1024;
constexpr TimeMs kPlanMs = 1000;
const char* const kDefaultPolicy = "load-per-key";

BalanceOptions OptionsOf(const ServiceRules& aRules)
{
  constexpr double kPercent = 100;
  BalanceOptions options;
  options.churnPercentPerMinute_ =
    static_cast<double>(aRules.churnPercentPerMinute_);
  options.actAbove_ = static_cast<double>(aRules.actAbovePercent_) / kPercent;
  options.stopBelow_ = static_cast<double>(aRules.stopBelowPercent_) / kPercent;
  options.hotKeyShareOfMean_ =
    static_cast<double>(aRules.hotKeyPercent_) / kPercent;
  options.warmupMs_ = aRules.warmupMs_;
  return options;
}

}

BalanceDuty::BalanceDuty(const Clock& aClock,
                         ControlDuty& aControl,
                         const FleetConfig& aConfig)
  : clock_(aClock)
  , control_(aControl)
  , config_(aConfig)
  , ring_(detail::kReports)
{
}

BalanceDuty::~BalanceDuty()
{
  Stop();
}

void BalanceDuty::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void BalanceDuty::Stop()
{
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void BalanceDuty::Report(wire::LoadReport aReport)
{
  // A lost report is replaced by the router's next one.
  ring_.TryPush(std::move(aReport));
}

void BalanceDuty::Run()
{
  TimeMs plannedMs = clock_.NowMs();
  while (!ring_.IsClosed()) {
    const auto waitMs =
      std::max<TimeMs>(0, plannedMs + detail::kPlanMs - clock_.NowMs());
    const auto report = ring_.Pop(std::chrono::milliseconds(waitMs));
    if (report) {
      Merge(*report);
    }
    if (clock_.NowMs() - plannedMs >= detail::kPlanMs) {
      plannedMs = clock_.NowMs();
      PlanAll();
    }
  }
}

void BalanceDuty::Merge(const wire::LoadReport& aReport)
{
  std::map<std::string, RouterLoadReport> loads;
  for (const auto& slice : aReport.slices) {
    loads[slice.serviceName].slices_.push_back(
      { static_cast<KeyHash>(slice.hashBegin), slice.requests, slice.busyMs });
  }
  for (const auto& key : aReport.hotKeys) {
    loads[key.serviceName].hotKeys_.push_back(
      { static_cast<KeyHash>(key.keyHash), key.requests });
  }
  for (auto& [service, load] : loads) {
    if (control_.Find(service) == nullptr) {
      continue;
    }
    load.router_ = aReport.instance;
    load.windowMs_ = aReport.windowMs;
    services_[service].merger_.Add(load, clock_.NowMs());
  }
}

void BalanceDuty::PlanAll()
{
  for (const auto& host : control_.All()) {
    const bool leads = host->With([](GroupController& aControl) {
      return aControl.Role() == GroupRole::Assigner;
    });
    if (leads) {
      Plan(*host, services_[host->Service()]);
    }
  }
}

ServiceRules BalanceDuty::RulesOf(const std::string& aService) const
{
  Findings findings;
  const auto document = ParseFleetDocument(config_.Get().json_, findings);
  if (!document) {
    return {};
  }
  RuleScope scope;
  scope.service_ = aService;
  return RuleResolver(*document, UnixNowMs()).Resolve(scope);
}

void BalanceDuty::UpdatePolicy(const std::string& aService,
                               ServiceState& aState)
{
  const auto version = config_.Version();
  if (aState.policy_ && aState.configVersion_ == version) {
    return;
  }
  aState.configVersion_ = version;
  const auto rules = RulesOf(aService);
  const auto options = detail::OptionsOf(rules);
  // A new policy would forget the churn budget that is already used.
  if (aState.policy_ && aState.options_ == options &&
      aState.policyName_ == rules.balancingPolicy_) {
    return;
  }
  aState.options_ = options;
  aState.policyName_ = rules.balancingPolicy_;
  auto& registry = BalancingRegistry::Global();
  aState.policy_ = registry.Create(rules.balancingPolicy_, options);
  if (!aState.policy_) {
    Log(LogLevel::Warning,
        "unknown balancing policy",
        { { "service", aService }, { "policy", rules.balancingPolicy_ } });
    aState.policy_ = registry.Create(detail::kDefaultPolicy, options);
  }
}

void BalanceDuty::Plan(GroupHost& aHost, ServiceState& aState)
{
  UpdatePolicy(aHost.Service(), aState);
  if (!aState.policy_) {
    return;
  }
  const auto now = clock_.NowMs();
  GroupTable table;
  std::vector<bool> usable;
  aHost.With([&](GroupController& aControl) {
    table = aControl.Table();
    const auto& state = aControl.State();
    for (size_t i = 0; i < state.leases_.size(); ++i) {
      usable.push_back(state.IsUsable(static_cast<int32_t>(i), now));
    }
  });
  if (table.slices_.empty() || usable.size() != table.servers_.size()) {
    return;
  }
  BalanceInput input;
  aState.merger_.Fill(table, now, input);
  input.serverUsable_ = std::move(usable);
  KeepLoads(aHost.Service(), input);
  Apply(aHost, aState.policy_->Plan(input), table);
}

void BalanceDuty::KeepLoads(const std::string& aService,
                            const BalanceInput& aInput)
{
  std::map<KeyHash, double> loads;
  for (size_t i = 0; i < aInput.sliceLoad_.size(); ++i) {
    if (aInput.sliceLoad_[i] > 0) {
      loads[aInput.table_->slices_[i].begin_] = aInput.sliceLoad_[i];
    }
  }
  const std::lock_guard lock(loadsMutex_);
  sliceLoads_[aService] = std::move(loads);
}

std::map<KeyHash, double> BalanceDuty::SliceLoads(
  const std::string& aService) const
{
  const std::lock_guard lock(loadsMutex_);
  const auto found = sliceLoads_.find(aService);
  return found == sliceLoads_.end() ? std::map<KeyHash, double>()
                                    : found->second;
}

void BalanceDuty::Apply(GroupHost& aHost,
                        const BalancePlan& aPlan,
                        const GroupTable& aTable)
{
  aHost.With([&](GroupController& aControl) {
    for (const auto hash : aPlan.splits_) {
      aControl.SplitOut(hash);
    }
    for (const auto begin : aPlan.merges_) {
      aControl.MergeBack(begin);
    }
    for (const auto& move : aPlan.moves_) {
      const auto* target = aTable.Server(move.target_);
      if (target != nullptr) {
        aControl.MoveSlice(move.sliceBegin_, target->id_, move.reason_);
      }
    }
  });
}

}

#include "SliceBalancer.hpp"

#include "common/Log.hpp"
#include "config/FleetDocument.hpp"
#include "config/RuleResolver.hpp"

#include <algorithm>
#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr size_t kQueueCapacity = 1024;
constexpr TimeMs kPlanIntervalMs = 1000;
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

SliceBalancer::SliceBalancer(const Clock& aClock,
                             ControlLoop& aControl,
                             const FleetConfig& aConfig)
  : clock_(aClock)
  , control_(aControl)
  , config_(aConfig)
  , ring_(detail::kQueueCapacity)
{
}

SliceBalancer::~SliceBalancer()
{
  Stop();
}

void SliceBalancer::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void SliceBalancer::Stop()
{
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void SliceBalancer::AddReport(wire::LoadReport aReport)
{
  // A dropped report is superseded by the router's next one.
  ring_.TryPush(std::move(aReport));
}

void SliceBalancer::Run()
{
  TimeMs lastPlanMs = clock_.NowMs();
  while (!ring_.IsClosed()) {
    const auto waitMs = std::max<TimeMs>(
      0, lastPlanMs + detail::kPlanIntervalMs - clock_.NowMs());
    const auto report = ring_.Pop(std::chrono::milliseconds(waitMs));
    if (report) {
      Merge(*report);
    }
    if (clock_.NowMs() - lastPlanMs >= detail::kPlanIntervalMs) {
      lastPlanMs = clock_.NowMs();
      PlanAll();
    }
  }
}

void SliceBalancer::Merge(const wire::LoadReport& aReport)
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

void SliceBalancer::PlanAll()
{
  for (const auto& group : control_.All()) {
    const bool isAssigner = group->WithLock([](GroupController& aControl) {
      return aControl.Role() == GroupRole::Assigner;
    });
    if (isAssigner) {
      Plan(*group, services_[group->Service()]);
    }
  }
}

ServiceRules SliceBalancer::RulesOf(const std::string& aService) const
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

void SliceBalancer::UpdatePolicy(const std::string& aService,
                                 ServiceState& aState)
{
  const auto version = config_.Version();
  if (aState.policy_ && aState.configVersion_ == version) {
    return;
  }
  aState.configVersion_ = version;
  const auto rules = RulesOf(aService);
  const auto options = detail::OptionsOf(rules);
  // A new policy object would forget how much of the churn budget is used.
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

void SliceBalancer::Plan(ManagedGroup& aGroup, ServiceState& aState)
{
  UpdatePolicy(aGroup.Service(), aState);
  if (!aState.policy_) {
    return;
  }
  const auto now = clock_.NowMs();
  GroupTable table;
  std::vector<bool> usable;
  aGroup.WithLock([&](GroupController& aControl) {
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
  SaveSliceLoads(aGroup.Service(), input);
  Apply(aGroup, aState.policy_->Plan(input), table);
}

void SliceBalancer::SaveSliceLoads(const std::string& aService,
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

std::map<KeyHash, double> SliceBalancer::SliceLoads(
  const std::string& aService) const
{
  const std::lock_guard lock(loadsMutex_);
  const auto found = sliceLoads_.find(aService);
  return found == sliceLoads_.end() ? std::map<KeyHash, double>()
                                    : found->second;
}

void SliceBalancer::Apply(ManagedGroup& aGroup,
                          const BalancePlan& aPlan,
                          const GroupTable& aTable)
{
  aGroup.WithLock([&](GroupController& aControl) {
    for (const auto hash : aPlan.splits_) {
      aControl.RequestSplit(hash);
    }
    for (const auto begin : aPlan.merges_) {
      aControl.RequestMerge(begin);
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

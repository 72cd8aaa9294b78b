#pragma once

#include "ControlLoop.hpp"
#include "FleetConfig.hpp"
#include "common/BoundedRing.hpp"
#include "config/ServiceRules.hpp"
#include "policy/BalancingPolicy.hpp"
#include "policy/LoadMerger.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <cactuspitch_types.h>

namespace cactuspitch {

/// Merges the load reports of the routers and runs the balancing policy of each
/// service for the groups of which this instance is the assigner.
class SliceBalancer
{
public:
  SliceBalancer(const Clock& aClock,
                ControlLoop& aControl,
                const FleetConfig& aConfig);
  ~SliceBalancer();
  SliceBalancer(const SliceBalancer&) = delete;
  SliceBalancer& operator=(const SliceBalancer&) = delete;

  void Start();
  void Stop();
  void AddReport(wire::LoadReport aReport);
  /// Load of each slice that has any, by the slice's first hash, as of the last
  /// plan.
  std::map<KeyHash, double> SliceLoads(const std::string& aService) const;

private:
  struct ServiceState
  {
    LoadMerger merger_;
    std::unique_ptr<BalancingPolicy> policy_;
    std::string policyName_;
    BalanceOptions options_;
    int64_t configVersion_ = -1;
    Term term_ = 0;
  };

  void Run();
  void Merge(const wire::LoadReport& aReport);
  void PlanAll();
  void Plan(ManagedGroup& aGroup, ServiceState& aState);
  /// Creates a new policy when the rules have changed.
  void UpdatePolicy(const std::string& aService, ServiceState& aState);
  void Apply(ManagedGroup& aGroup,
             const BalancePlan& aPlan,
             const GroupTable& aTable);
  void SaveSliceLoads(const std::string& aService, const BalanceInput& aInput);
  ServiceRules RulesOf(const std::string& aService) const;

  const Clock& clock_;
  ControlLoop& control_;
  const FleetConfig& config_;
  BoundedRing<wire::LoadReport> ring_;
  std::map<std::string, ServiceState> services_;
  mutable std::mutex loadsMutex_;
  std::map<std::string, std::map<KeyHash, double>> sliceLoads_;
  std::thread thread_;
};

}

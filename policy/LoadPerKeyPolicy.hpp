#pragma once

#include "policy/BalancingPolicy.hpp"
#include "policy/ChurnBudget.hpp"
#include "policy/ServerLoads.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cactuspitch {

/// Balances load by moving the slices with the most load per key, within a
/// churn budget and with hysteresis. Hot keys are split out into slices of
/// their own and merged back when they are cold. Expects a call about every
/// second.
class LoadPerKeyPolicy final : public BalancingPolicy
{
public:
  explicit LoadPerKeyPolicy(const BalanceOptions& aOptions);

  BalancePlan Plan(const BalanceInput& aInput) override;

private:
  std::vector<double> WarmupShares(const BalanceInput& aInput);
  void Evacuate(ServerLoads& aLoads, BalancePlan& aPlan);
  void BalanceIdleGroup(TimeMs aNowMs, ServerLoads& aLoads, BalancePlan& aPlan);
  void FillJoining(const BalanceInput& aInput,
                   ServerLoads& aLoads,
                   BalancePlan& aPlan);
  void SplitHotKeys(const BalanceInput& aInput,
                    const ServerLoads& aLoads,
                    BalancePlan& aPlan);
  void Rebalance(TimeMs aNowMs, ServerLoads& aLoads, BalancePlan& aPlan);
  /// Counts the consecutive plans in which the highest relative load exceeded
  /// each threshold, and updates isActive_ and isUrgent_.
  void UpdateUrgency(double aRelativeLoad);
  bool MoveOne(TimeMs aNowMs,
               double aMaxLoad,
               ServerLoads& aLoads,
               BalancePlan& aPlan);
  void MergeColdKeys(TimeMs aNowMs, ServerLoads& aLoads, BalancePlan& aPlan);
  void MergeAround(size_t aSlice,
                   TimeMs aNowMs,
                   ServerLoads& aLoads,
                   BalancePlan& aPlan);
  /// Slice of aSource with the most load per key among those with a load of at
  /// most aMaxLoad.
  std::optional<size_t> BestSlice(TimeMs aNowMs,
                                  const ServerLoads& aLoads,
                                  int32_t aSource,
                                  double aMaxLoad) const;
  bool IsInCooldown(KeyHash aBegin, TimeMs aNowMs) const;
  double BudgetLoad(TimeMs aNowMs, const ServerLoads& aLoads);
  void AddMove(size_t aSlice,
               int32_t aTarget,
               std::string aReason,
               ServerLoads& aLoads,
               BalancePlan& aPlan);

  BalanceOptions options_;
  ChurnBudget churn_;
  bool isActive_ = false;
  bool isUrgent_ = false;
  int steadyPlans_ = 0;
  int urgentPlans_ = 0;
  int veryUrgentPlans_ = 0;
  bool isFirstPlan_ = true;
  std::map<std::string, TimeMs> joinedMs_;
  std::unordered_map<KeyHash, TimeMs> movedMs_;
  std::unordered_map<KeyHash, TimeMs> coldSinceMs_;
};

}

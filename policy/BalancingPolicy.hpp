#pragma once

#include "common/GroupTable.hpp"
#include "kernel/StrategyRegistry.hpp"
#include "policy/BuiltInPolicies.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

/// Measured load of one key, summed over all routers.
struct HotKeyLoad
{
  KeyHash hash_ = 0;
  double load_ = 0;
};

/// Input of BalancingPolicy::Plan. Loads are busy milliseconds per second as
/// measured by the routers. sliceLoad_ and serverUsable_ have the indices of
/// the slices and servers in the table.
struct BalanceInput
{
  TimeMs nowMs_ = 0;
  const GroupTable* table_ = nullptr;
  std::vector<double> sliceLoad_;
  std::vector<HotKeyLoad> hotKeys_;
  /// False for servers that can't take slices (unresponsive or draining).
  std::vector<bool> serverUsable_;
};

struct PlannedMove
{
  KeyHash sliceBegin_ = 0;
  int32_t target_ = kNoServer;
  double load_ = 0;
  std::string reason_;
};

struct BalancePlan
{
  /// Key hashes to split out into slices of their own.
  std::vector<KeyHash> splits_;
  /// First hashes of the slices to merge into their preceding slice.
  std::vector<KeyHash> merges_;
  std::vector<PlannedMove> moves_;
};

struct BalanceOptions
{
  double churnPercentPerMinute_ = 1;
  double actAbove_ = 1.10;
  double stopBelow_ = 1.05;
  double hotKeyShareOfMean_ = 0.30;
  TimeMs warmupMs_ = 30000;

  bool operator==(const BalanceOptions&) const = default;
};

/// Strategy that plans splits, merges and moves of slices. It keeps its churn
/// budget and hysteresis state between calls.
class BalancingPolicy
{
public:
  virtual ~BalancingPolicy() = default;
  virtual BalancePlan Plan(const BalanceInput& aInput) = 0;
};

using BalancingRegistry =
  StrategyRegistry<BalancingPolicy, const BalanceOptions&>;

}

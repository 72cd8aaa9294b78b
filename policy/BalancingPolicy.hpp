#pragma once

#include "common/GroupTable.hpp"
#include "kernel/StrategyRegistry.hpp"
#include "policy/BuiltInPolicies.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

/// Measured load of one key, merged over all routers.
struct HotKeyLoad
{
  KeyHash hash_ = 0;
  double load_ = 0;
};

/// What a balancing decision is made from. Loads are busy milliseconds per
/// second, measured by the routers; the vectors are parallel to the table's.
struct BalanceInput
{
  TimeMs nowMs_ = 0;
  const GroupTable* table_ = nullptr;
  std::vector<double> sliceLoad_;
  std::vector<HotKeyLoad> hotKeys_;
  /// Servers that cannot take slices (silent, draining) are false.
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
  /// Hashes to split out into slices of their own.
  std::vector<KeyHash> splits_;
  /// Begins of slices to merge into the slice before them.
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

/// Strategy that proposes splits, merges and moves; keeps its own budget and
/// hysteresis state between calls.
class BalancingPolicy
{
public:
  virtual ~BalancingPolicy() = default;
  virtual BalancePlan Plan(const BalanceInput& aInput) = 0;
};

using BalancingRegistry =
  StrategyRegistry<BalancingPolicy, const BalanceOptions&>;

}

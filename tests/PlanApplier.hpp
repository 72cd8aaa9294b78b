#pragma once

#include "policy/BalancingPolicy.hpp"

namespace cactuspitch {

/// Table of one group with aSlices equal slices over the whole hash space,
/// which are assigned to the servers round-robin.
GroupTable MakeGroupTable(int aServers, int aSlices, int aDomains, int aSlots);

/// Applies a whole plan at once, while control/ applies it step by step.
/// Returns false if the plan is invalid: it moves an unknown slice or to an
/// unknown server, or merges slices with different owners.
bool ApplyPlan(const BalancePlan& aPlan, GroupTable& aTable);

}

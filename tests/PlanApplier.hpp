#pragma once

#include "policy/BalancingPolicy.hpp"

namespace cactuspitch {

/// Table of one group over the whole hash space with equal slices, dealt to
/// the servers in turn.
GroupTable MakeGroupTable(int aServers, int aSlices, int aDomains, int aSlots);

/// Applies a plan at once, as control does over time. Returns false when the
/// plan breaks a rule: a move of an unknown slice or to an unknown server, or
/// a merge of slices with different owners.
bool ApplyPlan(const BalancePlan& aPlan, GroupTable& aTable);

}

#pragma once

#include "BalanceDuty.hpp"
#include "ControlDuty.hpp"

#include <string>

namespace cactuspitch {

/// JSON of GetStatus: the groups with role, term, lease states, the load of
/// the slices (busy ms/s) and the moves of the last hour with their reasons.
std::string AssignerStatusJson(const ControlDuty& aControl,
                               const BalanceDuty& aBalance,
                               TimeMs aNowMs,
                               bool aStoreReachable,
                               int64_t aStoreCalls);

}

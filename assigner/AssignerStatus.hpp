#pragma once

#include "ControlDuty.hpp"

#include <string>

namespace cactuspitch {

/// JSON of GetStatus: the groups with role, term, lease states and the moves
/// of the last hour with their reasons.
std::string AssignerStatusJson(const ControlDuty& aControl,
                               TimeMs aNowMs,
                               bool aStoreReachable,
                               int64_t aStoreCalls);

}

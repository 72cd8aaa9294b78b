#pragma once

#include "ControlLoop.hpp"
#include "SliceBalancer.hpp"

#include <string>

namespace cactuspitch {

/// JSON of GetStatus: the groups with role, term, lease states, load per slice
/// (busy ms/s) and the moves of the last hour with their reasons.
std::string AssignerStatusJson(const ControlLoop& aControl,
                               const SliceBalancer& aBalancer,
                               TimeMs aNowMs,
                               bool aStoreReachable,
                               int64_t aStoreCalls);

}

#pragma once

#include "OwnershipRig.hpp"

namespace cactuspitch {

/// How an owner is lost.
enum class OwnerLoss : uint8_t
{
  Killed,
  Frozen,
  Count
};

/// Loses the backend server, measures until one of its keys is served again,
/// and brings it back. Milliseconds, -1 when it was not served in time.
double MeasureTakeoverMs(OwnershipRig& aRig,
                         const std::string& aServer,
                         OwnerLoss aLoss);

/// Loses aRounds owners one after another. Prints each time; the largest is
/// the figure. Fails also when an execution violates an invariant.
int MeasureTakeovers(std::string_view aName,
                     OwnershipRig& aRig,
                     OwnerLoss aLoss,
                     int aRounds);

}

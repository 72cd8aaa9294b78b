#pragma once

#include "common/GroupTable.hpp"

#include <absl/status/status.h>
#include <cactuspitch_types.h>

namespace cactuspitch {

wire::GroupTable ToWire(const GroupTable& aTable);

/// Encodes the changes from aOld to aNew. Returns the full table when the term
/// changed or slices were split or merged, since a delta only replaces existing
/// slices.
wire::GroupTable ToWireDelta(const GroupTable& aOld, const GroupTable& aNew);

/// Applies a full table or a delta to aTable. Returns FailedPrecondition when a
/// delta does not start from the version of aTable, and InvalidArgument when
/// the message is malformed; aTable is then unchanged.
absl::Status ApplyWire(const wire::GroupTable& aMessage, GroupTable& aTable);

}

#pragma once

#include "common/GroupTable.hpp"

#include <absl/status/status.h>
#include <cactuspitch_types.h>

namespace cactuspitch {

wire::GroupTable ToWire(const GroupTable& aTable);

/// The changes that turn aOld into aNew; the full table when slices were
/// split or merged, since a delta only replaces slices by their begin.
wire::GroupTable ToWireDelta(const GroupTable& aOld, const GroupTable& aNew);

/// Applies a full table or a delta. FailedPrecondition when a delta does not
/// start from the version of aTable; InvalidArgument when it is malformed.
absl::Status ApplyWire(const wire::GroupTable& aMessage, GroupTable& aTable);

}

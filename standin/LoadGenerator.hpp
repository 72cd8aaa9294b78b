#pragma once

#include "LoadOptions.hpp"
#include "LoadReport.hpp"
#include "common/Clock.hpp"

namespace cactuspitch {

/// Runs a load until it ends, with one thread for each connection, and returns
/// the merged report. Writes one line for each attempt to the history file if
/// aOptions names one.
LoadReport RunLoad(const Clock& aClock, const LoadOptions& aOptions);

}

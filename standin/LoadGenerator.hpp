#pragma once

#include "LoadOptions.hpp"
#include "LoadReport.hpp"
#include "common/Clock.hpp"

namespace cactuspitch {

/// Runs a load to its end, with one thread for each connection, and writes the
/// history file where one is named.
LoadReport RunLoad(const Clock& aClock, const LoadOptions& aOptions);

}

#pragma once

#include "tests/Deployment.hpp"

#include <string>

namespace cactuspitch {

/// Value of a metric of an assigner process; -1 when it cannot be read.
double AssignerMetric(const Deployment& aDeployment,
                      int aIndex,
                      const std::string& aMetric);

/// Processor time that a process has used so far, in milliseconds.
double ProcessorMs(const ProcessFleet& aFleet, const std::string& aName);

}

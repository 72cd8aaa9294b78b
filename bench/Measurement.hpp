#pragma once

#include <string>
#include <string_view>

namespace cactuspitch {

/// Prints the last line of a measurement, "name: value unit (target value)".
/// The exit status: 0 when the target was met.
int ReportAtMost(std::string_view aName,
                 double aValue,
                 std::string_view aUnit,
                 double aTarget);
int ReportAtLeast(std::string_view aName,
                  double aValue,
                  std::string_view aUnit,
                  double aTarget);

/// Prints why there is no figure and returns the status of a miss.
int ReportFailure(std::string_view aName, const std::string& aReason);

}

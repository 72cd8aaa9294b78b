#include "Measurement.hpp"

#include <cstdio>
#include <cstdlib>

namespace cactuspitch {

namespace detail {

int Report(std::string_view aName,
           double aValue,
           std::string_view aUnit,
           std::string_view aBound,
           double aTarget,
           bool aMet)
{
  std::printf("%s: %.3f %s (target %s %g)\n",
              std::string(aName).c_str(),
              aValue,
              std::string(aUnit).c_str(),
              std::string(aBound).c_str(),
              aTarget);
  return aMet ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int ReportAtMost(std::string_view aName,
                 double aValue,
                 std::string_view aUnit,
                 double aTarget)
{
  return detail::Report(
    aName, aValue, aUnit, "at most", aTarget, aValue <= aTarget);
}

int ReportAtLeast(std::string_view aName,
                  double aValue,
                  std::string_view aUnit,
                  double aTarget)
{
  return detail::Report(
    aName, aValue, aUnit, "at least", aTarget, aValue >= aTarget);
}

int ReportFailure(std::string_view aName, const std::string& aReason)
{
  std::printf(
    "%s: not measured: %s\n", std::string(aName).c_str(), aReason.c_str());
  return EXIT_FAILURE;
}

}

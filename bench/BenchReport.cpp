#include "BenchReport.hpp"

#include "Measurement.hpp"
#include "common/Strings.hpp"

#include <cstdio>
#include <cstdlib>

namespace cactuspitch {

void BenchReport::AtLeast(std::string_view aName,
                          double aValue,
                          std::string_view aUnit,
                          double aTarget)
{
  Count(ReportAtLeast(aName, aValue, aUnit, aTarget));
}

void BenchReport::AtMost(std::string_view aName,
                         double aValue,
                         std::string_view aUnit,
                         double aTarget)
{
  Count(ReportAtMost(aName, aValue, aUnit, aTarget));
}

void BenchReport::Note(std::string_view aName,
                       double aValue,
                       std::string_view aUnit)
{
  std::puts(Concat(aName, ": ", aValue, " ", aUnit).c_str());
}

int BenchReport::ExitCode() const
{
  return missed_ || !measured_ ? EXIT_FAILURE : EXIT_SUCCESS;
}

void BenchReport::Count(int aStatus)
{
  missed_ = missed_ || aStatus != EXIT_SUCCESS;
  measured_ = true;
}

}

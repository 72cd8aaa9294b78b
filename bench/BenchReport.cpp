#include "BenchReport.hpp"

#include "common/Strings.hpp"

#include <cstdio>
#include <string>

namespace cactuspitch {

namespace {

void Print(std::string_view aName,
           double aValue,
           std::string_view aUnit,
           const std::string& aTarget)
{
  std::puts(Concat(aName, ": ", aValue, " ", aUnit, aTarget).c_str());
  std::fflush(stdout);
}

}

void BenchReport::AtLeast(std::string_view aName,
                          double aValue,
                          std::string_view aUnit,
                          double aTarget)
{
  Print(aName, aValue, aUnit, Concat(" (target >= ", aTarget, ")"));
  // Negated so that NaN misses the target.
  missed_ = missed_ || !(aValue >= aTarget);
  measured_ = true;
}

void BenchReport::AtMost(std::string_view aName,
                         double aValue,
                         std::string_view aUnit,
                         double aTarget)
{
  Print(aName, aValue, aUnit, Concat(" (target <= ", aTarget, ")"));
  missed_ = missed_ || !(aValue <= aTarget);
  measured_ = true;
}

void BenchReport::Note(std::string_view aName,
                       double aValue,
                       std::string_view aUnit)
{
  Print(aName, aValue, aUnit, "");
}

int BenchReport::ExitCode() const
{
  return missed_ || !measured_ ? 1 : 0;
}

}

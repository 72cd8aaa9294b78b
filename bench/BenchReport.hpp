#pragma once

#include <string_view>

namespace cactuspitch {

/// Several figures of one measurement; remembers whether a target was missed.
/// The last figure that is printed is the one of the summary.
class BenchReport
{
public:
  void AtLeast(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               double aTarget);
  void AtMost(std::string_view aName,
              double aValue,
              std::string_view aUnit,
              double aTarget);
  /// A figure without a target.
  void Note(std::string_view aName, double aValue, std::string_view aUnit);
  /// 1 when a target was missed or no figure with a target was printed.
  int ExitCode() const;

private:
  void Count(int aStatus);

  bool missed_ = false;
  bool measured_ = false;
};

}

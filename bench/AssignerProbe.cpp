#include "AssignerProbe.hpp"

#include "common/Strings.hpp"

#include <fstream>
#include <sstream>

#include <unistd.h>

namespace cactuspitch {

double AssignerMetric(const Deployment& aDeployment,
                      int aIndex,
                      const std::string& aMetric)
{
  const auto text = HttpCall(
    "GET", aDeployment.Address(Concat("assigner-", aIndex)), "/_metrics");
  std::istringstream lines(text.value_or(""));
  std::string name;
  std::string rest;
  while (lines >> name && std::getline(lines, rest)) {
    if (name == aMetric) {
      return std::stod(rest);
    }
  }
  return -1;
}

double ProcessorMs(const ProcessFleet& aFleet, const std::string& aName)
{
  constexpr int kUserTimeField = 14;
  constexpr double kMsPerSecond = 1000;
  std::ifstream file(Concat("/proc/", aFleet.Pid(aName), "/stat"));
  std::string word;
  for (int field = 1; field < kUserTimeField; ++field) {
    file >> word;
  }
  double user = 0;
  double system = 0;
  file >> user >> system;
  return (user + system) * kMsPerSecond /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

}

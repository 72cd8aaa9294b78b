#include "router/RouterSettings.hpp"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Flags = std::map<std::string, std::string>;

/// Names of the settings with findings, in sorted order.
std::vector<std::string> WrongFields(Flags aChanged)
{
  Flags flags = { { "instance", "e1" },
                  { "failure-domain", "cairo-a" },
                  { "listen", "127.0.0.1:8080" },
                  { "rpc-listen", "127.0.0.1:8081" },
                  { "assigners", "127.0.0.1:8082" } };
  aChanged.merge(flags);
  std::vector<std::string> arguments = { "router" };
  for (const auto& [name, value] : aChanged) {
    arguments.push_back("--" + name);
    arguments.push_back(value);
  }
  std::vector<char*> argv;
  std::ranges::transform(arguments,
                         std::back_inserter(argv),
                         [](std::string& aText) { return aText.data(); });
  argv.push_back(nullptr);
  Settings settings(RouterSettingSpecs());
  settings.Parse(static_cast<int>(arguments.size()), argv.data(), {});
  Findings findings = settings.GetFindings();
  CheckRouterSettings(settings, findings);
  std::vector<std::string> fields;
  for (const auto& finding : findings.All()) {
    fields.push_back(finding.field_);
  }
  std::ranges::sort(fields);
  return fields;
}

using Fields = std::vector<std::string>;

// Guards against starting with settings that contradict each other.
TEST(RouterSettings, ContradictionsAreFindings)
{
  EXPECT_EQ(WrongFields({}), Fields{});
  EXPECT_EQ(WrongFields({ { "threads", "64" }, { "max-parked", "64" } }),
            Fields{ "max-parked" });
  EXPECT_EQ(
    WrongFields({ { "ready-fail-ms", "5000" }, { "stop-timeout-ms", "5000" } }),
    Fields{ "stop-timeout-ms" });
  EXPECT_EQ(WrongFields({ { "rpc-listen", "127.0.0.1:8080" } }),
            Fields{ "rpc-listen" });
  EXPECT_EQ(WrongFields({ { "log-level", "loud" } }), Fields{ "log-level" });
}

// Guards against reporting only the first of several invalid settings.
TEST(RouterSettings, AllFindingsAreReportedTogether)
{
  EXPECT_EQ(WrongFields({ { "threads", "64" },
                          { "max-parked", "100" },
                          { "ready-fail-ms", "9000" },
                          { "stop-timeout-ms", "100" },
                          { "rpc-listen", "127.0.0.1:8080" } })
              .size(),
            3u);
}

}
}

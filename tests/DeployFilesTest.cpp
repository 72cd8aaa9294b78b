#include "common/Settings.hpp"
#include "common/Strings.hpp"
#include "config/FleetDocument.hpp"

#include <fstream>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

std::string ReadFile(const std::string& aName)
{
  std::ifstream file(Concat(SOURCE_DIR, "/deploy/", aName));
  EXPECT_TRUE(file.is_open()) << aName;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

class DeployFilesTest : public testing::TestWithParam<const char*>
{};

// Guards against an initial configuration that the processes reject.
TEST_P(DeployFilesTest, FleetDocumentIsValid)
{
  Findings findings;
  const auto document =
    ParseFleetDocument(ReadFile(Concat(GetParam(), "/fleet.json")), findings);
  ASSERT_TRUE(document) << findings.ToText();
  ValidateFleetDocument(*document, 2, findings);
  EXPECT_TRUE(findings.IsEmpty()) << findings.ToText();
}

// Guards against host names or malformed addresses in the shared settings,
// which must be IP:port.
TEST_P(DeployFilesTest, AddressesAreValid)
{
  std::istringstream lines(ReadFile(Concat(GetParam(), "/shared.env")));
  int checked = 0;
  for (std::string line; std::getline(lines, line);) {
    const auto value = line.substr(line.find('=') + 1);
    if (line.starts_with("CACTUSPITCH_STORE=")) {
      EXPECT_TRUE(IsValidAddress(value)) << line;
      ++checked;
    } else if (line.starts_with("CACTUSPITCH_ASSIGNERS=")) {
      std::istringstream addresses(value);
      for (std::string address; std::getline(addresses, address, ',');) {
        EXPECT_TRUE(IsValidAddress(address)) << line;
        ++checked;
      }
    }
  }
  EXPECT_EQ(checked, 9);
}

// Guards against a deployment with a duplicate instance or with so few failure
// domains that the assigner and its deputy could share one.
TEST_P(DeployFilesTest, InstancesSpreadOverFailureDomains)
{
  std::istringstream lines(ReadFile(Concat(GetParam(), "/instances.txt")));
  std::set<std::string> ids;
  std::set<std::string> domains;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string id;
    std::string domain;
    if (words >> id >> domain && id != "#") {
      EXPECT_TRUE(ids.insert(id).second) << id;
      domains.insert(domain);
    }
  }
  EXPECT_EQ(ids.size(), 8u);
  EXPECT_GE(domains.size(), 3u);
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         DeployFilesTest,
                         testing::Values("eg-north", "tas-south"));

}
}

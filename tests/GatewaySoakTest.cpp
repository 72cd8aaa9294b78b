#include "tests/GatewaySoak.hpp"

#include "common/Strings.hpp"

#include <cstdlib>
#include <sstream>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

/// Seeds from SOAK_SEEDS (separated by spaces), else those that CI runs.
std::vector<uint32_t> Seeds()
{
  const char* text = std::getenv("SOAK_SEEDS");
  std::istringstream input(text == nullptr ? "1 2 3" : text);
  std::vector<uint32_t> seeds;
  for (uint32_t seed = 0; input >> seed;) {
    seeds.push_back(seed);
  }
  return seeds;
}

/// Number of gateways from SOAK_GATEWAYS, else 4.
int Gateways()
{
  constexpr int kGateways = 4;
  const char* text = std::getenv("SOAK_GATEWAYS");
  int gateways = kGateways;
  return text == nullptr || !ParseNumber(text, gateways) ? kGateways : gateways;
}

/// Fault kinds from SOAK_FAULTS (names separated by spaces), else all.
std::vector<std::string> FaultKinds()
{
  const char* text = std::getenv("SOAK_FAULTS");
  std::istringstream input(text == nullptr ? "" : text);
  std::vector<std::string> kinds;
  for (std::string kind; input >> kind;) {
    kinds.push_back(kind);
  }
  return kinds;
}

class GatewaySoakTest : public testing::TestWithParam<uint32_t>
{};

// Guards against violations of the platform's guarantees that only show with
// real gateway processes and external faults (signals, cut links, store and
// server faults).
TEST_P(GatewaySoakTest, MeetsGuaranteesUnderFaults)
{
  GatewaySoak soak({ .seed_ = GetParam(),
                     .gateways_ = Gateways(),
                     .faults_ = FaultKinds(),
                     .binaryDir_ = BINARY_DIR });
  const auto violations = soak.Run();
  std::printf("seed %u: %s\n", GetParam(), soak.Journal().Summary().c_str());
  for (const auto& violation : violations) {
    ADD_FAILURE() << violation;
  }
  if (!violations.empty()) {
    std::printf("logs: %s\n", soak.LogDirectory().c_str());
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         GatewaySoakTest,
                         testing::ValuesIn(Seeds()),
                         [](const auto& aInfo) {
                           return Concat("Seed", aInfo.param);
                         });

}
}

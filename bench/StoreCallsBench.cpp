#include "AssignerProbe.hpp"
#include "Measurement.hpp"
#include "OwnershipRig.hpp"

#include <chrono>
#include <cstdio>
#include <thread>

namespace cactuspitch {
namespace {

constexpr const char* kName = "store-calls";

/// Store calls a second of all assigners of a fleet; -1 when it does not
/// serve.
double Measure(int aInstances)
{
  constexpr auto kSettle = std::chrono::milliseconds(3000);
  constexpr auto kWindow = std::chrono::milliseconds(12000);
  constexpr double kWindowS = 12;
  OwnershipRig rig(BINARY_DIR,
                   { .instances_ = aInstances,
                     .services_ = { { .name_ = "ledger", .backends_ = 2 } },
                     .assignerFlags_ = { "--slices", "32" } });
  if (!rig.Start().empty()) {
    return -1;
  }
  const auto calls = [&] {
    double sum = 0;
    for (int i = 0; i < aInstances; ++i) {
      sum += AssignerMetric(rig.GetDeployment(), i, "cactuspitch_store_calls");
    }
    return sum;
  };
  std::this_thread::sleep_for(kSettle);
  const double before = calls();
  std::this_thread::sleep_for(kWindow);
  const double rate = (calls() - before) / kWindowS;
  std::printf("%d instances: %.2f store calls/s\n", aInstances, rate);
  return rate;
}

// The store's calls must grow more slowly than the fleet.
int Run()
{
  constexpr int kSmall = 4;
  constexpr int kLarge = 12;
  constexpr double kTarget = 1.5;
  const double small = Measure(kSmall);
  const double large = Measure(kLarge);
  if (small <= 0 || large <= 0) {
    return ReportFailure(kName, "deployment does not serve");
  }
  return ReportAtMost(
    kName, large / small, "times the calls for 3 times the fleet", kTarget);
}

}
}

int main()
{
  return cactuspitch::Run();
}

#include "Measurement.hpp"
#include "TakeoverTrial.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

namespace cactuspitch {
namespace {

constexpr const char* kName = "takeover-store-down";
/// Time in which the assigner notices the lost store and arms its deputy.
constexpr auto kArmTime = std::chrono::milliseconds(6000);

// Guards against takeovers that need the store. Each slice can change its
// owner once while the store is down, so every deployment loses two owners,
// one killed and one frozen.
double MeasureOne(bool aFreezesStore, std::string& aFailure)
{
  OwnershipRig rig(BINARY_DIR,
                   { .services_ = { { .name_ = "ledger", .backends_ = 6 } },
                     .assignerFlags_ = { "--slices", "32" } });
  aFailure = rig.Start();
  if (!aFailure.empty()) {
    return -1;
  }
  if (aFreezesStore) {
    rig.Fleet().Pause("store");
  } else {
    rig.Fleet().Kill("store");
  }
  std::this_thread::sleep_for(kArmTime);
  const auto servers = rig.GetDeployment().BackendNames(rig.Service());
  const auto killedMs = MeasureTakeoverMs(rig, servers[0], OwnerLoss::Killed);
  const auto frozenMs = MeasureTakeoverMs(rig, servers[3], OwnerLoss::Frozen);
  std::printf("store %s: killed owner %.0f ms, frozen owner %.0f ms\n",
              aFreezesStore ? "frozen" : "killed",
              killedMs,
              frozenMs);
  if (killedMs < 0 || frozenMs < 0) {
    aFailure = "keys of a lost owner are not served";
    return -1;
  }
  aFailure = rig.CheckHistory();
  return std::max(killedMs, frozenMs);
}

int Run()
{
  constexpr double kTargetMs = 3000;
  double largestMs = 0;
  for (const bool freezes : { false, true, false }) {
    std::string failure;
    largestMs = std::max(largestMs, MeasureOne(freezes, failure));
    if (!failure.empty()) {
      return ReportFailure(kName, failure);
    }
  }
  return ReportAtMost(kName, largestMs, "ms", kTargetMs);
}

}
}

int main()
{
  return cactuspitch::Run();
}

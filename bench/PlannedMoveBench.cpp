#include "Measurement.hpp"
#include "OwnershipRig.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

namespace cactuspitch {
namespace {

constexpr const char* kName = "planned-move";

// Moves the slice of one key again and again while it is requested. The pause
// is the longest answer time beyond the service time of 1 ms.
int Run()
{
  constexpr int kMoves = 40;
  constexpr double kTargetMs = 50;
  constexpr double kUsPerMs = 1000;
  constexpr auto kBetween = std::chrono::milliseconds(250);
  OwnershipRig rig(BINARY_DIR,
                   { .services_ = { { .name_ = "ledger", .backends_ = 4 } } });
  const auto missing = rig.Start();
  if (!missing.empty()) {
    return ReportFailure(kName, missing);
  }
  const std::string key = "moving";
  CallerLoop caller(
    rig.GetDeployment().Routers().front(), rig.Service(), key, 1000);
  int moved = 0;
  auto owner = rig.OwnerOf(key);
  for (int i = 0; i < kMoves; ++i) {
    rig.RequestMove(key);
    std::this_thread::sleep_for(kBetween);
    const auto next = rig.OwnerOf(key);
    moved += next != owner ? 1 : 0;
    owner = next;
  }
  caller.Stop();
  const auto attempts = caller.Attempts();
  const auto failed = std::ranges::count_if(
    attempts, [](const auto& aAttempt) { return !aAttempt.complete_; });
  int64_t longestUs = 0;
  for (const auto& attempt : attempts) {
    longestUs = std::max(longestUs, attempt.endUs_ - attempt.startUs_);
  }
  std::printf(
    "%d moves, %zu requests, %td failed\n", moved, attempts.size(), failed);
  const auto violations = rig.CheckHistory();
  if (failed > 0 || moved < kMoves / 2 || !violations.empty()) {
    return ReportFailure(
      kName,
      Concat(failed, " failed requests, ", moved, " moves ", violations));
  }
  return ReportAtMost(
    kName, static_cast<double>(longestUs) / kUsPerMs - 1, "ms", kTargetMs);
}

}
}

int main()
{
  return cactuspitch::Run();
}

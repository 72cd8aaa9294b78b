#include "Measurement.hpp"
#include "OwnershipRig.hpp"
#include "common/Strings.hpp"
#include "standin/ExecutionHistory.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>

namespace cactuspitch {
namespace {

constexpr const char* kName = "assigner-loss";

/// Longest time from the first failed request of a loop to its next answer.
double LongestOutageMs(const CallerLoop& aCaller, int64_t aFromUs)
{
  constexpr double kUsPerMs = 1000;
  double longestMs = 0;
  int64_t failedUs = 0;
  for (const auto& attempt : aCaller.Attempts()) {
    if (attempt.startUs_ < aFromUs) {
      continue;
    }
    if (!attempt.complete_ && failedUs == 0) {
      failedUs = attempt.startUs_;
      std::printf("failed after %.0f ms: %s\n",
                  static_cast<double>(failedUs - aFromUs) / kUsPerMs,
                  attempt.failure_.c_str());
    }
    if (failedUs > 0) {
      longestMs = std::max(
        longestMs, static_cast<double>(attempt.endUs_ - failedUs) / kUsPerMs);
    }
    failedUs = attempt.complete_ ? 0 : failedUs;
  }
  return longestMs;
}

/// Loses the assigner while callers request a key of every backend server.
double MeasureOne(OwnershipRig& aRig, bool aFreezes)
{
  constexpr auto kBefore = std::chrono::milliseconds(500);
  constexpr auto kAfter = std::chrono::milliseconds(3500);
  constexpr TimeMs kDeadlineMs = 250;
  const auto routers = aRig.GetDeployment().Routers();
  const int index = aRig.AssignerIndex();
  const auto name = Concat("assigner-", index);
  std::vector<std::unique_ptr<CallerLoop>> callers;
  const auto servers = aRig.GetDeployment().BackendNames(aRig.Service());
  for (const auto& server : servers) {
    const auto key = aRig.KeyOwnedBy(server);
    if (!key.empty()) {
      callers.push_back(
        std::make_unique<CallerLoop>(routers[callers.size() % routers.size()],
                                     aRig.Service(),
                                     key,
                                     kDeadlineMs));
    }
  }
  std::this_thread::sleep_for(kBefore);
  const auto lostUs = BootTimeUs();
  if (aFreezes) {
    aRig.Fleet().Pause(name);
  } else {
    aRig.Fleet().Kill(name);
  }
  std::this_thread::sleep_for(kAfter);
  double longestMs = 0;
  for (const auto& caller : callers) {
    caller->Stop();
    longestMs = std::max(longestMs, LongestOutageMs(*caller, lostUs));
  }
  std::printf("%s %s: %zu callers, outage %.0f ms\n",
              name.c_str(),
              aFreezes ? "frozen" : "killed",
              callers.size(),
              longestMs);
  if (aFreezes) {
    aRig.Fleet().Resume(name);
  } else {
    aRig.GetDeployment().LaunchAssigner(index);
  }
  WaitFor(5000, [&] { return aRig.AssignerIndex() >= 0; });
  std::this_thread::sleep_for(kBefore);
  return longestMs;
}

int Run()
{
  OwnershipRig rig(BINARY_DIR,
                   { .instances_ = 4,
                     .services_ = { { .name_ = "ledger", .backends_ = 4 } } });
  const auto missing = rig.Start();
  if (!missing.empty()) {
    return ReportFailure(kName, missing);
  }
  double longestMs = 0;
  for (const bool freezes : { false, true, false, true, false, true }) {
    longestMs = std::max(longestMs, MeasureOne(rig, freezes));
  }
  const auto violations = rig.CheckHistory();
  if (!violations.empty()) {
    return ReportFailure(kName, violations);
  }
  return ReportAtMost(kName, longestMs, "ms", 0);
}

}
}

int main()
{
  return cactuspitch::Run();
}

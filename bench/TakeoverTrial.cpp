#include "TakeoverTrial.hpp"

#include "Measurement.hpp"
#include "common/Strings.hpp"
#include "standin/ExecutionHistory.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

namespace cactuspitch {

namespace detail {
constexpr TimeMs kTimeoutMs = 8000;
constexpr double kTargetMs = 3000;
}

double MeasureTakeoverMs(OwnershipRig& aRig,
                         const std::string& aServer,
                         OwnerLoss aLoss)
{
  const auto key = aRig.KeyOwnedBy(aServer);
  if (key.empty()) {
    return -1;
  }
  const CallerLoop caller(
    aRig.GetDeployment().Routers().front(), aRig.Service(), key, 500);
  if (caller.WaitServedMs(0, detail::kTimeoutMs) < 0) {
    return -1;
  }
  const auto lostUs = BootTimeUs();
  if (aLoss == OwnerLoss::Killed) {
    aRig.Fleet().Kill(aServer);
  } else {
    aRig.Fleet().Pause(aServer);
  }
  const auto servedMs = caller.WaitServedMs(lostUs, detail::kTimeoutMs);
  if (aLoss == OwnerLoss::Killed) {
    aRig.GetDeployment().LaunchBackend(aServer);
  } else {
    aRig.Fleet().Resume(aServer);
  }
  return servedMs;
}

int MeasureTakeovers(std::string_view aName,
                     OwnershipRig& aRig,
                     OwnerLoss aLoss,
                     int aRounds)
{
  const auto servers = aRig.GetDeployment().BackendNames(aRig.Service());
  double largestMs = 0;
  int rounds = 0;
  for (size_t i = 0; rounds < aRounds && i < 4 * servers.size() + 20; ++i) {
    const auto& server = servers[i % servers.size()];
    if (aRig.KeyOwnedBy(server).empty()) {
      continue;
    }
    const auto ms = MeasureTakeoverMs(aRig, server, aLoss);
    if (ms < 0) {
      return ReportFailure(aName, Concat("keys of ", server, " not served"));
    }
    std::printf("%s: served after %.0f ms\n", server.c_str(), ms);
    largestMs = std::max(largestMs, ms);
    ++rounds;
    // The next loss must not meet a slice without a live standby.
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    aRig.WaitStandbys(detail::kTimeoutMs);
  }
  const auto violations = aRig.CheckHistory();
  if (!violations.empty()) {
    return ReportFailure(aName, violations);
  }
  if (rounds < aRounds) {
    return ReportFailure(aName, Concat("only ", rounds, " losses"));
  }
  return ReportAtMost(aName, largestMs, "ms", detail::kTargetMs);
}

}

#include "BackendCrashDetector.hpp"

#include "common/Log.hpp"

#include <chrono>
#include <thread>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kCheckTimeoutMs = 100;

}

uint64_t RequestFingerprint(const CallerRequest& aRequest,
                            std::string_view aBody)
{
  const auto method =
    XXH3_64bits(aRequest.method_.data(), aRequest.method_.size());
  const auto path = XXH3_64bits_withSeed(
    aRequest.target_.data(), aRequest.target_.size(), method);
  return aBody.empty() ? path
                       : XXH3_64bits_withSeed(aBody.data(), aBody.size(), path);
}

void BackendCrashDetector::Check(BackendServer& aServer, uint64_t aIncarnation)
{
  const auto incarnation =
    aIncarnation != 0 ? aIncarnation : aServer.Incarnation();
  if (!HasProcessExited(aServer, incarnation)) {
    return;
  }
  aServer.OnProcessExit();
  const auto suspects = aServer.Pool().TakeCrashSuspects(incarnation);
  if (!suspects.empty()) {
    Log(LogLevel::Warning,
        "backend server process exited with requests in flight",
        { { "server", aServer.Id() }, { "requests", suspects.size() } });
    quarantine_.OnCrash(aServer.Id(), suspects, incarnation);
  }
}

bool BackendCrashDetector::HasProcessExited(const BackendServer& aServer,
                                            uint64_t aIncarnation)
{
  constexpr size_t kMaxHealthBytes = 64 * 1024;
  constexpr auto kProbeInterval = std::chrono::milliseconds(5);
  const TimeMs deadlineMs = clock_.NowMs() + detail::kCheckTimeoutMs;
  const HttpRequest request{ "GET", "/_cactuspitch/health", {}, {} };
  HttpConnection probe(clock_, aServer.Address());
  while (clock_.NowMs() < deadlineMs) {
    const auto health = probe.Exchange(request, deadlineMs, kMaxHealthBytes);
    if (health.ok()) {
      const auto now = health->head_.Header(header::kIncarnation);
      return !now.empty() && aIncarnation != 0 && HashKey(now) != aIncarnation;
    }
    if (absl::IsUnavailable(health.status())) {
      return true;
    }
    // A process that is exiting can still accept connections for a moment.
    probe.Close();
    std::this_thread::sleep_for(kProbeInterval);
  }
  return false;
}

}

// A request that crashes each backend server that runs it, sent again 20 times
// to real processes, with other requests beside it.

#include "BenchReport.hpp"
#include "Measurement.hpp"
#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"
#include "rpc/ThriftChannel.hpp"
#include "tests/Deployment.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include <RouterPeer.h>

namespace cactuspitch {
namespace {

constexpr char kName[] = "crash-request";
constexpr char kService[] = "registry-query";
constexpr int kInstances = 8;
constexpr int kBackends = 5;
constexpr int kSends = 20;
constexpr int kInnocentCallers = 8;
constexpr TimeMs kDeadlineMs = 5000;
constexpr size_t kMaxBodyBytes = 1 << 16;

/// Not-run reason, or the outcome of any other answer.
std::string Send(const Clock& aClock,
                 const std::string& aRouter,
                 const std::string& aPath)
{
  HttpConnection connection(aClock, aRouter);
  const auto response = connection.Exchange(
    { "GET",
      Concat("/", kService, aPath),
      { { header::kDeadlineMs, std::to_string(kDeadlineMs) } },
      {} },
    aClock.NowMs() + kDeadlineMs + 1000,
    kMaxBodyBytes);
  if (!response.ok()) {
    return "no answer";
  }
  const auto& head = response->head_;
  const auto reason = head.Header(header::kNotRun);
  return std::string(reason.empty() ? head.Header(header::kOutcome) : reason);
}

/// Callers of other keys, whose requests are in flight at every crash.
class Innocents
{
public:
  Innocents(const Clock& aClock, std::vector<std::string> aRouters)
    : clock_(aClock)
    , routers_(std::move(aRouters))
  {
    for (int i = 0; i < kInnocentCallers; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~Innocents() { Stop(); }
  Innocents(const Innocents&) = delete;
  Innocents& operator=(const Innocents&) = delete;

  void Stop()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  std::atomic<int> sent_ = 0;
  std::atomic<int> quarantined_ = 0;
  std::atomic<int> notComplete_ = 0;

private:
  void Run(int aIndex)
  {
    const auto& router = routers_[static_cast<size_t>(aIndex) % kInstances];
    constexpr int kKeys = 50;
    for (int i = 0; !stopping_; ++i) {
      const auto outcome =
        Send(clock_, router, Concat("/key", i % kKeys, "/", aIndex));
      ++sent_;
      quarantined_ += outcome == "quarantined" ? 1 : 0;
      notComplete_ += outcome == "complete" ? 0 : 1;
    }
  }

  const Clock& clock_;
  std::vector<std::string> routers_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
};

/// Routers that have quarantined a request.
int KnownTo(const Deployment& aDeployment)
{
  constexpr int kCallMs = 500;
  int known = 0;
  for (int i = 0; i < kInstances; ++i) {
    ThriftChannel<wire::RouterPeerClient> channel(
      aDeployment.Address(Concat("router-rpc-", i)), kCallMs, kCallMs);
    std::vector<wire::QuarantineEntry> entries;
    const auto status =
      channel.Run([&](auto& aClient) { aClient.ListQuarantine(entries); });
    known += status.ok() && std::ranges::any_of(
                              entries, &wire::QuarantineEntry::quarantined)
               ? 1
               : 0;
  }
  return known;
}

int Lost(Deployment& aDeployment)
{
  const auto names = aDeployment.BackendNames(kService);
  return static_cast<int>(std::ranges::count_if(names, [&](const auto& aName) {
    return !aDeployment.Fleet().IsRunning(aName);
  }));
}

int Run()
{
  Deployment deployment(
    BINARY_DIR,
    { .instances_ = kInstances,
      .services_ = {
        { .name_ = kService, .backends_ = kBackends, .serviceUs_ = 20000 } } });
  const auto missing = deployment.Start();
  if (!missing.empty()) {
    return ReportFailure(kName, missing);
  }
  const SteadyClock clock;
  const auto routers = deployment.Routers();
  Innocents innocents(clock, routers);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));

  int quarantined = 0;
  TimeMs knownMs = -1;
  for (int i = 0; i < kSends; ++i) {
    const auto& router = routers[static_cast<size_t>(i) % routers.size()];
    const TimeMs sentMs = clock.NowMs();
    const auto outcome = Send(clock, router, "/bad/poison-marker");
    std::printf("send %d: %s after %ld ms, lost %d\n",
                i,
                outcome.c_str(),
                clock.NowMs() - sentMs,
                Lost(deployment));
    quarantined += outcome == "quarantined" ? 1 : 0;
    if (knownMs < 0 && KnownTo(deployment) > 0) {
      const TimeMs startMs = clock.NowMs();
      const bool isKnown =
        WaitFor(10000, [&] { return KnownTo(deployment) == kInstances; });
      knownMs = isKnown ? clock.NowMs() - startMs : INT32_MAX;
    }
  }
  innocents.Stop();

  BenchReport report;
  report.Note("innocent-requests", innocents.sent_, "");
  report.Note("innocent-not-complete", innocents.notComplete_, "");
  report.AtLeast("crash-refused", quarantined, "of 20 sends", 1);
  report.AtMost(
    "innocent-refused", innocents.quarantined_, "as quarantined", 0);
  report.AtMost("crash-known",
                knownMs < 0 ? INT32_MAX : static_cast<double>(knownMs),
                "ms until all routers know",
                2000);
  report.AtMost(kName, Lost(deployment), "backend servers lost", 2);
  return report.ExitCode();
}

}
}

int main()
{
  return cactuspitch::Run();
}

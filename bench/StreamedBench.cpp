#include "bench/Measurement.hpp"
#include "standin/LoadGenerator.hpp"
#include "tests/Deployment.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

namespace cactuspitch {
namespace {

constexpr int kCallers = 64;
constexpr uint64_t kBlobBytes = 50 * 1000 * 1000;
constexpr double kMaxAddedMb = 32;
constexpr double kKbPerMb = 1024;

DeploymentOptions Options()
{
  DeploymentOptions options;
  options.instances_ = 2;
  options.services_ = { { .name_ = "dossier-library",
                          .backends_ = 2,
                          .slots_ = kCallers,
                          .serviceUs_ = 0,
                          .flags_ = { "--queue", "64" } } };
  return options;
}

/// Largest resident memory of a process while the load runs.
class MemoryWatch
{
public:
  MemoryWatch(const ProcessFleet& aFleet, std::string aName)
    : fleet_(aFleet)
    , name_(std::move(aName))
    , thread_([this] { Run(); })
  {
  }
  ~MemoryWatch() { Stop(); }

  int64_t Stop()
  {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return peakKb_;
  }

private:
  void Run()
  {
    while (!stopping_) {
      peakKb_ = std::max<int64_t>(peakKb_, fleet_.ResidentKb(name_));
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  const ProcessFleet& fleet_;
  const std::string name_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int64_t> peakKb_ = 0;
  std::thread thread_;
};

int Measure()
{
  Deployment deployment(BINARY_DIR, Options());
  const auto missing = deployment.Start();
  if (!missing.empty()) {
    return ReportFailure("streamed", missing);
  }
  const SteadyClock clock;
  LoadOptions load;
  load.targets_ = { deployment.Routers().front() };
  load.services_ = { "dossier-library" };
  load.rate_ = 0;
  // Every caller starts its download at once; the next ones come too late.
  load.durationMs_ = 100;
  load.connections_ = kCallers;
  load.blobBytes_ = kBlobBytes;
  load.deadlineMs_ = 30000;
  load.maxAttempts_ = 20;
  const auto idleKb = deployment.Fleet().ResidentKb("router-0");
  MemoryWatch watch(deployment.Fleet(), "router-0");
  const auto report = RunLoad(clock, load);
  const auto peakKb = watch.Stop();
  std::printf("downloads complete: %ld, idle %ld KB, peak %ld KB\n",
              static_cast<long>(report.Count(LoadOutcome::Complete)),
              static_cast<long>(idleKb),
              static_cast<long>(peakKb));
  if (report.Count(LoadOutcome::Complete) < kCallers) {
    return ReportFailure("streamed", report.ToJson().dump());
  }
  return ReportAtMost("streamed",
                      static_cast<double>(peakKb - idleKb) / kKbPerMb,
                      "MB added",
                      kMaxAddedMb);
}

}
}

int main()
{
  return cactuspitch::Measure();
}

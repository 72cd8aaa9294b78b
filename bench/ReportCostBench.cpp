// Cost of the burn report on a router at full load: request rate with an admin
// process that collects the counters every second (15 times as often as by
// default) and makes the report, over the rate while it is paused. Counting
// itself cannot be switched off, so its measured time per request is taken off
// the ratio as if one core served all requests.

#include "bench/Measurement.hpp"
#include "common/Strings.hpp"
#include "router/SloCounters.hpp"
#include "standin/LoadGenerator.hpp"
#include "tests/Deployment.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr int kConnections = 32;
constexpr TimeMs kRunMs = 1000;
constexpr TimeMs kWarmupMs = 300;
constexpr int kRounds = 11;
constexpr double kMinRatio = 0.98;

DeploymentOptions Options()
{
  DeploymentOptions options;
  options.instances_ = 2;
  options.withAdmin_ = true;
  options.adminFlags_ = { "--slo-interval-ms", "1000" };
  options.services_ = { { .name_ = "registry-query",
                          .backends_ = 2,
                          .slots_ = 64,
                          .serviceUs_ = 0,
                          .flags_ = { "--keep-history",
                                      "false",
                                      "--queue",
                                      "64",
                                      "--connections",
                                      "200" } } };
  return options;
}

double Median(std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  return aValues[aValues.size() / 2];
}

/// Seconds that counting one request takes.
double CountingSeconds()
{
  constexpr int kRequests = 2000000;
  SloCounters counters([] { return int64_t{ 1 }; });
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    counters.Record("registry-query", "", "b-registry-query-0", "giza-a");
  }
  const std::chrono::duration<double> took =
    std::chrono::steady_clock::now() - start;
  return took.count() / kRequests;
}

/// Processor time of a process in seconds, user and system.
double CpuSeconds(pid_t aPid)
{
  std::ifstream file(Concat("/proc/", aPid, "/stat"));
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const auto name = text.rfind(')');
  if (name == std::string::npos) {
    return 0;
  }
  // The fields after the name begin with the third, utime is the 14th.
  constexpr int kFieldsBefore = 11;
  std::istringstream fields(text.substr(name + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class ReportCost
{
public:
  ReportCost()
    : deployment_(BINARY_DIR, Options())
  {
  }

  int Run()
  {
    const auto missing = deployment_.Start();
    if (!missing.empty()) {
      return ReportFailure("report-cost", missing);
    }
    // Adjacent runs are compared, so that a change of the machine's load meets
    // both; the order alternates for the same reason.
    std::vector<double> ratios;
    std::vector<double> rates;
    for (int round = 0; round < kRounds; ++round) {
      const bool withFirst = round % 2 == 0;
      const double first = Rate(withFirst);
      const double second = Rate(!withFirst);
      const double with = withFirst ? first : second;
      const double without = withFirst ? second : first;
      std::printf("with %.0f/s, without %.0f/s\n", with, without);
      ratios.push_back(with / without);
      rates.push_back(with);
    }
    if (reports_ == 0) {
      return ReportFailure("report-cost", "no report was made");
    }
    const double counting = CountingSeconds() * Median(rates);
    std::printf("reports %d, collecting %.4f ratio, counting %.4f of a core\n",
                reports_.load(),
                Median(ratios),
                counting);
    // Other processes of the machine change the rate, but hardly this.
    constexpr double kUsPerSecond = 1e6;
    std::printf("router CPU per request: with %.3f us, without %.3f us\n",
                cpu_[1] / requests_[1] * kUsPerSecond,
                cpu_[0] / requests_[0] * kUsPerSecond);
    return ReportAtLeast(
      "report-cost", Median(ratios) - counting, "ratio", kMinRatio);
  }

private:
  double Rate(bool aWithReport)
  {
    for (const char* admin : { "admin-0", "admin-1" }) {
      if (aWithReport) {
        deployment_.Fleet().Resume(admin);
      } else {
        deployment_.Fleet().Pause(admin);
      }
    }
    std::atomic<bool> done = false;
    std::thread reader([&] {
      while (aWithReport && !done) {
        const auto report =
          HttpCall("GET", deployment_.AdminAddress(0), "/v1/slo");
        reports_ += report.has_value() ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
      }
    });
    LoadOptions load;
    load.targets_ = { deployment_.Routers().front() };
    load.services_ = { "registry-query" };
    load.rate_ = 0;
    load.durationMs_ = kRunMs;
    load.warmupMs_ = kWarmupMs;
    load.connections_ = kConnections;
    load.postPercent_ = 0;
    load.zipfExponent_ = 0;
    load.maxAttempts_ = 1;
    const auto cpuBefore = CpuSeconds(deployment_.Fleet().Pid("router-0"));
    const auto result = RunLoad(clock_, load);
    cpu_[aWithReport] +=
      CpuSeconds(deployment_.Fleet().Pid("router-0")) - cpuBefore;
    requests_[aWithReport] += static_cast<double>(result.Requests());
    const auto rate = result.GoodputPerSecond();
    done = true;
    reader.join();
    return rate;
  }

  SteadyClock clock_;
  Deployment deployment_;
  std::atomic<int> reports_ = 0;
  /// Without and with the report.
  double cpu_[2] = {};
  double requests_[2] = {};
};

}
}

int main()
{
  return cactuspitch::ReportCost().Run();
}

#include "bench/Measurement.hpp"
#include "standin/LoadGenerator.hpp"
#include "tests/Deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace cactuspitch {
namespace {

constexpr int kConnections = 32;
constexpr TimeMs kRunMs = 4000;
constexpr int kRounds = 3;
constexpr double kMinRatio = 0.45;
constexpr double kMaxAddedP50Us = 100;
constexpr double kMaxAddedP99Us = 1000;
constexpr double kUsPerMs = 1000;

struct Figures
{
  double direct_ = 0;
  double routed_ = 0;
};

class PathOverhead
{
public:
  PathOverhead()
    : deployment_(BINARY_DIR, Options())
  {
  }

  int Run()
  {
    const auto missing = deployment_.Start();
    if (!missing.empty()) {
      return ReportFailure("path-overhead", missing);
    }
    // The medians of alternating rounds, so that a change of the machine's
    // load meets both paths.
    std::vector<double> direct;
    std::vector<double> routed;
    for (int round = 0; round < kRounds; ++round) {
      direct.push_back(Load(true, 0).GoodputPerSecond());
      routed.push_back(Load(false, 0).GoodputPerSecond());
    }
    const Figures rate = { Median(direct), Median(routed) };
    std::printf("direct %.0f/s, routed %.0f/s\n", rate.direct_, rate.routed_);
    const int addedStatus = MeasureLatency(rate.routed_ / 2);
    const int ratioStatus = ReportAtLeast(
      "path-overhead", rate.routed_ / rate.direct_, "ratio", kMinRatio);
    return std::max(addedStatus, ratioStatus);
  }

private:
  static DeploymentOptions Options()
  {
    DeploymentOptions options;
    options.instances_ = 2;
    options.services_ = { { .name_ = "registry-query",
                            .backends_ = 1,
                            .slots_ = 64,
                            .serviceUs_ = 0,
                            .flags_ = { "--accept-direct",
                                        "true",
                                        "--keep-history",
                                        "false",
                                        "--queue",
                                        "64",
                                        "--connections",
                                        "200" } } };
    return options;
  }

  static double Median(std::vector<double> aValues)
  {
    std::ranges::sort(aValues);
    return aValues[aValues.size() / 2];
  }

  LoadReport Load(bool aDirect, double aRate)
  {
    LoadOptions load;
    load.targets_ = { aDirect ? deployment_.Address("b-registry-query-0")
                              : deployment_.Routers().front() };
    load.services_ = { "registry-query" };
    load.rate_ = aRate;
    load.durationMs_ = kRunMs;
    load.warmupMs_ = 1000;
    load.connections_ = kConnections;
    load.postPercent_ = 0;
    load.zipfExponent_ = 0;
    load.maxAttempts_ = 1;
    auto report = RunLoad(clock_, load);
    const auto complete = report.Count(LoadOutcome::Complete);
    if (complete < report.Requests()) {
      std::printf("%s: %ld of %ld requests not complete\n",
                  aDirect ? "direct" : "routed",
                  static_cast<long>(report.Requests() - complete),
                  static_cast<long>(report.Requests()));
    }
    return report;
  }

  int MeasureLatency(double aRate)
  {
    constexpr double kMedian = 0.5;
    constexpr double kTail = 0.99;
    const auto direct = Load(true, aRate);
    const auto routed = Load(false, aRate);
    const auto added = [&](double aShare) {
      return (routed.LatencyMs(aShare) - direct.LatencyMs(aShare)) * kUsPerMs;
    };
    std::printf("at %.0f/s: direct p50 %.3f p99 %.3f ms, "
                "routed p50 %.3f p99 %.3f ms\n",
                aRate,
                direct.LatencyMs(kMedian),
                direct.LatencyMs(kTail),
                routed.LatencyMs(kMedian),
                routed.LatencyMs(kTail));
    const int median = ReportAtMost(
      "path-overhead-p50", added(kMedian), "us added", kMaxAddedP50Us);
    const int tail = ReportAtMost(
      "path-overhead-p99", added(kTail), "us added", kMaxAddedP99Us);
    return std::max(median, tail);
  }

  SteadyClock clock_;
  Deployment deployment_;
};

}
}

int main()
{
  return cactuspitch::PathOverhead().Run();
}

#include "AssignerProbe.hpp"
#include "Measurement.hpp"
#include "OwnershipRig.hpp"
#include "common/Strings.hpp"

#include <chrono>
#include <cstdio>
#include <thread>

namespace cactuspitch {
namespace {

constexpr const char* kName = "control-cost";

struct Cost
{
  double corePercent_ = 0;
  double megabytes_ = 0;
  double orderKbPerSecond_ = 0;
};

/// Cost of the assigner that leads a group of so many backend servers.
bool Measure(int aServers, Cost& aCost)
{
  constexpr auto kWindow = std::chrono::milliseconds(8000);
  constexpr double kWindowS = 8;
  constexpr double kMsToPercent = 100.0 / 8000;
  constexpr double kKb = 1024;
  OwnershipRig rig(
    BINARY_DIR,
    { .instances_ = 2,
      .services_ = { { .name_ = "ledger", .backends_ = aServers } } });
  if (!rig.Start().empty()) {
    return false;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  const int index = rig.AssignerIndex();
  const auto name = Concat("assigner-", index);
  const auto& deployment = rig.GetDeployment();
  const auto bytes =
    AssignerMetric(deployment, index, "cactuspitch_order_bytes");
  const auto usedMs = ProcessorMs(rig.Fleet(), name);
  std::this_thread::sleep_for(kWindow);
  aCost.corePercent_ = (ProcessorMs(rig.Fleet(), name) - usedMs) * kMsToPercent;
  aCost.megabytes_ = static_cast<double>(rig.Fleet().ResidentKb(name)) / kKb;
  aCost.orderKbPerSecond_ =
    (AssignerMetric(deployment, index, "cactuspitch_order_bytes") - bytes) /
    kKb / kWindowS;
  std::printf("%d backend servers: %.2f%% of a core, %.1f MB, orders %.1f "
              "KB/s\n",
              aServers,
              aCost.corePercent_,
              aCost.megabytes_,
              aCost.orderKbPerSecond_);
  return true;
}

// At the design size a daemon leads 1,024 x 64 / 2,300 = 28.5 backend servers.
// The cost there is predicted from the slope between two sizes.
int Run()
{
  constexpr int kSmall = 4;
  constexpr int kLarge = 20;
  constexpr double kDesignServers = 28.5;
  constexpr double kTargetPercent = 3;
  Cost small;
  Cost large;
  if (!Measure(kSmall, small) || !Measure(kLarge, large)) {
    return ReportFailure(kName, "deployment does not serve");
  }
  const auto predict = [&](double Cost::*aMember) {
    const double slope = (large.*aMember - small.*aMember) / (kLarge - kSmall);
    return small.*aMember + slope * (kDesignServers - kSmall);
  };
  std::printf("at %.1f backend servers: %.1f MB (limit 32), orders %.1f KB/s "
              "(limit 7)\n",
              kDesignServers,
              predict(&Cost::megabytes_),
              predict(&Cost::orderKbPerSecond_));
  return ReportAtMost(
    kName, predict(&Cost::corePercent_), "% of a core", kTargetPercent);
}

}
}

int main()
{
  return cactuspitch::Run();
}

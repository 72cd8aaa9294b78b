#include "BalanceModel.hpp"
#include "BenchReport.hpp"

#include <algorithm>

namespace cactuspitch {
namespace {

constexpr int kServers = 15;
constexpr double kRequestsPerSecond = 4500;
constexpr double kMeanServer = kRequestsPerSecond / kServers;
constexpr int kLimitSeconds = 60;

/// The key has a slice of its own, and its server has at most 1.15 times the
/// mean load or nothing but the key.
bool IsIsolated(const BalanceModel& aModel, KeyHash aKey)
{
  constexpr double kAllowed = 1.15;
  const auto& table = aModel.Table();
  const auto& slice = table.FindSlice(aKey);
  const auto index = static_cast<size_t>(&slice - table.slices_.data());
  if (slice.begin_ != aKey || table.SliceEnd(index) != aKey) {
    return false;
  }
  const double part = aModel.ServerParts()[static_cast<size_t>(slice.owner_)];
  return part * kServers <= kAllowed ||
         std::ranges::count(
           table.slices_, slice.owner_, &SliceRecord::owner_) == 1;
}

/// Seconds from the begin of a flood until its key is isolated.
int Isolate(BalanceModel& aModel, double aRequestsPerSecond)
{
  const KeyHash key = aModel.RandomColdKey();
  aModel.SetFlood(key, aRequestsPerSecond);
  int seconds = 0;
  do {
    aModel.Step();
    ++seconds;
  } while (!IsIsolated(aModel, key) && seconds < kLimitSeconds);
  aModel.SetFlood(0, 0);
  return seconds;
}

int Run()
{
  constexpr int kSettleSeconds = 60;
  constexpr int kRepeats = 6;
  BenchReport report;
  int worst = 0;
  for (const double servers : { 0.5, 1.0, 3.0 }) {
    BalanceModel model(
      { .servers_ = kServers, .requestsPerSecond_ = kRequestsPerSecond });
    int worstOfSize = 0;
    for (int i = 0; i < kRepeats; ++i) {
      for (int second = 0; second < kSettleSeconds; ++second) {
        model.Step();
      }
      worstOfSize =
        std::max(worstOfSize, Isolate(model, servers * kMeanServer));
    }
    report.Note(servers < 1   ? "hot-key-half-a-server"
                : servers > 1 ? "hot-key-three-servers"
                              : "hot-key-one-server",
                worstOfSize,
                "s");
    worst = std::max(worst, worstOfSize);
  }
  report.AtMost("hot-key", worst, "s until isolated, worst of 18", 20);
  return report.ExitCode();
}

}
}

int main()
{
  return cactuspitch::Run();
}

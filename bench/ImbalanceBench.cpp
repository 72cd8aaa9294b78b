#include "BalanceModel.hpp"
#include "BenchReport.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <numeric>
#include <string>
#include <unordered_map>

namespace cactuspitch {
namespace {

constexpr int kServers = 15;
constexpr int kWindowSeconds = 10;
constexpr int kChangeSeconds = 120;
constexpr int kSettledSeconds = 60;
constexpr int kChanges = 6;
constexpr size_t kHotKeys = 84;
constexpr double kAllowed = 1.15;

using Placement = std::function<int32_t(KeyHash)>;

/// Ring of 100 points for each server.
Placement ConsistentHashing()
{
  constexpr int kPoints = 100;
  std::vector<std::pair<KeyHash, int32_t>> ring;
  std::mt19937_64 random(42);
  for (int32_t server = 0; server < kServers; ++server) {
    for (int i = 0; i < kPoints; ++i) {
      ring.emplace_back(random(), server);
    }
  }
  std::ranges::sort(ring);
  return [ring](KeyHash aHash) {
    const auto next =
      std::ranges::lower_bound(ring, std::pair(aHash, int32_t{ 0 }));
    return next == ring.end() ? ring.front().second : next->second;
  };
}

/// Imbalance of one placement in the windows of 10 s.
class Meter
{
public:
  void Add(int32_t aServer, double aBusyMs)
  {
    loads_[static_cast<size_t>(aServer)] += aBusyMs;
  }
  /// aFloor: load of the hottest key over the mean load of a server.
  void EndWindow(double aFloor, bool aIsSettled)
  {
    const double total = std::accumulate(loads_.begin(), loads_.end(), 0.0);
    const double peak = std::ranges::max(loads_) * kServers / total;
    std::ranges::fill(loads_, 0);
    all_.push_back(peak);
    excess_.push_back(std::max(0.0, peak - std::max(1.0, aFloor)));
    if (aIsSettled) {
      // A server that has only the hottest key is exactly at the bound, but
      // both are sums of the same loads in another order.
      constexpr double kRounding = 1e-12;
      const double bound = std::max(kAllowed, aFloor) * (1 + kRounding);
      worst_ = std::max(worst_, peak);
      worstOfBound_ = std::max(worstOfBound_, peak / bound);
    }
    last_ = peak;
  }
  static double Median(std::vector<double> aValues)
  {
    std::ranges::sort(aValues);
    return aValues[aValues.size() / 2];
  }
  double Median() const { return Median(all_); }
  double MedianExcess() const { return Median(excess_); }
  double Worst() const { return worst_; }
  double WorstOfBound() const { return worstOfBound_; }
  double Last() const { return last_; }

private:
  std::vector<double> loads_ = std::vector<double>(kServers);
  std::vector<double> all_;
  std::vector<double> excess_;
  double worst_ = 0;
  double worstOfBound_ = 0;
  double last_ = 0;
};

struct Candidate
{
  std::string name_;
  Placement placement_;
  Meter meter_;
};

class Trial
{
public:
  explicit Trial(double aZipf)
    : model_({ .zipf_ = aZipf })
    , initial_(model_.Table())
  {
    candidates_.push_back({ "load-per-key",
                            [this](KeyHash aHash) {
                              return model_.Table().FindSlice(aHash).owner_;
                            },
                            {} });
    candidates_.push_back(
      { "modulo",
        [](KeyHash aHash) { return static_cast<int32_t>(aHash % kServers); },
        {} });
    candidates_.push_back({ "consistent-hashing", ConsistentHashing(), {} });
    candidates_.push_back(
      { "static-slices",
        [this](KeyHash aHash) { return initial_.FindSlice(aHash).owner_; },
        {} });
  }

  /// Hot keys change every two minutes; the last periods have a flood too.
  void Run(bool aIsVerbose)
  {
    for (int change = 0; change < kChanges; ++change) {
      if (change > 0) {
        model_.ChangeHotKeys(kHotKeys);
      }
      if (change >= kChanges - 2) {
        constexpr double kFloodPerSecond = 900; // three mean servers
        model_.SetFlood(model_.RandomColdKey(), kFloodPerSecond);
      }
      for (int second = 0; second < kChangeSeconds; second += kWindowSeconds) {
        RunWindow(second >= kSettledSeconds);
        if (aIsVerbose) {
          std::printf("change %d, %3d s: floor %.3f", change, second, floor_);
          for (const auto& candidate : candidates_) {
            std::printf("  %.3f", candidate.meter_.Last());
          }
          std::printf(
            "  moved %.4f slices %zu\n", moved_, model_.Table().slices_.size());
        }
      }
    }
  }

  void Report(const std::string& aPrefix, BenchReport& aReport) const
  {
    double bestExcess = 1e9;
    for (const auto& candidate : candidates_) {
      const auto& meter = candidate.meter_;
      const auto name = Concat(aPrefix, candidate.name_);
      aReport.Note(Concat(name, "-median"), meter.Median(), "peak over mean");
      aReport.Note(Concat(name, "-worst"),
                   meter.Worst(),
                   "peak over mean, 60 s after a change or later");
      if (&candidate != candidates_.data()) {
        bestExcess = std::min(bestExcess, meter.MedianExcess());
      }
    }
    aReport.Note(
      Concat(aPrefix, "moved"), totalMoved_, "of the load in 12 min");
    const Meter& own = candidates_.front().meter_;
    aReport.AtMost(Concat(aPrefix, "median-excess"),
                   own.MedianExcess(),
                   "over 1 or the hottest key, half of the best baseline's",
                   bestExcess / 2);
    aReport.AtMost(Concat(aPrefix, "imbalance"),
                   own.WorstOfBound(),
                   "of 1.15 or the hottest key, worst after 60 s",
                   1);
  }

private:
  void RunWindow(bool aIsSettled)
  {
    std::unordered_map<KeyHash, double> keys;
    double total = 0;
    moved_ = 0;
    for (int i = 0; i < kWindowSeconds; ++i) {
      const auto& second = model_.Step();
      moved_ += second.movedPart_;
      for (const auto& request : second.requests_) {
        keys[request.hash_] += request.busyMs_;
        total += request.busyMs_;
        for (auto& candidate : candidates_) {
          candidate.meter_.Add(candidate.placement_(request.hash_),
                               request.busyMs_);
        }
      }
    }
    totalMoved_ += moved_;
    floor_ = 0;
    for (const auto& [hash, load] : keys) {
      floor_ = std::max(floor_, load * kServers / total);
    }
    for (auto& candidate : candidates_) {
      candidate.meter_.EndWindow(floor_, aIsSettled);
    }
  }

  BalanceModel model_;
  GroupTable initial_;
  std::vector<Candidate> candidates_;
  double floor_ = 0;
  double moved_ = 0;
  double totalMoved_ = 0;
};

}
}

int main(int aArgc, char** aArgv)
{
  const bool isVerbose = aArgc > 1 && std::strcmp(aArgv[1], "--verbose") == 0;
  // With Zipf 1.0 the hottest key alone exceeds 1.15; with 0.9 it does not, so
  // that 1.15 is the bound until the flood.
  cactuspitch::Trial flat(0.9);
  flat.Run(isVerbose);
  cactuspitch::Trial steep(1.0);
  steep.Run(isVerbose);
  cactuspitch::BenchReport report;
  flat.Report("zipf-0.9-", report);
  steep.Report("", report);
  return report.ExitCode();
}

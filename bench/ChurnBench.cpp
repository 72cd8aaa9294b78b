#include "BalanceModel.hpp"
#include "BenchReport.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace cactuspitch {
namespace {

constexpr int kSettleSeconds = 300;
constexpr int kChangeSeconds = 120;
constexpr int kMinuteSeconds = 60;
constexpr double kPercent = 100;

/// Moved parts of the load, second by second.
std::vector<double> Run(BalanceModel& aModel, int aSeconds)
{
  std::vector<double> moved;
  for (int i = 0; i < aSeconds; ++i) {
    moved.push_back(aModel.Step().movedPart_);
  }
  return moved;
}

double Sum(const std::vector<double>& aValues)
{
  return std::accumulate(aValues.begin(), aValues.end(), 0.0);
}

double WorstMinute(const std::vector<double>& aMoved)
{
  double worst = 0;
  for (size_t i = 0; i + kMinuteSeconds <= aMoved.size(); ++i) {
    const auto begin = aMoved.begin() + static_cast<ptrdiff_t>(i);
    worst =
      std::max(worst, std::accumulate(begin, begin + kMinuteSeconds, 0.0));
  }
  return worst;
}

/// Expected peak over mean, of 1.15 or the hottest key where that is larger.
double PeakOfBound(const BalanceModel& aModel)
{
  constexpr double kAllowed = 1.15;
  const auto parts = aModel.ServerParts();
  const auto servers = static_cast<double>(parts.size());
  const double bound = std::max(kAllowed, aModel.PopularityOfRank(0) * servers);
  return std::ranges::max(parts) * servers / bound;
}

struct Change
{
  double join_ = 0;
  double leave_ = 0;
  double filled_ = 0; ///< load of the joined server over its fair part
};

/// The load of the leaving server moves. A hot key of it also displaces other
/// load, so that its new owner stays within 1.15 times the mean; a key above
/// that needs an empty server.
double LeastLeave(const BalanceModel& aModel, int32_t aLeaving)
{
  constexpr double kAllowed = 1.15;
  const auto parts = aModel.ServerParts();
  const auto slices = aModel.SliceParts();
  const double mean = 1.0 / static_cast<double>(parts.size() - 1);
  double least = parts[static_cast<size_t>(aLeaving)];
  double lightest = 1;
  for (size_t i = 0; i < parts.size(); ++i) {
    if (i != static_cast<size_t>(aLeaving)) {
      lightest = std::min(lightest, parts[i]);
    }
  }
  for (size_t i = 0; i < slices.size(); ++i) {
    if (aModel.Table().slices_[i].owner_ == aLeaving) {
      const double excess = slices[i] + lightest - kAllowed * mean;
      least += std::clamp(excess, 0.0, lightest);
    }
  }
  return least;
}

/// A server joins and later another one leaves.
Change MeasureChange(uint64_t aSeed)
{
  BalanceModel model({ .seed_ = aSeed });
  Run(model, kSettleSeconds);
  model.AddServer();
  const double joined = Sum(Run(model, kChangeSeconds));
  const auto parts = model.ServerParts();
  // The joined server must end with its part, and nothing else must move.
  const double leastJoin = 1.0 / static_cast<double>(parts.size());
  const double filled = parts.back() / leastJoin;

  const auto before = model.ServerParts();
  const auto leaving = static_cast<int32_t>(aSeed % before.size());
  const double leastLeave = LeastLeave(model, leaving);
  model.DrainServer(leaving);
  const double left = Sum(Run(model, kChangeSeconds));
  return { joined / leastJoin, left / leastLeave, filled };
}

int Run()
{
  BenchReport report;
  BalanceModel model({});
  Run(model, kSettleSeconds);
  constexpr double kMinutes = 60;
  std::vector<double> hour;
  double worstPeak = 0;
  for (int minute = 0; minute < kMinutes; ++minute) {
    const auto moved = Run(model, kMinuteSeconds);
    hour.insert(hour.end(), moved.begin(), moved.end());
    worstPeak = std::max(worstPeak, PeakOfBound(model));
  }
  report.Note(
    "churn-mean", Sum(hour) * kPercent / kMinutes, "% of load a minute");

  Change worst{ 0, 0, 1e9 };
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const Change one = MeasureChange(seed);
    worst.join_ = std::max(worst.join_, one.join_);
    worst.leave_ = std::max(worst.leave_, one.leave_);
    worst.filled_ = std::min(worst.filled_, one.filled_);
  }
  report.AtMost("churn-imbalance",
                worstPeak,
                "of 1.15 or the hottest key in the steady hour",
                1);
  report.AtLeast(
    "join-filled", worst.filled_, "of the fair part after 120 s", 0.85);
  report.AtMost("churn-join", worst.join_, "of the least possible", 1.2);
  report.AtMost("churn-leave", worst.leave_, "of the least possible", 1.2);
  report.AtMost("churn",
                WorstMinute(hour) * kPercent,
                "% of load in the worst minute of a steady hour",
                1);
  return report.ExitCode();
}

}
}

int main()
{
  return cactuspitch::Run();
}

// Non-idempotent requests under kills, freezes and silent links, with callers
// that repeat: executions above one, refusals as not run that ran, and callers
// without a final answer.

#include "BenchReport.hpp"
#include "HistoryLines.hpp"
#include "Measurement.hpp"
#include "common/Strings.hpp"
#include "standin/LoadGenerator.hpp"
#include "tests/Deployment.hpp"

#include <atomic>
#include <thread>
#include <unordered_map>

namespace cactuspitch {
namespace {

constexpr char kName[] = "duplicates";
constexpr char kService[] = "inspection-ledger";
constexpr int kInstances = 4;
constexpr int kBackends = 6;
constexpr int kWantedRecordings = 100000;
constexpr TimeMs kRoundMs = 10000;
constexpr int kMaxRounds = 4;

struct RequestRecord
{
  int executions_ = 0;
  int sends_ = 0;
  int notRun_ = 0;
};

using Records = std::unordered_map<std::string, RequestRecord>;

/// Kills, freezes and cuts one backend server after another, and kills one
/// router and one assigner.
class Faults
{
public:
  explicit Faults(Deployment& aDeployment)
    : deployment_(aDeployment)
    , names_(aDeployment.BackendNames(kService))
  {
  }

  /// One fault and its end; called until the load has ended.
  void Next()
  {
    auto& fleet = deployment_.Fleet();
    const auto& name = names_[static_cast<size_t>(count_) % names_.size()];
    switch (count_ % 4) {
      case 0:
        fleet.Kill(name);
        Sleep(500);
        deployment_.LaunchBackend(name);
        ++kills_;
        break;
      case 1:
        fleet.Pause(name);
        Sleep(2500);
        fleet.Resume(name);
        ++freezes_;
        break;
      case 2:
        deployment_.SetCutMode(name, "drop-both");
        Sleep(1500);
        deployment_.SetCutMode(name, "pass");
        ++cuts_;
        break;
      default:
        KillInstance();
    }
    Sleep(500);
    ++count_;
  }
  int Kills() const { return kills_; }
  int Freezes() const { return freezes_; }
  int Cuts() const { return cuts_; }

private:
  /// The ledger remembers an id as long as one of its two holders lives, so
  /// only one router is lost in a run.
  void KillInstance()
  {
    if (isInstanceKilled_) {
      return;
    }
    isInstanceKilled_ = true;
    deployment_.Fleet().Kill("router-1");
    deployment_.Fleet().Kill("assigner-1");
    Sleep(1000);
    deployment_.LaunchRouter(1);
    deployment_.LaunchAssigner(1);
    ++kills_;
  }
  static void Sleep(TimeMs aMs)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }

  Deployment& deployment_;
  std::vector<std::string> names_;
  int count_ = 0;
  int kills_ = 0;
  int freezes_ = 0;
  int cuts_ = 0;
  bool isInstanceKilled_ = false;
};

class Trial
{
public:
  Trial()
    : deployment_(BINARY_DIR,
                  { .instances_ = kInstances,
                    .services_ = { { .name_ = kService,
                                     .backends_ = kBackends,
                                     .slots_ = 8,
                                     .serviceUs_ = 300 } },
                    .cuts_ = CutNames() })
  {
  }

  int Run()
  {
    const auto missing = deployment_.Start();
    if (!missing.empty()) {
      return ReportFailure(kName, missing);
    }
    Faults faults(deployment_);
    std::atomic<bool> stopping = false;
    std::thread disturber([&] {
      while (!stopping) {
        faults.Next();
      }
    });
    for (int round = 0;
         round < kMaxRounds && records_.size() < kWantedRecordings;
         ++round) {
      RunLoadRound(round);
    }
    stopping = true;
    disturber.join();
    for (const auto& name : deployment_.BackendNames(kService)) {
      VisitHistory(deployment_.HistoryFile(name), [this](const auto& aLine) {
        const auto found = records_.find(aLine.value("id", ""));
        if (found != records_.end()) {
          ++found->second.executions_;
        }
      });
    }
    return Report(faults);
  }

private:
  static std::vector<std::string> CutNames()
  {
    std::vector<std::string> names;
    for (int i = 0; i < kBackends; ++i) {
      names.push_back(Concat("b-", kService, "-", i));
    }
    return names;
  }

  void RunLoadRound(int aRound)
  {
    LoadOptions options;
    options.targets_ = deployment_.Routers();
    options.services_ = { kService };
    options.rate_ = 0;
    options.durationMs_ = kRoundMs;
    options.connections_ = 96;
    options.keys_ = 5000;
    options.seed_ = static_cast<uint64_t>(aRound) + 1;
    options.postPercent_ = 100;
    options.idPrefix_ = Concat("round", aRound);
    options.history_ =
      Concat(deployment_.Fleet().LogDirectory(), "/load-", aRound, ".history");
    const auto report = RunLoad(clock_, options);
    unanswered_ += report.Count(LoadOutcome::TimedOut);
    lost_ += report.Count(LoadOutcome::ConnectionLost);
    mismatched_ += report.Count(LoadOutcome::Mismatched);
    VisitHistory(options.history_, [this](const auto& aLine) {
      auto& record = records_[aLine.value("id", "")];
      ++record.sends_;
      record.notRun_ += aLine.value("outcome", "") == "not-run" ? 1 : 0;
    });
  }

  int Report(const Faults& aFaults) const
  {
    int64_t duplicates = 0;
    int64_t falseNotRun = 0;
    int64_t repeated = 0;
    int64_t executed = 0;
    for (const auto& [id, record] : records_) {
      duplicates += std::max(0, record.executions_ - 1);
      executed += record.executions_ > 0 ? 1 : 0;
      repeated += record.sends_ > 1 ? 1 : 0;
      const bool isRefused = record.notRun_ == record.sends_;
      falseNotRun += isRefused && record.executions_ > 0 ? 1 : 0;
    }
    BenchReport report;
    const auto note = [&](const char* aText, int64_t aValue) {
      report.Note(aText, static_cast<double>(aValue), "");
    };
    note("executed", executed);
    note("repeated-by-caller", repeated);
    note("connections-lost-with-a-killed-router", lost_);
    note("kills", aFaults.Kills());
    note("freezes", aFaults.Freezes());
    note("silent-links", aFaults.Cuts());
    report.AtLeast("recordings",
                   static_cast<double>(records_.size()),
                   "requests",
                   kWantedRecordings);
    report.AtMost("mismatched", static_cast<double>(mismatched_), "answers", 0);
    report.AtMost("unanswered",
                  static_cast<double>(unanswered_),
                  "sends without an answer by the deadline plus 100 ms",
                  0);
    report.AtMost("false-not-run",
                  static_cast<double>(falseNotRun),
                  "refusals as not run that ran",
                  0);
    report.AtMost(
      kName, static_cast<double>(duplicates), "executions above one", 0);
    return report.ExitCode();
  }

  SteadyClock clock_;
  Deployment deployment_;
  Records records_;
  int64_t unanswered_ = 0;
  int64_t lost_ = 0;
  int64_t mismatched_ = 0;
};

}
}

int main()
{
  return cactuspitch::Trial().Run();
}

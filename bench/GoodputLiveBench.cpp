// Goodput of real processes at 3 times the capacity, and after it.

#include "BenchReport.hpp"
#include "HistoryLines.hpp"
#include "Measurement.hpp"
#include "common/Strings.hpp"
#include "standin/ExecutionHistory.hpp"
#include "tests/Deployment.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {
namespace {

constexpr char kName[] = "goodput-live";
constexpr char kService[] = "registry-query";
constexpr int kInstances = 8;
constexpr int kBackends = 4;
constexpr int kSlots = 5;
constexpr int64_t kServiceUs = 20000;
constexpr double kUsPerSecond = 1000000;
constexpr double kCapacity = kBackends * kSlots * kUsPerSecond / kServiceUs;
constexpr double kNormalLoad = 0.7;
constexpr double kOverload = 3;
constexpr TimeMs kSpreadMs = 16000;
constexpr TimeMs kWarmupMs = 5000;
constexpr TimeMs kOverloadMs = 10000;
constexpr TimeMs kAfterMs = 10000;
constexpr TimeMs kRecoveryMs = 5000;
constexpr TimeMs kDeadlineMs = 500;
constexpr int kConnections = 900;
constexpr int64_t kUsPerMs = 1000;
constexpr TimeMs kMsPerSecond = 1000;

/// Counts from the callers' histories.
struct Phase
{
  int64_t sends_ = 0;
  int64_t inTime_ = 0;
  int64_t unanswered_ = 0;
  std::map<std::string, int64_t> ends_; ///< outcome or reason
  std::map<std::string, int64_t> servers_;
};

class Trial
{
public:
  Trial()
    : deployment_(BINARY_DIR,
                  { .instances_ = kInstances,
                    .services_ = { { .name_ = kService,
                                     .backends_ = kBackends,
                                     .slots_ = kSlots,
                                     .serviceUs_ = kServiceUs } } })
  {
  }

  int Run()
  {
    const auto missing = deployment_.Start();
    if (!missing.empty()) {
      return ReportFailure(kName, missing);
    }
    // The first backend server starts with all slices; they are spread while
    // the group is idle.
    Sleep(kSpreadMs);
    Launch("before", kNormalLoad, kWarmupMs);
    Sleep(kWarmupMs);
    const int64_t overloadUs = BootTimeUs();
    Launch("overload", kOverload, kOverloadMs);
    Sleep(kOverloadMs);
    const int64_t afterUs = BootTimeUs();
    Launch("after", kNormalLoad, kAfterMs);
    Sleep(kAfterMs + kDeadlineMs);
    // Refused callers would come back for two minutes.
    for (const char* name : { "before", "overload", "after" }) {
      deployment_.Fleet().Kill(name);
    }
    const auto overload =
      Count({ "before", "overload" }, overloadUs, afterUs, INT32_MAX);
    const auto after = Count({ "after" },
                             afterUs + kRecoveryMs * kUsPerMs,
                             afterUs + kAfterMs * kUsPerMs,
                             1);
    const auto all =
      Count({ "before", "overload", "after" }, 0, INT64_MAX, INT32_MAX);
    return Report(overload, after, all);
  }

private:
  void Launch(const std::string& aPhase, double aLoad, TimeMs aDurationMs)
  {
    std::string targets;
    for (const auto& router : deployment_.Routers()) {
      AppendTo(targets, targets.empty() ? "" : ",", router);
    }
    const auto rate = static_cast<int64_t>(aLoad * kCapacity);
    // An even spread over the keys: the balance is measured elsewhere.
    deployment_.Fleet().Launch(
      aPhase, "loadgen", { "--targets",      targets,
                           "--services",     kService,
                           "--rate",         std::to_string(rate),
                           "--duration-ms",  std::to_string(aDurationMs),
                           "--connections",  std::to_string(kConnections),
                           "--keys",         "20000",
                           "--zipf-percent", "10",
                           "--post-percent", "0",
                           "--deadline-ms",  std::to_string(kDeadlineMs),
                           "--id-prefix",    aPhase,
                           "--history",      HistoryFile(aPhase) });
  }

  std::string HistoryFile(const std::string& aPhase)
  {
    return Concat(deployment_.Fleet().LogDirectory(), "/", aPhase, ".calls");
  }

  /// Sends that were to be made in the window, up to the aMaxSend-th of each
  /// request.
  Phase Count(const std::vector<std::string>& aFiles,
              int64_t aBeginUs,
              int64_t aEndUs,
              int aMaxSend)
  {
    Phase phase;
    for (const auto& file : aFiles) {
      VisitHistory(HistoryFile(file), [&](const nlohmann::json& aLine) {
        const auto sentUs = aLine.at("sentUs").get<int64_t>();
        if (sentUs < aBeginUs || sentUs >= aEndUs ||
            aLine.at("send").get<int>() > aMaxSend) {
          return;
        }
        const auto outcome = aLine.at("outcome").get<std::string>();
        const auto takenUs = aLine.at("doneUs").get<int64_t>() - sentUs;
        ++phase.sends_;
        const auto reason = aLine.at("reason").get<std::string>();
        ++phase.ends_[reason.empty() ? outcome : reason];
        const auto server = aLine.at("server").get<std::string>();
        phase.servers_[server] += server.empty() ? 0 : 1;
        phase.unanswered_ += outcome == "unanswered" ? 1 : 0;
        phase.inTime_ +=
          outcome == "complete" && takenUs <= kDeadlineMs * kUsPerMs ? 1 : 0;
      });
    }
    return phase;
  }

  static int Report(const Phase& aOverload,
                    const Phase& aAfter,
                    const Phase& aAll)
  {
    const auto number = [](int64_t aValue) {
      return static_cast<double>(aValue);
    };
    BenchReport report;
    for (const auto& [end, count] : aOverload.ends_) {
      report.Note(Concat("overload-", end), number(count), "sends");
    }
    for (const auto& [server, count] : aOverload.servers_) {
      report.Note(Concat("overload-by-", server), number(count), "sends");
    }
    for (const auto& [end, count] : aAfter.ends_) {
      report.Note(Concat("after-", end), number(count), "new requests");
    }
    report.AtMost("goodput-live-unanswered",
                  number(aAll.unanswered_),
                  "sends without an answer by the deadline plus 100 ms",
                  0);
    report.AtLeast("goodput-live-after",
                   number(aAfter.inTime_) / number(aAfter.sends_),
                   "of new requests in time",
                   0.95);
    report.AtLeast(kName,
                   number(aOverload.inTime_) /
                     (kCapacity * kOverloadMs / kMsPerSecond),
                   "of capacity",
                   0.9);
    return report.ExitCode();
  }

  static void Sleep(TimeMs aMs)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }

  Deployment deployment_;
};

}
}

int main()
{
  return cactuspitch::Trial().Run();
}

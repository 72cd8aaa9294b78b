#include "LoadGenerator.hpp"

#include "ExecutionHistory.hpp"
#include "LoadSchedule.hpp"
#include "LoadWorker.hpp"
#include "common/Strings.hpp"

#include <fstream>
#include <list>
#include <mutex>
#include <thread>

namespace cactuspitch {

namespace detail {

std::string HistoryLine(const LoadOptions& aOptions,
                        const LoadResult& aResult,
                        const std::string& aId)
{
  const auto& request = aResult.request_;
  const nlohmann::json line = {
    { "id", aId },
    { "service", aOptions.services_[request.service_] },
    { "key", ZipfKeyDistribution::KeyName(request.key_) },
    { "method", request.isPost_ ? "POST" : "GET" },
    { "send", request.attempt_ },
    { "final", aResult.isFinal_ },
    { "intendedUs", request.intendedUs_ },
    { "sentUs", aResult.sentUs_ },
    { "doneUs", aResult.doneUs_ },
    { "outcome", EnumName(aResult.outcome_) },
    { "status", aResult.status_ },
    { "reason", aResult.reason_ },
    { "server", aResult.server_ },
  };
  return Concat(line.dump(), "\n");
}

}

LoadReport RunLoad(const Clock& aClock, const LoadOptions& aOptions)
{
  std::ofstream history;
  std::mutex historyMutex;
  LoadWorker::Observer observer;
  if (!aOptions.history_.empty()) {
    history.open(aOptions.history_);
    observer = [&](const LoadResult& aResult, const std::string& aId) {
      const auto line = detail::HistoryLine(aOptions, aResult, aId);
      const std::lock_guard lock(historyMutex);
      history << line;
    };
  }
  const int64_t start = BootTimeUs();
  LoadSchedule schedule(aOptions, start);
  const ReadinessChecker readiness(
    aClock, aOptions.targets_, aOptions.readyCheckMs_);
  std::list<LoadWorker> workers;
  std::list<std::thread> threads;
  for (int index = 0; index < aOptions.connections_; ++index) {
    auto& worker = workers.emplace_back(aClock,
                                        aOptions,
                                        schedule,
                                        readiness,
                                        static_cast<size_t>(index),
                                        start,
                                        observer);
    threads.emplace_back([&worker] { worker.Run(); });
  }
  LoadReport report(aOptions, start);
  for (auto& thread : threads) {
    thread.join();
  }
  for (const auto& worker : workers) {
    report.Merge(worker.Report());
  }
  return report;
}

}

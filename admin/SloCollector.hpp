#pragma once

#include "FleetClient.hpp"
#include "common/Metrics.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace cactuspitch {

struct SloCollectorOptions
{
  std::string instance_;
  TimeMs intervalMs_ = 15000;
};

/// Duty that collects the minute counters of all routers and saves them. One
/// admin process does so, by rendezvous rank. The process of rank n steps in
/// when no save was seen for n times the take-over time; two that write at the
/// same time do no harm (SloMinuteCounts).
class SloCollector
{
public:
  SloCollector(InstanceDirectory& aDirectory,
               FleetClient& aFleet,
               SloArchive& aArchive,
               MetricsRegistry& aMetrics,
               const Clock& aClock,
               std::function<int64_t()> aUnixClock,
               SloCollectorOptions aOptions);
  ~SloCollector();

  void Start();
  void Stop();
  /// One round; Start() runs it at every interval.
  void RunOnce();

private:
  /// Whether this process is the one to write now.
  bool ShouldSave();
  void Collect();

  InstanceDirectory& directory_;
  FleetClient& fleet_;
  SloArchive& archive_;
  Counter& saves_;
  Counter& failures_;
  const Clock& clock_;
  std::function<int64_t()> unixClock_;
  SloCollectorOptions options_;
  int64_t lastVersion_ = -1;
  TimeMs lastVersionChangeMs_ = 0;
  int64_t savedMinute_ = 0;
  int64_t compactedHour_ = 0;
  std::mutex mutex_;
  std::condition_variable stopCondition_;
  bool stopping_ = false;
  std::thread thread_;
};

}

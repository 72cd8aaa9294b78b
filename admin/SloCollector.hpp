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
  TimeMs intervalMs_ = 15000; ///< between saves
};

/// Background task that collects the minute counts of all routers and saves
/// them. Normally only the admin process of rendezvous rank 0 does so. The
/// process of rank n takes over after it has seen no save for n times 40 s.
/// Saves of two processes at the same time are harmless, since merging is
/// idempotent (SloMinuteCounts).
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
  /// Stops the thread, then saves once more if this process has to.
  void Stop();
  /// Collects and saves if this process has to. After Start() the thread calls
  /// this once per interval.
  void RunOnce();

private:
  /// Whether this process has to save now, by rank and last save seen.
  bool ShouldSave();
  /// Saves the counts since the last save, and compacts once per hour.
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

#pragma once

#include "ControlLoop.hpp"
#include "FleetConfig.hpp"
#include "FleetDirectory.hpp"
#include "common/BoundedRing.hpp"
#include "store/ObjectStore.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// Reads, writes and watches objects in the platform's store. Every watch has a
/// thread of its own, so that a slow call delays neither the other watches nor
/// a write.
class StoreSync
{
public:
  StoreSync(const Clock& aClock,
            ObjectStore& aStore,
            ControlLoop& aControl,
            FleetDirectory& aDirectory,
            FleetConfig& aConfig);
  ~StoreSync();
  StoreSync(const StoreSync&) = delete;
  StoreSync& operator=(const StoreSync&) = delete;

  void Start();
  void Stop();
  void Write(const std::string& aService, const WriteGroup& aWrite);
  void Read(const std::string& aService);
  bool IsReachable() const { return reachable_; }
  int64_t Calls() const { return calls_; }

private:
  struct Job
  {
    std::string service_;
    bool isWrite_ = false;
    WriteGroup write_;
  };
  using Objects = std::vector<StoredObject>;
  using Accept = void (StoreSync::*)(const Objects&, bool);
  struct WatchSpec
  {
    const char* kind_;
    TimeMs waitMs_;
    Accept accept_;
    /// Whether this instance needs the watch; null: always.
    bool (StoreSync::*isNeeded_)() const;
  };
  static const std::vector<WatchSpec>& WatchSpecs();

  void RunJobs();
  void RunWatch(const WatchSpec& aSpec);
  void Execute(const Job& aJob);
  void PostObject(const StoredObject& aObject);
  void AcceptGroups(const Objects& aObjects, bool aFirst);
  void AcceptConfig(const Objects& aObjects, bool aFirst);
  void AcceptInstances(const Objects& aObjects, bool aFirst);
  void AcceptServers(const Objects& aObjects, bool aFirst);
  absl::StatusOr<Objects> ListAll(const char* aKind);
  /// Reports the reachability of the store to all groups, and logs when it
  /// changes.
  void SetReachable(const absl::Status& aStatus);
  /// True when this instance has a role in some group or is among the first
  /// candidates for one. All other instances get tables and configuration from
  /// peers, so that the number of store calls grows with the number of groups
  /// and hardly with the size of the fleet.
  bool NeedsStoreState() const;
  /// True when this instance watches the configuration, which the other
  /// instances then get from it.
  bool NeedsConfig() const;
  bool WaitForStop(TimeMs aTimeoutMs);

  const Clock& clock_;
  ObjectStore& store_;
  ControlLoop& control_;
  FleetDirectory& directory_;
  FleetConfig& config_;
  BoundedRing<Job> ring_;
  std::mutex mutex_;
  std::condition_variable stopChanged_;
  bool stopping_ = false;
  std::atomic<bool> reachable_ = false;
  std::atomic<int64_t> calls_ = 0;
  std::vector<std::thread> threads_;
};

}

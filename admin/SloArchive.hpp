#pragma once

#include "SloCounts.hpp"
#include "common/Clock.hpp"
#include "store/ObjectStore.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

inline constexpr const char kSloKind[] = "slo";
inline constexpr int64_t kMinutesPerHour = 60;
inline constexpr int64_t kMinutesPerDay = 1440;
/// A minute is closed this long after it ended.
inline constexpr int64_t kCloseDelayMinutes = 5;
/// Minutes that routers keep and that are merged; older ones are ignored.
inline constexpr int64_t kMergeWindowMinutes = 65;
inline constexpr int64_t kSloPeriodDays = 30;

/// What one router reported about its current run.
struct SloSample
{
  std::string instance_;
  int64_t startMs_ = 0; ///< Unix time
  std::map<int64_t, SloCells> minutes_;
};

/// Counts of the last days, as the report needs them.
struct SloHistory
{
  /// By minute, over the last seven hours.
  std::map<int64_t, SloCells> minutes_;
  /// By first minute of the hour, over the report's period; hours that
  /// minutes_ covers are included.
  std::map<int64_t, SloCells> hours_;
  int64_t savedMs_ = 0;
};

/// Counters in the store: one object for each hour with a slot for each
/// minute (`hour.{number}`), folded into one for each day (`day.{number}`).
/// Every write is a conditional update that merges, so a lost answer is
/// repeated and concurrent writers do no harm.
class SloArchive
{
public:
  SloArchive(ObjectStore& aStore, const Clock& aClock);

  /// Merges the samples into the hours that they touch.
  absl::Status Save(const std::vector<SloSample>& aSamples,
                    int64_t aNowMs,
                    TimeMs aDeadlineMs);
  /// Folds finished hours into their days and deletes what has expired.
  absl::Status Compact(int64_t aNowMs, TimeMs aDeadlineMs);
  absl::StatusOr<SloHistory> Load(int64_t aNowMs);
  /// Store version of the newest hour; changes whenever any writer saves.
  absl::StatusOr<int64_t> CurrentHourVersion(int64_t aNowMs);

private:
  using BlockUpdate = std::function<void(SloBlock&)>;

  absl::Status UpdateBlock(const std::string& aName,
                           int64_t aNowMs,
                           TimeMs aDeadlineMs,
                           const BlockUpdate& aUpdate);
  absl::Status MergeHourIntoDay(const std::string& aName,
                                int64_t aHour,
                                const std::string& aText,
                                int64_t aNowMs,
                                TimeMs aDeadlineMs);
  absl::StatusOr<SloBlock> Read(const std::string& aName, int64_t& aVersion);
  absl::StatusOr<SloBlock> ReadCached(const std::string& aName);

  ObjectStore& store_;
  const Clock& clock_;
  /// Hours that are known to be in their day; used by one thread.
  std::set<std::string> mergedHours_;
  std::mutex mutex_;
  /// Days that no longer change.
  std::map<std::string, SloBlock> immutableDays_;
};

}

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
/// Time after its end at which a minute is closed.
inline constexpr int64_t kCloseDelayMinutes = 5;
/// Age up to which routers keep the counts of a minute and Save() merges them;
/// older counts are ignored.
inline constexpr int64_t kMergeWindowMinutes = 65;
/// Period of the error budgets.
inline constexpr int64_t kSloPeriodDays = 30;

/// Request counts that one router reported for its current incarnation.
struct SloSample
{
  std::string instance_;
  int64_t startMs_ = 0; ///< Unix time
  /// By minute since the Unix epoch.
  std::map<int64_t, SloCells> minutes_;
};

/// Request counts for the report.
struct SloHistory
{
  /// By minute, of the last seven hours.
  std::map<int64_t, SloCells> minutes_;
  /// By first minute of the hour, of the report's period; includes the hours
  /// that minutes_ covers.
  std::map<int64_t, SloCells> hours_;
  int64_t savedMs_ = 0; ///< Unix time of the last save, 0 for none
};

/// Request counts in the object store. There is one object for each hour
/// (`hour.{number}`) with a slot for each minute; finished hours are merged
/// into one object for each day (`day.{number}`). Every write is a conditional
/// update that merges counts idempotently, so a write whose response was lost
/// can be retried, and concurrent writers count nothing twice.
class SloArchive
{
public:
  SloArchive(ObjectStore& aStore, const Clock& aClock);

  /// Merges the samples into the objects of their hours. Retries until
  /// aDeadlineMs (of the clock) and returns the first error that remains.
  absl::Status Save(const std::vector<SloSample>& aSamples,
                    int64_t aNowMs,
                    TimeMs aDeadlineMs);
  /// Merges finished hours into their days, and deletes hours and days that
  /// have expired.
  absl::Status Compact(int64_t aNowMs, TimeMs aDeadlineMs);
  /// Counts of the report's period; fails when any object cannot be read.
  absl::StatusOr<SloHistory> Load(int64_t aNowMs);
  /// Store version of the current hour's object. It changes whenever any writer
  /// saves new counts.
  absl::StatusOr<int64_t> CurrentHourVersion(int64_t aNowMs);

private:
  using BlockUpdate = std::function<void(SloBlock&)>;

  /// Reads an object, applies aUpdate and writes the object if it changed.
  /// Retries on conflicts and temporary errors until aDeadlineMs.
  absl::Status UpdateBlock(const std::string& aName,
                           int64_t aNowMs,
                           TimeMs aDeadlineMs,
                           const BlockUpdate& aUpdate);
  /// Adds the total of hour aHour, stored as aText, to its day unless the day
  /// already has it.
  absl::Status MergeHourIntoDay(const std::string& aName,
                                int64_t aHour,
                                const std::string& aText,
                                int64_t aNowMs,
                                TimeMs aDeadlineMs);
  /// Empty block and kMustNotExist when there is no such object.
  absl::StatusOr<SloBlock> Read(const std::string& aName, int64_t& aVersion);
  /// For objects that no longer change.
  absl::StatusOr<SloBlock> ReadCached(const std::string& aName);

  ObjectStore& store_;
  const Clock& clock_;
  /// Names of hours that were merged into their day. Not guarded by mutex_, as
  /// only the thread that calls Compact() uses it.
  std::set<std::string> mergedHours_;
  std::mutex mutex_;
  /// Blocks of days that no longer change, by name; guarded by mutex_.
  std::map<std::string, SloBlock> immutableDays_;
};

}

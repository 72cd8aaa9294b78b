#pragma once

#include "common/Clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// State of an object at one revision; a deleted object has no value.
struct ObjectRevision
{
  std::string name_;
  int64_t revision_ = 0;
  TimeMs writtenMs_ = 0;
  std::optional<std::string> value_;
};

/// Version that an object must have for a write to succeed. Empty: no
/// precondition; 0: the object must not exist.
using ExpectedVersion = std::optional<int64_t>;

/// In-memory object store with optimistic concurrency. The version of an object
/// is the store-wide revision of its last write. Past states are retained for
/// two minutes, so that reads with a replication lag can be simulated.
/// Thread-safe.
class VersionedObjects
{
public:
  explicit VersionedObjects(const Clock& aClock);

  /// State of the object aLagMs ago; empty when absent or deleted.
  std::optional<ObjectRevision> Get(const std::string& aKind,
                                    const std::string& aName,
                                    TimeMs aLagMs) const;
  /// States, as of aLagMs ago, of the kind's objects that changed after
  /// revision aSince. Deletions are included when aSince is above 0.
  std::vector<ObjectRevision> ChangesSince(const std::string& aKind,
                                           int64_t aSince,
                                           TimeMs aLagMs) const;
  /// Like ChangesSince(), but waits up to aWaitMs for a change.
  std::vector<ObjectRevision> WaitForChanges(const std::string& aKind,
                                             int64_t aSince,
                                             TimeMs aLagMs,
                                             TimeMs aWaitMs) const;
  /// Writes an object, or deletes it when aValue is empty. Sets aVersion to the
  /// new version. When aExpected does not match, returns false and sets
  /// aVersion to the current version.
  bool Write(const std::string& aKind,
             const std::string& aName,
             const ExpectedVersion& aExpected,
             std::optional<std::string> aValue,
             int64_t& aVersion);
  /// Ends all waits; later calls of WaitForChanges() return at once.
  void Close();

private:
  using History = std::vector<ObjectRevision>;
  using ObjectHistories = std::map<std::string, History>;

  std::vector<ObjectRevision> ChangesLocked(const std::string& aKind,
                                            int64_t aSince,
                                            TimeMs aLagMs) const;
  const ObjectRevision* StateAt(const History& aHistory, TimeMs aTime) const;

  const Clock& clock_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::map<std::string, ObjectHistories> kinds_;
  int64_t revision_ = 0;
  bool closed_ = false;
};

}

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

/// State of one object at one revision; a deleted one has no value.
struct ObjectRevision
{
  std::string name_;
  int64_t revision_ = 0;
  TimeMs writtenMs_ = 0;
  std::optional<std::string> value_;
};

/// Precondition of a write; empty for none, 0 for an absent object.
using ExpectedVersion = std::optional<int64_t>;

/// Objects in memory with versions, which are revisions of the whole store.
/// Past states are kept for a while, so that lagging lists can be served.
class VersionedObjects
{
public:
  explicit VersionedObjects(const Clock& aClock);

  /// Newest state no younger than aLagMs; empty when absent or deleted.
  std::optional<ObjectRevision> Get(const std::string& aKind,
                                    const std::string& aName,
                                    TimeMs aLagMs) const;
  /// States of the kind after aSince, with deletions when aSince is above 0.
  std::vector<ObjectRevision> ChangesSince(const std::string& aKind,
                                           int64_t aSince,
                                           TimeMs aLagMs) const;
  /// As Changes(), waiting up to aWaitMs for one.
  std::vector<ObjectRevision> WaitForChanges(const std::string& aKind,
                                             int64_t aSince,
                                             TimeMs aLagMs,
                                             TimeMs aWaitMs) const;
  /// Empty aValue deletes. On a conflict aVersion receives the present version
  /// and the result is false.
  bool Write(const std::string& aKind,
             const std::string& aName,
             const ExpectedVersion& aExpected,
             std::optional<std::string> aValue,
             int64_t& aVersion);
  /// Ends all waits; later ones return at once.
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

#pragma once

#include "common/RepeatFilter.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/ListCursor.hpp"
#include "gateway/StoreClient.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Keeps only the last event of each object, since earlier states are outdated.
/// The result is in the order of these events.
std::vector<ObjectEvent> LatestEventPerObject(
  const std::vector<ObjectEvent>& aEvents);

/// How a watcher catches up when it becomes active again.
enum class ResumeMode : uint8_t
{
  Watch, ///< replay the missed events; for objects with increasing versions
  List,  ///< list, because replayed states may be older than received gossip
  Count
};

template<>
struct EnumNames<ResumeMode>
{
  static constexpr std::string_view kNames[] = { "watch", "list" };
};

/// Follows all objects of one kind: lists them once and then watches for
/// changes. Lists again if the store has compacted the history since the last
/// watch, or if the last list was cut short. Objects that cannot be told from
/// others are left out, and unreadable ones are logged.
class StoreWatcher
{
public:
  struct Handlers
  {
    /// A list begins. What was passed on of an unfinished one is void.
    std::function<void()> onListBegins_;
    std::function<void(const std::vector<StoreObject>&)> onPage_;
    /// All pages were passed on. If aComplete is false, others are missing
    /// whose objects may exist.
    std::function<void(bool aComplete)> onListEnds_;
    std::function<void(const std::vector<ObjectEvent>&)> onEvents_;
  };

  StoreWatcher(EventLoop& aLoop,
               EventLog& aLog,
               StoreClient& aStore,
               std::string aKind,
               TimeMs aWaitMs,
               ResumeMode aResumeMode,
               bool aActive,
               Handlers aHandlers);

  /// Starts with a list that may be some seconds old, which is cheaper. An
  /// active watcher receives the later changes from its watch.
  void Start();
  /// Lists the objects again. Does nothing while active, since the watch
  /// already delivers all changes.
  void Relist();
  /// An inactive watcher makes no calls after its first list.
  void SetActive(bool aActive);
  bool IsActive() const { return active_; }
  /// Lists again, because the store was restored from an older copy. An
  /// inactive watcher lists when it becomes active.
  void OnRestored();
  /// Replaces the pending watch or list, which may hang on a dead connection.
  void Refresh();
  /// Revision of the store up to which all changes were passed on, 0 before the
  /// first complete list and while a new list is needed.
  int64_t Revision() const { return IsInSync() ? revision_ : 0; }
  /// The same for the objects that were passed on, also if others are missing.
  int64_t SeenRevision() const { return revision_; }
  /// True once a complete list has been read.
  bool HasListed() const { return everListed_; }
  /// True while objects are missing because the last list was cut short.
  bool IsCutShort() const { return synced_ && !complete_; }

private:
  bool IsInSync() const { return synced_ && complete_; }
  void List(ReadMode aMode);
  void ReadPage();
  void OnPage(StoreResponse aResponse);
  void OnPageFailed(const StoreResponse& aResponse);
  void EndList(ListStep aStep);
  void ReportList();
  /// Logs what is unreadable of the object, at most once a minute.
  void ReportFault(const StoreObject& aObject);
  void Watch();
  void OnWatched(StoreResponse aResponse);
  void OnMalformedWatch();
  /// Watches on, or lists again if objects are missing.
  void WatchOn();
  void RetryLater();
  TimeMs BackoffMs();

  EventLoop& loop_;
  EventLog& log_;
  StoreClient& store_;
  std::string kind_;
  TimeMs waitMs_;
  ResumeMode resumeMode_;
  Handlers handlers_;
  Timer retryTimer_;
  uint64_t generation_ = 0; ///< responses of other generations are dropped
  bool active_;
  bool synced_ = false;   ///< the last list has ended
  bool complete_ = false; ///< the last list that has ended was complete
  bool everListed_ = false;
  int failures_ = 0;
  int malformedWatches_ = 0; ///< in a row
  int64_t revision_ = 0;
  ReadMode mode_ = ReadMode::AllowStale; ///< of the current list
  std::optional<ListCursor> cursor_;     ///< while a list is being read
  TimeMs listEndedMs_ = 0;
  ListCut reportedCut_ = ListCut::None;
  RepeatFilter reportedFaults_;  ///< by the names of the objects
  RepeatFilter reportedWatches_; ///< malformed, without a name
};

}

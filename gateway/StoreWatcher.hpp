#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/StoreClient.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// The last event of each object, in the order of those: what lies between is
/// outdated already.
std::vector<ObjectEvent> LatestEventPerObject(
  const std::vector<ObjectEvent>& aEvents);

/// How a follower catches up when it becomes active again.
enum class ResumeMode : uint8_t
{
  Watch, ///< replays what it missed; for objects whose versions only grow
  List,  ///< replayed states would be older than what others have told
  Count
};

template<>
struct EnumNames<ResumeMode>
{
  static constexpr std::string_view kNames[] = { "watch", "list" };
};

/// Keeps up with all objects of one kind: a list, then watches. After a
/// compacted history it lists again.
class StoreWatcher
{
public:
  struct Handlers
  {
    std::function<void(const std::vector<StoreObject>&)> onList_;
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

  /// The first list may be some seconds old: it costs less, and an active
  /// follower watches from there.
  void Start();
  /// Reads the objects again without watching them.
  void Relist();
  /// Without activity nothing is watched; the list of the start stays.
  void SetActive(bool aActive);
  bool IsActive() const { return active_; }
  /// Asks at once again: the pending watch may hang on a dead connection.
  void Refresh();
  /// Revision of the store up to which all changes were told.
  int64_t Revision() const { return synced_ ? revision_ : 0; }
  /// True once a complete list was read.
  bool HasListed() const { return everListed_; }

private:
  void List(ReadMode aMode);
  void OnListed(const StoreResponse& aResponse);
  void Watch();
  void OnWatched(const StoreResponse& aResponse);
  void RetryLater();
  TimeMs BackoffMs();

  EventLog& log_;
  StoreClient& store_;
  std::string kind_;
  TimeMs waitMs_;
  ResumeMode resumeMode_;
  Handlers handlers_;
  Timer retryTimer_;
  uint64_t generation_ = 0; ///< answers of earlier rounds are ignored
  bool active_;
  bool synced_ = false;
  bool everListed_ = false;
  int failures_ = 0;
  int64_t revision_ = 0;
  std::vector<StoreObject> listed_;
  ReadMode mode_ = ReadMode::AllowStale; ///< of the list that is read
  int64_t listRevision_ = 0;
};

}

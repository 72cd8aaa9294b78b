#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/StoreLink.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Keeps up with all objects of one kind: a list, then watches. After a
/// compacted history it lists again.
class StoreFollower
{
public:
  struct Handlers
  {
    std::function<void(const std::vector<StoreObject>&)> onList_;
    std::function<void(const std::vector<ObjectEvent>&)> onEvents_;
  };

  StoreFollower(EventLoop& aLoop,
                EventLog& aLog,
                StoreLink& aStore,
                std::string aKind,
                TimeMs aWaitMs,
                Handlers aHandlers);

  void Start();
  /// Without activity nothing is watched; the list of the start stays.
  void SetActive(bool aActive);
  bool IsActive() const { return active_; }
  /// Asks at once again: the pending watch may hang on a dead connection.
  void Refresh();
  /// True once a complete list was read.
  bool IsSynced() const { return synced_; }

private:
  void List();
  void OnListed(const StoreAnswer& aAnswer);
  void Watch();
  void OnWatched(const StoreAnswer& aAnswer);
  void RetryLater();
  TimeMs BackoffMs();

  EventLog& log_;
  StoreLink& store_;
  std::string kind_;
  TimeMs waitMs_;
  Handlers handlers_;
  Timer retryTimer_;
  uint64_t round_ = 0; ///< answers of earlier rounds are ignored
  bool active_ = true;
  bool synced_ = false;
  int failures_ = 0;
  int64_t revision_ = 0;
  std::vector<StoreObject> listed_;
  int64_t listRevision_ = 0;
};

}

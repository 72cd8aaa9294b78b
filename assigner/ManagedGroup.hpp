#pragma once

#include "control/GroupController.hpp"

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace cactuspitch {

/// The controller of one group, with its mutex and its recent tables. Safe to
/// use from any thread.
class ManagedGroup
{
public:
  explicit ManagedGroup(GroupOptions aOptions);

  /// Calls aWork(controller) while holding the mutex.
  template<typename Work>
  auto WithLock(Work&& aWork)
  {
    const std::lock_guard lock(mutex_);
    return aWork(controller_);
  }

  /// Advances the group. Returns true when its table changed.
  bool Step(TimeMs aNowMs, Actions& aActions);

  struct View
  {
    std::shared_ptr<const GroupTable> table_;
    /// The version that the caller knows; null when it is no longer kept.
    std::shared_ptr<const GroupTable> base_;
    TimeMs leaseMs_ = 0;
    bool isAssigner_ = false;
  };
  /// Returns the current table and, for a router, a view lease for exactly that
  /// table. aRouter is empty when the caller is not a router.
  View GetView(TimeMs aNowMs,
               const std::string& aRouter,
               Term aKnownTerm,
               int64_t aKnownSequence);

  const std::string& Service() const { return service_; }
  int32_t Group() const { return group_; }
  /// Moves of the last hour, oldest first.
  std::deque<MoveRecord> Moves() const;
  void RecordMove(const MoveRecord& aMove);

private:
  const std::string service_;
  const int32_t group_;
  mutable std::mutex mutex_;
  GroupController controller_;
  std::deque<std::shared_ptr<const GroupTable>> tables_;
  std::deque<MoveRecord> moves_;
};

}

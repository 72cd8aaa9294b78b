#pragma once

#include "control/GroupController.hpp"

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace cactuspitch {

/// One group's control logic with the lock that its duties share, and its
/// recent tables.
class ManagedGroup
{
public:
  explicit ManagedGroup(GroupOptions aOptions);

  /// Runs aWork(controller) under the lock.
  template<typename Work>
  auto WithLock(Work&& aWork)
  {
    const std::lock_guard lock(mutex_);
    return aWork(controller_);
  }

  /// Advances the group; true when its table changed.
  bool Step(TimeMs aNowMs, Actions& aActions);

  struct View
  {
    std::shared_ptr<const GroupTable> table_;
    /// The version that the questioner knows, when it is still remembered.
    std::shared_ptr<const GroupTable> base_;
    TimeMs leaseMs_ = 0;
    bool isAssigner_ = false;
  };
  /// The current table and, for a router, a view lease for exactly that table.
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

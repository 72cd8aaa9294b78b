#include "ManagedGroup.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {
/// Number of table versions kept as bases for deltas.
constexpr size_t kTableHistory = 32;
constexpr size_t kMoveHistory = 4096;
constexpr TimeMs kMoveHistoryMs = 3600 * 1000;
}

ManagedGroup::ManagedGroup(GroupOptions aOptions)
  : service_(aOptions.service_)
  , group_(aOptions.group_)
  , controller_(std::move(aOptions))
{
}

bool ManagedGroup::Step(TimeMs aNowMs, Actions& aActions)
{
  const std::lock_guard lock(mutex_);
  controller_.Step(aNowMs, aActions);
  const auto& table = controller_.Table();
  const bool same = !tables_.empty() && tables_.back()->term_ == table.term_ &&
                    tables_.back()->sequence_ == table.sequence_;
  if (same || table.slices_.empty()) {
    return false;
  }
  tables_.push_back(std::make_shared<GroupTable>(table));
  if (tables_.size() > detail::kTableHistory) {
    tables_.pop_front();
  }
  return true;
}

ManagedGroup::View ManagedGroup::GetView(TimeMs aNowMs,
                                         const std::string& aRouter,
                                         Term aKnownTerm,
                                         int64_t aKnownSequence)
{
  const std::lock_guard lock(mutex_);
  View view;
  view.isAssigner_ = controller_.Role() == GroupRole::Assigner;
  if (tables_.empty()) {
    return view;
  }
  view.table_ = tables_.back();
  const auto base = std::ranges::find_if(tables_, [&](const auto& aTable) {
    return aTable->term_ == aKnownTerm && aTable->sequence_ == aKnownSequence;
  });
  if (base != tables_.end()) {
    view.base_ = *base;
  }
  if (!aRouter.empty()) {
    view.leaseMs_ = controller_.GrantViewLease(aNowMs, aRouter);
  }
  return view;
}

std::deque<MoveRecord> ManagedGroup::Moves() const
{
  const std::lock_guard lock(mutex_);
  return moves_;
}

void ManagedGroup::RecordMove(const MoveRecord& aMove)
{
  const std::lock_guard lock(mutex_);
  moves_.push_back(aMove);
  while (moves_.size() > detail::kMoveHistory ||
         aMove.atMs_ - moves_.front().atMs_ > detail::kMoveHistoryMs) {
    moves_.pop_front();
  }
}

}

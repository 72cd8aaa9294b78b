#include "MoveLog.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

std::string OwnerId(const GroupTable& aTable, const SliceRecord& aSlice)
{
  const auto* server = aTable.Server(aSlice.owner_);
  return server ? server->id_ : std::string();
}

size_t SliceIndex(const GroupTable& aTable, KeyHash aHash)
{
  return static_cast<size_t>(&aTable.FindSlice(aHash) - aTable.slices_.data());
}

}

double OwnerMove::HashShare() const
{
  constexpr int kHashBits = 64;
  return std::ldexp(static_cast<double>(end_ - begin_) + 1, -kHashBits);
}

std::optional<int64_t> MoveLog::ObserveSlice(const ObservedGroup& aOld,
                                             const GroupTable& aNew,
                                             size_t aIndex,
                                             int64_t aNowMs)
{
  const auto& slice = aNew.slices_[aIndex];
  const auto end = aNew.SliceEnd(aIndex);
  const auto first = detail::SliceIndex(aOld.table_, slice.begin_);
  const auto last = detail::SliceIndex(aOld.table_, end);
  const auto owner = detail::OwnerId(aNew, slice);
  // A split keeps the owner and epoch, and a merge takes the largest epoch of
  // the merged slices. Hence a larger epoch or another owner indicates a move.
  bool sameOwner = true;
  Epoch epoch = 0;
  for (auto i = first; i <= last; ++i) {
    const auto& old = aOld.table_.slices_[i];
    sameOwner = sameOwner && detail::OwnerId(aOld.table_, old) == owner;
    epoch = std::max(epoch, old.epoch_);
  }
  if (sameOwner && slice.epoch_ <= epoch) {
    return aOld.ownedSinceMs_[first];
  }
  const auto from = detail::OwnerId(aOld.table_, aOld.table_.slices_[first]);
  const auto gapMs = from.empty()
                       ? aNowMs - aOld.ownedSinceMs_[first].value_or(aNowMs)
                       : int64_t{ 0 };
  moves_.push_back({ aNowMs,
                     aNew.service_,
                     aNew.group_,
                     slice.begin_,
                     end,
                     from,
                     owner,
                     slice.epoch_,
                     gapMs });
  return aNowMs;
}

void MoveLog::Observe(const GroupTable& aTable, int64_t aNowMs)
{
  if (aTable.slices_.empty()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  auto [found, added] = groups_.try_emplace({ aTable.service_, aTable.group_ });
  auto& group = found->second;
  if (added) {
    group.table_ = aTable;
    group.ownedSinceMs_.resize(aTable.slices_.size());
    return;
  }
  if (!aTable.IsNewerThan(group.table_)) {
    return;
  }
  std::vector<std::optional<int64_t>> since;
  since.reserve(aTable.slices_.size());
  for (size_t i = 0; i < aTable.slices_.size(); ++i) {
    since.push_back(ObserveSlice(group, aTable, i, aNowMs));
  }
  group = { aTable, std::move(since) };
  while (!moves_.empty() && (moves_.size() > kMaxMoves ||
                             moves_.front().timeMs_ < aNowMs - kRetentionMs)) {
    moves_.pop_front();
  }
}

std::vector<OwnerMove> MoveLog::Moves(const std::string& aService,
                                      int64_t aSinceMs) const
{
  const std::lock_guard lock(mutex_);
  std::vector<OwnerMove> result;
  std::copy_if(moves_.rbegin(),
               moves_.rend(),
               std::back_inserter(result),
               [&](const OwnerMove& aMove) {
                 return aMove.timeMs_ >= aSinceMs &&
                        (aService.empty() || aMove.service_ == aService);
               });
  return result;
}

std::optional<int64_t> MoveLog::OwnedSinceMs(const std::string& aService,
                                             int32_t aGroup,
                                             KeyHash aHash) const
{
  const std::lock_guard lock(mutex_);
  const auto found = groups_.find({ aService, aGroup });
  if (found == groups_.end()) {
    return std::nullopt;
  }
  const auto& group = found->second;
  return group.ownedSinceMs_[detail::SliceIndex(group.table_, aHash)];
}

int64_t MoveLog::LongestGapMs(const std::string& aService,
                              int64_t aSinceMs,
                              int64_t aNowMs) const
{
  int64_t longest = 0;
  for (const auto& move : Moves(aService, aSinceMs)) {
    longest = std::max(longest, move.gapMs_);
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [key, group] : groups_) {
    if (key.first != aService) {
      continue;
    }
    for (size_t i = 0; i < group.ownedSinceMs_.size(); ++i) {
      if (group.table_.slices_[i].owner_ == kNoServer) {
        longest =
          std::max(longest, aNowMs - group.ownedSinceMs_[i].value_or(aNowMs));
      }
    }
  }
  return longest;
}

}

#include "RecordPlanner.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

void RecordPlanner::SetPlatformServers(
  std::vector<BackendServerRecord> aServers)
{
  std::ranges::sort(aServers, {}, &BackendServerRecord::id_);
  platformServers_ = std::move(aServers);
}

GroupTable RecordPlanner::NextTable(TimeMs aNowMs) const
{
  GroupTable table = state_.Table();
  UpdateSlices(table, aNowMs);
  ApplySplits(table);
  ApplyMerges(table);
  UpdateServers(table);
  RemoveUnusedServers(table);
  return table;
}

void RecordPlanner::UpdateServers(GroupTable& aTable) const
{
  for (const auto& server : platformServers_) {
    const auto known =
      std::ranges::find(aTable.servers_, server.id_, &BackendServerRecord::id_);
    if (known != aTable.servers_.end()) {
      known->draining_ = server.draining_;
    } else if (!server.draining_) {
      aTable.servers_.push_back(server);
    }
  }
}

void RecordPlanner::UpdateSlices(GroupTable& aTable, TimeMs aNowMs) const
{
  standbyCount_.assign(aTable.servers_.size(), 0);
  for (const auto& slice : aTable.slices_) {
    if (slice.standby_ != kNoServer) {
      ++standbyCount_[static_cast<size_t>(slice.standby_)];
    }
  }
  const auto& slices = state_.sliceStates_.Slices();
  for (size_t i = 0; i < slices.size(); ++i) {
    UpdateSlice(slices[i], aTable.slices_[i], aNowMs);
  }
}

void RecordPlanner::UpdateSlice(const SliceState& aSlice,
                                SliceRecord& aRecord,
                                TimeMs aNowMs) const
{
  if (!aSlice.resolved_) {
    return;
  }
  auto owner = aRecord.owner_;
  bool replace = false;
  if (aSlice.ambiguous_) {
    aRecord.epoch_ += 2;
    replace = NeedsReplacement(aRecord.standby_, aNowMs);
  } else if (aSlice.promoted_) {
    owner = aRecord.standby_;
    ++aRecord.epoch_;
    replace = true;
  } else {
    const bool isMovePlanned =
      aSlice.target_ != kNoServer && aSlice.target_ != aRecord.standby_ &&
      aSlice.target_ != owner && state_.IsUsable(aSlice.target_, aNowMs);
    replace = isMovePlanned || NeedsReplacement(aRecord.standby_, aNowMs);
  }
  aRecord.owner_ = owner;
  if (!replace) {
    return;
  }
  const auto standby = ChooseStandby(aSlice, owner, aNowMs);
  // A lost standby stays recorded until a better one is found: removing it
  // would cost a write and gain nothing.
  if (standby != kNoServer || aRecord.standby_ == owner) {
    aRecord.standby_ = standby;
  }
}

bool RecordPlanner::NeedsReplacement(int32_t aServer, TimeMs aNowMs) const
{
  return aServer == kNoServer || state_.Lease(aServer).IsSilent(aNowMs) ||
         state_.Lease(aServer).IsDraining() || state_.Server(aServer).draining_;
}

int32_t RecordPlanner::ChooseStandby(const SliceState& aSlice,
                                     int32_t aOwner,
                                     TimeMs aNowMs) const
{
  if (aSlice.target_ != aOwner && state_.IsUsable(aSlice.target_, aNowMs)) {
    return aSlice.target_;
  }
  const auto domain =
    aOwner == kNoServer ? "" : state_.Server(aOwner).failureDomain_;
  int32_t best = kNoServer;
  std::pair<bool, int> bestRank;
  for (int32_t i = 0; i < static_cast<int32_t>(standbyCount_.size()); ++i) {
    if (i == aOwner || !state_.IsUsable(i, aNowMs)) {
      continue;
    }
    const std::pair<bool, int> rank = { state_.Server(i).failureDomain_ ==
                                          domain,
                                        standbyCount_[static_cast<size_t>(i)] };
    if (best == kNoServer || rank < bestRank) {
      best = i;
      bestRank = rank;
    }
  }
  if (best != kNoServer) {
    ++standbyCount_[static_cast<size_t>(best)];
  }
  return best;
}

bool RecordPlanner::HasNoPendingMove(KeyHash aBegin) const
{
  const auto* slice = state_.sliceStates_.Find(aBegin);
  return slice != nullptr && slice->IsHeld() && !slice->promoted_ &&
         slice->target_ == kNoServer;
}

void RecordPlanner::ApplySplits(GroupTable& aTable) const
{
  const auto insert = [&](KeyHash aBegin) {
    const auto next = std::ranges::upper_bound(
      aTable.slices_, aBegin, {}, &SliceRecord::begin_);
    const auto& parent = *std::prev(next);
    if (parent.begin_ != aBegin) {
      auto part = parent;
      part.begin_ = aBegin;
      aTable.slices_.insert(next, part);
    }
  };
  for (const auto hash : splits_) {
    if (!HasNoPendingMove(hash)) {
      continue;
    }
    insert(hash);
    if (hash != UINT64_MAX) {
      insert(hash + 1);
    }
  }
}

void RecordPlanner::ApplyMerges(GroupTable& aTable) const
{
  for (const auto begin : merges_) {
    const auto found =
      std::ranges::find(aTable.slices_, begin, &SliceRecord::begin_);
    if (found == aTable.slices_.end() || found == aTable.slices_.begin()) {
      continue;
    }
    auto& before = *std::prev(found);
    if (before.owner_ != found->owner_ || before.standby_ != found->standby_ ||
        !HasNoPendingMove(before.begin_) || !HasNoPendingMove(begin)) {
      continue;
    }
    before.epoch_ = std::max(before.epoch_, found->epoch_);
    aTable.slices_.erase(found);
  }
}

void RecordPlanner::RemoveUnusedServers(GroupTable& aTable) const
{
  for (auto i = static_cast<int32_t>(aTable.servers_.size()) - 1; i >= 0; --i) {
    const auto& server = aTable.servers_[static_cast<size_t>(i)];
    const bool listed = std::ranges::binary_search(
      platformServers_, server.id_, {}, &BackendServerRecord::id_);
    const bool used =
      std::ranges::any_of(aTable.slices_, [=](const SliceRecord& aSlice) {
        return aSlice.owner_ == i || aSlice.standby_ == i;
      });
    // An empty list is more likely a failed read than a service that lost all
    // servers.
    if (used || platformServers_.empty() || (listed && !server.draining_)) {
      continue;
    }
    aTable.servers_.erase(aTable.servers_.begin() + i);
    for (auto& slice : aTable.slices_) {
      slice.owner_ -= slice.owner_ > i ? 1 : 0;
      slice.standby_ -= slice.standby_ > i ? 1 : 0;
    }
  }
}

GroupTable NewGroupTable(const std::string& aService,
                         int32_t aGroup,
                         std::vector<BackendServerRecord> aServers,
                         size_t aSlices)
{
  GroupTable table;
  table.service_ = aService;
  table.group_ = aGroup;
  table.term_ = 1;
  table.servers_ = std::move(aServers);
  const auto servers = static_cast<int32_t>(table.servers_.size());
  const KeyHash width = UINT64_MAX / aSlices + 1;
  for (size_t i = 0; i < aSlices; ++i) {
    // Neighbouring slices have the same owner, so that its ranges merge into
    // one and commands stay small. The standbys of one server are spread over
    // all others.
    const auto owner =
      static_cast<int32_t>(i * table.servers_.size() / aSlices);
    const auto step =
      servers > 1 ? 1 + static_cast<int32_t>(i) % (servers - 1) : 0;
    table.slices_.push_back(
      { i * width,
        1,
        owner,
        servers > 1 ? (owner + step) % servers : kNoServer });
  }
  return table;
}

}

#include "PlanApplier.hpp"

#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

namespace {

std::vector<SliceRecord>::iterator FindBegin(GroupTable& aTable, KeyHash aBegin)
{
  const auto found =
    std::ranges::lower_bound(aTable.slices_, aBegin, {}, &SliceRecord::begin_);
  return found != aTable.slices_.end() && found->begin_ == aBegin
           ? found
           : aTable.slices_.end();
}

void SplitAt(GroupTable& aTable, KeyHash aBegin)
{
  if (FindBegin(aTable, aBegin) == aTable.slices_.end()) {
    SliceRecord part = aTable.FindSlice(aBegin);
    part.begin_ = aBegin;
    aTable.slices_.insert(std::ranges::upper_bound(
                            aTable.slices_, aBegin, {}, &SliceRecord::begin_),
                          part);
  }
}

}

GroupTable MakeGroupTable(int aServers, int aSlices, int aDomains, int aSlots)
{
  GroupTable table;
  for (int i = 0; i < aServers; ++i) {
    table.servers_.push_back({ .id_ = Concat("server", i),
                               .failureDomain_ = Concat("domain", i % aDomains),
                               .slots_ = aSlots });
  }
  const KeyHash width = UINT64_MAX / static_cast<KeyHash>(aSlices) + 1;
  for (int i = 0; i < aSlices; ++i) {
    table.slices_.push_back({ .begin_ = static_cast<KeyHash>(i) * width,
                              .epoch_ = 1,
                              .owner_ = i % aServers,
                              .standby_ = (i + 1) % aServers });
  }
  return table;
}

bool ApplyPlan(const BalancePlan& aPlan, GroupTable& aTable)
{
  for (const auto& move : aPlan.moves_) {
    const auto slice = FindBegin(aTable, move.sliceBegin_);
    if (slice == aTable.slices_.end() ||
        aTable.Server(move.target_) == nullptr) {
      return false;
    }
    slice->owner_ = move.target_;
    ++slice->epoch_;
  }
  for (const KeyHash begin : aPlan.merges_) {
    const auto slice = FindBegin(aTable, begin);
    if (slice == aTable.slices_.end() || slice == aTable.slices_.begin() ||
        std::prev(slice)->owner_ != slice->owner_) {
      return false;
    }
    const auto before = std::prev(slice);
    before->epoch_ = std::max(before->epoch_, slice->epoch_);
    aTable.slices_.erase(slice);
  }
  for (const KeyHash hash : aPlan.splits_) {
    SplitAt(aTable, hash);
    if (hash != UINT64_MAX) {
      SplitAt(aTable, hash + 1);
    }
  }
  return true;
}

}

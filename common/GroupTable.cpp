#include "GroupTable.hpp"

#include <algorithm>
#include <tuple>

namespace cactuspitch {

const SliceRecord& GroupTable::FindSlice(KeyHash aHash) const
{
  const auto next =
    std::ranges::upper_bound(slices_, aHash, {}, &SliceRecord::begin_);
  return *std::prev(next);
}

KeyHash GroupTable::SliceEnd(size_t aIndex) const
{
  return aIndex + 1 < slices_.size() ? slices_[aIndex + 1].begin_ - 1
                                     : UINT64_MAX;
}

const BackendServerRecord* GroupTable::Server(int32_t aIndex) const
{
  return aIndex >= 0 && static_cast<size_t>(aIndex) < servers_.size()
           ? &servers_[static_cast<size_t>(aIndex)]
           : nullptr;
}

bool GroupTable::IsNewerThan(const GroupTable& aOther) const
{
  return std::tie(term_, sequence_) > std::tie(aOther.term_, aOther.sequence_);
}

}

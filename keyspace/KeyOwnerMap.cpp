#include "keyspace/KeyOwnerMap.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

using Range = KeyOwnerMap::Range;

bool IsSameOwner(const KeyOwner& aLeft, const KeyOwner& aRight)
{
  return aLeft.fence_ == aRight.fence_ && aLeft.id_ == aRight.id_ &&
         aLeft.active_ == aRight.active_;
}

void MergeEqualNeighbours(std::vector<Range>& aRanges)
{
  size_t kept = 0;
  for (size_t index = 1; index < aRanges.size(); ++index) {
    if (IsSameOwner(aRanges[kept].owner_, aRanges[index].owner_)) {
      aRanges[kept].last_ = aRanges[index].last_;
    } else if (++kept != index) {
      aRanges[kept] = std::move(aRanges[index]);
    }
  }
  aRanges.resize(kept + 1);
}

}

bool KeyOwnerMap::Apply(const std::string& aService, const Range& aRange)
{
  auto& ranges = services_[aService];
  if (ranges.empty()) {
    ranges.push_back({ 0, kKeyCount - 1, {} });
  }
  const auto outdated = [&](const Range& aOld) {
    return aOld.first_ <= aRange.last_ && aRange.first_ <= aOld.last_ &&
           (aOld.owner_.fence_ < aRange.owner_.fence_ ||
            (aOld.owner_.fence_ == aRange.owner_.fence_ &&
             aRange.owner_.active_ && !aOld.owner_.active_));
  };
  if (std::ranges::none_of(ranges, outdated)) {
    return false;
  }
  detail::SplitBefore(ranges, aRange.first_);
  detail::SplitBefore(ranges, aRange.last_ + 1);
  for (auto& range : ranges) {
    if (outdated(range)) {
      range.owner_ = aRange.owner_;
    }
  }
  detail::MergeEqualNeighbours(ranges);
  return true;
}

const KeyOwner* KeyOwnerMap::Find(const std::string& aService,
                                  uint32_t aKey) const
{
  const auto& ranges = Ranges(aService);
  const auto after = std::ranges::upper_bound(
    ranges, aKey, {}, [](const Range& aRange) { return aRange.first_; });
  if (after == ranges.begin()) {
    return nullptr;
  }
  const auto& owner = std::prev(after)->owner_;
  return owner.id_.empty() ? nullptr : &owner;
}

const std::vector<KeyOwnerMap::Range>& KeyOwnerMap::Ranges(
  const std::string& aService) const
{
  static const std::vector<Range> kNone;
  const auto found = services_.find(aService);
  return found == services_.end() ? kNone : found->second;
}

KeySegments MergeKnownOwners(
  KeySegments aSegments,
  const std::vector<KeyOwnerMap::Range>& aKnown,
  const std::function<int64_t(const std::string& aServer)>& aStartTimeMs)
{
  if (aSegments.empty() && !aKnown.empty()) {
    aSegments.push_back({ 0, kKeyCount - 1, {}, 0, 0, {} });
  }
  for (const auto& known : aKnown) {
    detail::SplitBefore(aSegments, known.first_);
    detail::SplitBefore(aSegments, known.last_ + 1);
    for (auto& segment : aSegments) {
      if (segment.first_ < known.first_ || segment.last_ > known.last_ ||
          segment.fence_ >= known.owner_.fence_) {
        continue;
      }
      if (!segment.owner_.empty() && segment.owner_ != known.owner_.id_) {
        segment.previous_.push_back(segment.owner_);
      }
      std::erase(segment.previous_, known.owner_.id_);
      segment.owner_ = known.owner_.id_;
      segment.ownerStartTimeMs_ = aStartTimeMs(known.owner_.id_);
      segment.fence_ = known.owner_.fence_;
    }
  }
  for (auto& segment : aSegments) {
    if (std::ranges::find(segment.previous_, kUnknownServer) ==
        segment.previous_.end()) {
      segment.previous_.emplace_back(kUnknownServer);
    }
  }
  return aSegments;
}

}

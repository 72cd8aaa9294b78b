#include "SliceStates.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

KeyHash BeginOf(const SliceState& aState)
{
  return aState.record_.begin_;
}

std::vector<SliceState> StatesOf(const GroupTable& aTable)
{
  std::vector<SliceState> states(aTable.slices_.size());
  for (size_t i = 0; i < states.size(); ++i) {
    states[i].record_ = aTable.slices_[i];
    states[i].end_ = aTable.SliceEnd(i);
  }
  return states;
}

int32_t Translate(int32_t aIndex,
                  const GroupTable& aOld,
                  const GroupTable& aNew)
{
  const auto* server = aOld.Server(aIndex);
  if (server == nullptr) {
    return kNoServer;
  }
  const auto found =
    std::ranges::find(aNew.servers_, server->id_, &BackendServerRecord::id_);
  return found == aNew.servers_.end()
           ? kNoServer
           : static_cast<int32_t>(found - aNew.servers_.begin());
}

/// Copies the state of a slice to its new record.
SliceState CarryOver(const SliceState& aOld, SliceState aNew, int32_t aTarget)
{
  const auto epochGrowth = aNew.record_.epoch_ - aOld.record_.epoch_;
  const bool confirmsPromotion = aOld.promoted_ && epochGrowth > 0;
  aNew.promoted_ = aOld.promoted_ && !confirmsPromotion;
  aNew.resolved_ = aOld.resolved_ || aOld.ambiguous_;
  aNew.ambiguous_ = aOld.ambiguous_ && epochGrowth == 0;
  aNew.releasing_ = aOld.releasing_;
  aNew.revokeSequence_ = aOld.revokeSequence_;
  aNew.grantSequence_ = aOld.grantSequence_;
  aNew.viewLeasesExpiredMs_ = aOld.viewLeasesExpiredMs_;
  aNew.incarnation_ = aOld.incarnation_;
  aNew.reason_ = aOld.reason_;
  aNew.target_ = aTarget;
  return aNew;
}

}

void SliceStates::Recover(const GroupTable& aTable)
{
  slices_ = detail::StatesOf(aTable);
}

void SliceStates::Create(const GroupTable& aTable)
{
  slices_ = detail::StatesOf(aTable);
  for (auto& slice : slices_) {
    slice.resolved_ = true;
  }
}

void SliceStates::Confirm(const GroupTable& aOld, const GroupTable& aNew)
{
  const auto old = std::exchange(slices_, detail::StatesOf(aNew));
  for (auto& slice : slices_) {
    const auto next =
      std::ranges::upper_bound(old, slice.record_.begin_, {}, &detail::BeginOf);
    const auto& previous = *std::prev(next);
    slice = detail::CarryOver(
      previous, slice, detail::Translate(previous.target_, aOld, aNew));
  }
}

void SliceStates::Block(const GroupTable& aOld, const GroupTable& aNext)
{
  for (auto& slice : slices_) {
    const auto& next = aNext.FindSlice(slice.record_.begin_);
    const auto& old = aOld.FindSlice(slice.record_.begin_);
    const auto sameServer = [&](int32_t aLeft, int32_t aRight) {
      const auto* left = aOld.Server(aLeft);
      const auto* right = aNext.Server(aRight);
      return (left == nullptr) == (right == nullptr) &&
             (left == nullptr || left->id_ == right->id_);
    };
    const auto nextBegin = [&](const GroupTable& aTable, KeyHash aBegin) {
      const auto found = std::ranges::upper_bound(
        aTable.slices_, aBegin, {}, &SliceRecord::begin_);
      return found == aTable.slices_.end() ? 0 : found->begin_;
    };
    slice.blocked_ =
      next.begin_ != old.begin_ || next.epoch_ != old.epoch_ ||
      !sameServer(old.owner_, next.owner_) ||
      !sameServer(old.standby_, next.standby_) ||
      nextBegin(aOld, old.begin_) != nextBegin(aNext, old.begin_);
  }
}

void SliceStates::Unblock()
{
  for (auto& slice : slices_) {
    slice.blocked_ = false;
  }
}

SliceState* SliceStates::Find(KeyHash aHash)
{
  const auto next =
    std::ranges::upper_bound(slices_, aHash, {}, &detail::BeginOf);
  return next == slices_.begin() ? nullptr : &*std::prev(next);
}

}

#include "scheduling/SlotQueue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <span>

namespace cactuspitch {

namespace detail {

/// Time constant of the rate of accepted work: a burst is known within one.
constexpr double kAcceptedMs = 500;
/// Part of the room that refused callers get when they return; the rest is left
/// to new requests.
constexpr double kReturnShare = 0.5;
constexpr double kMaxReturnMs = 10000;
constexpr double kMinSlots = 0.01;

}

void SlotQueue::Push(SlotEntry& aEntry)
{
  auto& rank = ranks_[aEntry.rank_];
  rank.Of(aEntry.late_).emplace(aEntry.sequence_, &aEntry);
  rank.workMs_ += aEntry.workMs_;
  ++size_;
}

void SlotQueue::Remove(const SlotEntry& aEntry)
{
  auto& rank = ranks_[aEntry.rank_];
  if (rank.Of(aEntry.late_).erase(aEntry.sequence_) == 0) {
    return;
  }
  rank.workMs_ = rank.Size() == 0 ? 0 : rank.workMs_ - aEntry.workMs_;
  --size_;
}

void SlotQueue::MakeLate(SlotEntry& aEntry)
{
  auto& rank = ranks_[aEntry.rank_];
  if (!aEntry.late_ && rank.inTime_.erase(aEntry.sequence_) != 0) {
    aEntry.late_ = true;
    rank.late_.emplace(aEntry.sequence_, &aEntry);
  }
}

bool SlotQueue::HasBehind(const SlotEntry& aEntry) const
{
  const auto& rank = ranks_[aEntry.rank_];
  const auto& entries = rank.Of(aEntry.late_);
  // A late request is served after those in time, whenever these arrived.
  const bool sameRank =
    (!entries.empty() && entries.rbegin()->first > aEntry.sequence_) ||
    (aEntry.late_ && !rank.inTime_.empty());
  return sameRank || Ahead(kRanks - 1) > Ahead(aEntry.rank_);
}

size_t SlotQueue::Ahead(size_t aRank) const
{
  return std::accumulate(
    ranks_.begin(),
    ranks_.begin() + static_cast<ptrdiff_t>(aRank) + 1,
    size_t{ 0 },
    [](size_t aSum, const auto& aState) { return aSum + aState.Size(); });
}

size_t SlotQueue::LowestRank() const
{
  size_t rank = kRanks - 1;
  while (rank > 0 && ranks_[rank].Size() == 0) {
    --rank;
  }
  return rank;
}

std::vector<SlotEntry*> SlotQueue::Entries() const
{
  std::vector<SlotEntry*> entries;
  for (const auto& rank : ranks_) {
    for (const auto* part : { &rank.inTime_, &rank.late_ }) {
      std::ranges::transform(
        *part, std::back_inserter(entries), &BySequence::value_type::second);
    }
  }
  return entries;
}

double SlotQueue::RankState::AcceptedMs(TimeMs aNowMs) const
{
  const auto ageMs =
    static_cast<double>(std::max<TimeMs>(0, aNowMs - acceptedAtMs_));
  return acceptedMs_ * std::exp(-ageMs / detail::kAcceptedMs);
}

SlotEntry* SlotQueue::First() const
{
  const auto rank = std::ranges::find_if(
    ranks_, [](const RankState& aRank) { return aRank.Size() > 0; });
  if (rank == ranks_.end()) {
    return nullptr;
  }
  return rank->Of(rank->inTime_.empty()).begin()->second;
}

void SlotQueue::OnAccepted(size_t aRank, double aWorkMs, TimeMs aNowMs)
{
  auto& rank = ranks_[aRank];
  rank.acceptedMs_ = rank.AcceptedMs(aNowMs) + aWorkMs;
  rank.acceptedAtMs_ = aNowMs;
}

double SlotQueue::AcceptedRate(size_t aEndRank, TimeMs aNowMs) const
{
  return std::accumulate(ranks_.begin(),
                         ranks_.begin() + static_cast<ptrdiff_t>(aEndRank),
                         0.0,
                         [&](double aSum, const auto& aState) {
                           return aSum + aState.AcceptedMs(aNowMs);
                         }) /
         detail::kAcceptedMs;
}

double SlotQueue::WaitMs(size_t aRank,
                         double aWorkMs,
                         double aAvailable,
                         double aLowRank) const
{
  const std::span ranks(ranks_.data(), aRank + 1);
  const auto workMs = [](auto aRanks) {
    return std::accumulate(
      aRanks.begin(), aRanks.end(), 0.0, [](double aSum, const auto& aState) {
        return aSum + aState.workMs_;
      });
  };
  const double waitMs =
    (workMs(ranks) + aWorkMs) / std::max(aAvailable, detail::kMinSlots);
  const auto top = std::ranges::find_if(
    ranks, [](const auto& aState) { return aState.Size() > 0; });
  const auto low = top == ranks.end() || std::next(top) == ranks.end()
                     ? ranks.last(1)
                     : std::span(std::next(top), ranks.end());
  return std::min(
    waitMs, (workMs(low) + aWorkMs) / std::max(aLowRank, detail::kMinSlots));
}

double SlotQueue::ReserveReturn(size_t aRank,
                                double aRoomMs,
                                double aWorkMs,
                                double aAvailable,
                                TimeMs aNowMs)
{
  auto& returnMs = ranks_[aRank].returnMs_;
  const auto nowMs = static_cast<double>(aNowMs);
  returnMs = std::min(
    nowMs + detail::kMaxReturnMs,
    std::max(returnMs, nowMs + aRoomMs) +
      aWorkMs / std::max(aAvailable * detail::kReturnShare, detail::kMinSlots));
  return returnMs - nowMs;
}

}

#pragma once

#include "common/Types.hpp"
#include "scheduling/SlotMessages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cactuspitch {

enum class SlotPhase : uint8_t
{
  New,
  Waiting,
  InUse,
  Decided, ///< refused or sent elsewhere; kept to answer repeats
  Ended
};

/// A slot request that the scheduler knows.
struct SlotEntry
{
  SlotRequest request_;
  SlotAnswer answer_; ///< the last one
  SlotPhase phase_ = SlotPhase::New;
  uint64_t sequence_ = 0; ///< in the order of arrival
  size_t rank_ = 0;
  double workMs_ = 0;
  TimeMs arrivedMs_ = 0;
  TimeMs objectiveAtMs_ = 0;
  TimeMs deadlineMs_ = 0;
  bool late_ = false;    ///< can't meet its objective any more
  TimeMs dueMs_ = 0;     ///< next time at which it needs attention
  TimeMs startedMs_ = 0; ///< the slot was assigned
  double slowness_ = 1;  ///< of the server at that time
};

/// Requests that wait for the same slots, by rank, and within a rank first
/// those that can still meet their objective, in the order of arrival. Does no
/// I/O.
class SlotQueue
{
public:
  static constexpr size_t kRanks = 8;

  void Push(SlotEntry& aEntry);
  void Remove(const SlotEntry& aEntry);
  void MakeLate(SlotEntry& aEntry);
  size_t Size() const { return size_; }
  /// Whether any request of the entry's rank or a lower one waits behind it.
  bool HasBehind(const SlotEntry& aEntry) const;
  /// Number of waiting requests of aRank and more urgent ones.
  size_t Ahead(size_t aRank) const;
  size_t MoreUrgent(size_t aRank) const
  {
    return aRank == 0 ? 0 : Ahead(aRank - 1);
  }
  /// The least urgent rank of those that wait; the most urgent one if none
  /// does.
  size_t LowestRank() const;
  std::vector<SlotEntry*> Entries() const;
  /// First request of the rank that aMayRun accepts. Looks at few requests, so
  /// that requests which avoid a server don't make each event expensive.
  template<class Predicate>
  SlotEntry* First(size_t aRank, bool aLate, Predicate aMayRun) const
  {
    size_t seen = 0;
    for (const auto& [sequence, entry] : Rank(aRank).Of(aLate)) {
      if (aMayRun(*entry)) {
        return entry;
      }
      if (++seen == kMaxSeen) {
        break;
      }
    }
    return nullptr;
  }

  /// The request that is next; null if none waits.
  SlotEntry* First() const;

  /// Records work that was accepted.
  void OnAccepted(size_t aRank, double aWorkMs, TimeMs aNowMs);
  /// Rate of accepted work of ranks below aEndRank, in slots.
  double AcceptedRate(size_t aEndRank, TimeMs aNowMs) const;
  /// Expected wait of a request behind those of its rank. aAvailable: slots
  /// that more urgent requests leave; aLowRank: slots that are kept for ranks
  /// below the most urgent one that waits.
  double WaitMs(size_t aRank,
                double aWorkMs,
                double aAvailable,
                double aLowRank) const;
  /// Time at which a refused request finds room, after aRoomMs. Each call
  /// reserves a later one.
  double ReserveReturn(size_t aRank,
                       double aRoomMs,
                       double aWorkMs,
                       double aAvailable,
                       TimeMs aNowMs);

private:
  static constexpr size_t kMaxSeen = 8;
  using BySequence = std::map<uint64_t, SlotEntry*>;

  struct RankState
  {
    BySequence inTime_;
    BySequence late_;
    double workMs_ = 0;
    double acceptedMs_ = 0; ///< decaying sum of accepted work
    TimeMs acceptedAtMs_ = 0;
    double returnMs_ = 0; ///< last reserved time of return

    const BySequence& Of(bool aLate) const { return aLate ? late_ : inTime_; }
    BySequence& Of(bool aLate) { return aLate ? late_ : inTime_; }
    size_t Size() const { return inTime_.size() + late_.size(); }
    double AcceptedMs(TimeMs aNowMs) const;
  };

  const RankState& Rank(size_t aRank) const { return ranks_[aRank]; }

  std::array<RankState, kRanks> ranks_;
  size_t size_ = 0;
};

}

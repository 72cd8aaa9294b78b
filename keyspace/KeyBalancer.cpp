#include "keyspace/KeyBalancer.hpp"

#include <algorithm>
#include <map>

namespace cactuspitch {

namespace detail {

struct ServerUse
{
  double rate_ = 0;
  double capacity_ = 1;
  bool frozen_ = false; ///< takes part in a move already, or is leaving

  double Utilization() const { return rate_ / capacity_; }
};

struct Piece
{
  uint32_t first_;
  uint32_t last_;
  std::string owner_;
  double rate_;
};

}

KeyBalancer::KeyBalancer(BalanceOptions aOptions)
  : options_(aOptions)
{
}

void KeyBalancer::SetWorkSeconds(double aSeconds)
{
  options_.workSeconds_ = aSeconds;
}

std::vector<KeyOwnership::Move> KeyBalancer::Plan(
  const KeyOwnership& aOwnership,
  const KeyLoad& aLoad,
  TimeMs aNowMs) const
{
  std::map<std::string, detail::ServerUse> use;
  double capacity = 0;
  for (const auto& [id, candidate] : aOwnership.Candidates()) {
    if (candidate.usable_ && !aOwnership.IsLost(id, aNowMs)) {
      // Capacity in requests per second.
      use[id].capacity_ =
        std::max(0.1, candidate.capacity_) / options_.workSeconds_;
      capacity += use[id].capacity_;
    }
  }
  std::vector<detail::Piece> pieces;
  double total = 0;
  const auto& segments = aOwnership.Segments();
  for (size_t index = 0; index < segments.size(); ++index) {
    const auto& segment = segments[index];
    const double rate = aLoad.Rate(segment.first_, segment.last_, aNowMs);
    total += rate;
    const auto found = use.find(segment.owner_);
    if (found == use.end()) {
      continue;
    }
    found->second.rate_ += rate;
    if (aOwnership.IsStable(index)) {
      pieces.push_back({ segment.first_, segment.last_, segment.owner_, rate });
    }
  }
  std::vector<KeyOwnership::Move> moves;
  if (use.size() < 2 || total <= 0) {
    return moves;
  }
  const double mean = total / capacity;
  const auto byUse = [](const auto& aEntry) {
    return aEntry.second.frozen_ ? -1 : aEntry.second.Utilization();
  };
  const auto byRoom = [](const auto& aEntry) {
    return aEntry.second.Utilization();
  };
  while (static_cast<int>(moves.size()) < options_.maxMoves_) {
    const auto busiest = std::ranges::max_element(use, {}, byUse);
    const auto idlest = std::ranges::min_element(use, {}, byRoom);
    auto& from = busiest->second;
    auto& to = idlest->second;
    if (busiest == idlest || from.frozen_ ||
        from.Utilization() < mean * options_.startRatio_ ||
        from.Utilization() < options_.idleUtilization_) {
      break;
    }
    const double wanted = std::min((from.Utilization() - mean) * from.capacity_,
                                   (mean - to.Utilization()) * to.capacity_);
    if (wanted < mean * to.capacity_ * options_.smallestPart_) {
      from.frozen_ = true;
      continue;
    }
    // The piece whose load is nearest above the wanted part is cut; a whole
    // piece goes where none is larger.
    detail::Piece* best = nullptr;
    for (auto& piece : pieces) {
      if (piece.owner_ != busiest->first || piece.rate_ <= 0) {
        continue;
      }
      const auto distance = [&](const detail::Piece& aPiece) {
        return aPiece.rate_ >= wanted ? aPiece.rate_ - wanted
                                      : 10 * (wanted - aPiece.rate_);
      };
      if (best == nullptr || distance(piece) < distance(*best)) {
        best = &piece;
      }
    }
    if (best == nullptr) {
      from.frozen_ = true;
      continue;
    }
    uint32_t end = best->last_;
    if (best->rate_ > wanted * 1.1) {
      end = aLoad.EndForRate(best->first_, best->last_, wanted, aNowMs);
    }
    const double moved = aLoad.Rate(best->first_, end, aNowMs);
    // A single key that is too hot stays where it is, unless it is the only
    // way to relieve the other keys of its server.
    if (moved > wanted * 1.5 || (end == best->last_ && moved < wanted * 0.05)) {
      best->rate_ = 0;
      continue;
    }
    moves.push_back({ best->first_, end, idlest->first });
    from.rate_ -= moved;
    to.rate_ += moved;
    if (end == best->last_) {
      best->owner_ = idlest->first;
      best->rate_ = 0;
    } else {
      best->first_ = end + 1;
      best->rate_ -= moved;
    }
  }
  return moves;
}

}

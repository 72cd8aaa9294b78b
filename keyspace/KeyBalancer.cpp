#include "keyspace/KeyBalancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuspitch {

KeyBalancer::KeyBalancer(KeyBalanceOptions aOptions)
  : options_(aOptions)
{
}

bool KeyBalancer::IsOverloaded(const ServerUse& aUse,
                               double aMean,
                               const KeyRates& aRates) const
{
  const double use = aUse.Utilization();
  const double samples = std::max(1.0, aRates.Samples(aUse.rate_));
  const double noise = options_.significance_ * use / std::sqrt(samples);
  return !aUse.done_ && use > options_.idleUtilization_ &&
         use - noise > aMean * options_.imbalanceThreshold_;
}

bool KeyBalancer::Cut(std::vector<Piece>& aPieces,
                      const std::string& aFrom,
                      double aWanted,
                      const KeyRates& aRates,
                      Piece& aResult)
{
  // The piece whose load is nearest above the wanted part is cut; a smaller one
  // goes as a whole where none is larger.
  constexpr double kSmallerPenalty = 10;
  constexpr double kTolerance = 1.1;
  Piece* best = nullptr;
  const auto distance = [&](const Piece& aPiece) {
    return aPiece.rate_ >= aWanted ? aPiece.rate_ - aWanted
                                   : kSmallerPenalty * (aWanted - aPiece.rate_);
  };
  for (auto& piece : aPieces) {
    if (piece.owner_ == aFrom && piece.rate_ > 0 &&
        (best == nullptr || distance(piece) < distance(*best))) {
      best = &piece;
    }
  }
  if (best == nullptr) {
    return false;
  }
  aResult = *best;
  if (best->rate_ <= aWanted * kTolerance) {
    best->rate_ = 0;
    return true;
  }
  // From the left edge, or from the right one where the first key is too hot.
  const auto last = aRates.LastWithin(best->first_, best->last_, aWanted);
  if (last >= best->first_ &&
      aRates.Rate(best->first_, static_cast<uint32_t>(last)) > 0) {
    aResult.last_ = static_cast<uint32_t>(last);
    best->first_ = static_cast<uint32_t>(last) + 1;
  } else {
    const auto first = aRates.FirstWithin(best->first_, best->last_, aWanted);
    if (first > best->last_ ||
        aRates.Rate(static_cast<uint32_t>(first), best->last_) <= 0) {
      // Its edges are single keys that are hotter than what should move.
      best->rate_ = 0;
      return Cut(aPieces, aFrom, aWanted, aRates, aResult);
    }
    aResult.first_ = static_cast<uint32_t>(first);
    best->last_ = static_cast<uint32_t>(first) - 1;
  }
  aResult.rate_ = aRates.Rate(aResult.first_, aResult.last_);
  best->rate_ = aRates.Rate(best->first_, best->last_);
  return true;
}

void KeyBalancer::MoveDominantKey(std::vector<Piece>& aPieces,
                                  Uses& aUses,
                                  const KeyRates& aRates,
                                  std::vector<KeyOwnership::Move>& aMoves) const
{
  const auto busiest = std::ranges::max_element(
    aUses, {}, [](const auto& aEntry) { return aEntry.second.Utilization(); });
  auto& from = busiest->second;
  if (from.Utilization() < options_.dominantShare_) {
    return;
  }
  Piece* source = nullptr;
  uint32_t hottest = 0;
  double rate = 0;
  for (auto& piece : aPieces) {
    if (piece.owner_ != busiest->first || piece.rate_ <= rate) {
      continue;
    }
    for (uint32_t key = piece.first_; key <= piece.last_; ++key) {
      if (aRates.Rate(key, key) > rate) {
        rate = aRates.Rate(key, key);
        hottest = key;
        source = &piece;
      }
    }
  }
  if (source == nullptr || rate < from.capacity_ * options_.dominantShare_) {
    return;
  }
  // A server that is as busy may have a key like this of its own.
  const auto room = [&](const auto& aEntry) {
    const auto& use = aEntry.second;
    const bool faster =
      use.capacity_ >= from.capacity_ * options_.fasterRatio_ &&
      use.Utilization() < from.Utilization() / options_.fasterRatio_;
    return faster ? use.Left() : std::numeric_limits<double>::lowest();
  };
  const auto roomiest = std::ranges::max_element(aUses, {}, room);
  if (room(*roomiest) == std::numeric_limits<double>::lowest()) {
    return;
  }
  auto& to = roomiest->second;
  aMoves.push_back({ hottest, hottest, roomiest->first });
  from.rate_ -= rate;
  to.rate_ += rate;
  // The rest of the piece stays out of this plan.
  source->rate_ = 0;
}

std::vector<KeyOwnership::Move> KeyBalancer::Plan(
  const KeyOwnership& aOwnership,
  const KeyRates& aRates,
  double aServiceSeconds,
  TimeMs aNowMs) const
{
  constexpr double kMinCapacity = 0.1;
  Uses uses;
  double capacity = 0;
  for (const auto& [id, candidate] : aOwnership.Candidates()) {
    if (candidate.usable_ && !aOwnership.IsLost(id, aNowMs)) {
      auto& use = uses[id];
      use.capacity_ =
        std::max(kMinCapacity, candidate.capacity_) / aServiceSeconds;
      capacity += use.capacity_;
    }
  }
  std::vector<Piece> pieces;
  const auto& segments = aOwnership.Segments();
  for (size_t index = 0; index < segments.size(); ++index) {
    const auto& segment = segments[index];
    const double rate = aRates.Rate(segment.first_, segment.last_);
    const auto found = uses.find(segment.owner_);
    if (found == uses.end()) {
      continue;
    }
    found->second.rate_ += rate;
    if (aOwnership.IsStable(index)) {
      pieces.push_back({ segment.first_, segment.last_, segment.owner_, rate });
    }
  }
  std::vector<KeyOwnership::Move> moves;
  if (uses.size() < 2 || aRates.Total() <= 0) {
    return moves;
  }
  MoveDominantKey(pieces, uses, aRates, moves);
  const double mean = aRates.Total() / capacity;
  const auto limit = static_cast<size_t>(
    std::ceil(options_.movesPerServer_ * static_cast<double>(uses.size())));
  while (moves.size() < limit) {
    const auto busiest =
      std::ranges::max_element(uses, {}, [](const auto& aEntry) {
        return aEntry.second.done_ ? -1 : aEntry.second.Utilization();
      });
    const auto idlest = std::ranges::min_element(
      uses, {}, [](const auto& aEntry) { return aEntry.second.Utilization(); });
    auto& from = busiest->second;
    auto& to = idlest->second;
    if (busiest == idlest || !IsOverloaded(from, mean, aRates)) {
      break;
    }
    const double wanted = std::min((from.Utilization() - mean) * from.capacity_,
                                   (mean - to.Utilization()) * to.capacity_);
    Piece piece{};
    if (wanted < mean * to.capacity_ * options_.minMoveShare_ ||
        !Cut(pieces, busiest->first, wanted, aRates, piece)) {
      from.done_ = true;
      continue;
    }
    moves.push_back({ piece.first_, piece.last_, idlest->first });
    from.rate_ -= piece.rate_;
    to.rate_ += piece.rate_;
  }
  return moves;
}

}

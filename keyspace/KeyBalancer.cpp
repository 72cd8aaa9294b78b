#include "keyspace/KeyBalancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuspitch {

KeyBalancer::KeyBalancer(KeyBalanceOptions aOptions)
  : options_(aOptions)
{
}

bool KeyBalancer::IsOverloaded(const ServerUtilization& aServer,
                               double aMean,
                               const KeyRates& aRates) const
{
  const double utilization = aServer.Utilization();
  const double samples = std::max(1.0, aRates.Samples(aServer.rate_));
  const double noise =
    options_.significance_ * utilization / std::sqrt(samples);
  return !aServer.exhausted_ && utilization > options_.idleUtilization_ &&
         utilization - noise > aMean * options_.imbalanceThreshold_;
}

bool KeyBalancer::SplitOff(std::vector<RateRange>& aRanges,
                           const std::string& aFrom,
                           double aWanted,
                           const KeyRates& aRates,
                           RateRange& aResult)
{
  // Prefers the range whose rate exceeds aWanted by the least. A smaller range,
  // which is taken whole, is chosen only if no larger one is close.
  constexpr double kTooSmallPenalty = 10;
  constexpr double kTolerance = 1.1;
  RateRange* best = nullptr;
  const auto distance = [&](const RateRange& aRange) {
    return aRange.rate_ >= aWanted
             ? aRange.rate_ - aWanted
             : kTooSmallPenalty * (aWanted - aRange.rate_);
  };
  for (auto& range : aRanges) {
    if (range.owner_ == aFrom && range.rate_ > 0 &&
        (best == nullptr || distance(range) < distance(*best))) {
      best = &range;
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
  // Split off at the left edge, or at the right edge if the first key alone
  // exceeds aWanted.
  const auto last = aRates.LastWithin(best->first_, best->last_, aWanted);
  if (last >= best->first_ &&
      aRates.Rate(best->first_, static_cast<uint32_t>(last)) > 0) {
    aResult.last_ = static_cast<uint32_t>(last);
    best->first_ = static_cast<uint32_t>(last) + 1;
  } else {
    const auto first = aRates.FirstWithin(best->first_, best->last_, aWanted);
    if (first > best->last_ ||
        aRates.Rate(static_cast<uint32_t>(first), best->last_) <= 0) {
      // The keys at both edges are hotter than aWanted; try another range.
      best->rate_ = 0;
      return SplitOff(aRanges, aFrom, aWanted, aRates, aResult);
    }
    aResult.first_ = static_cast<uint32_t>(first);
    best->last_ = static_cast<uint32_t>(first) - 1;
  }
  aResult.rate_ = aRates.Rate(aResult.first_, aResult.last_);
  best->rate_ = aRates.Rate(best->first_, best->last_);
  return true;
}

void KeyBalancer::MoveDominantKey(std::vector<RateRange>& aRanges,
                                  Utilizations& aServers,
                                  const KeyRates& aRates,
                                  std::vector<KeyOwnership::Move>& aMoves) const
{
  const auto busiest =
    std::ranges::max_element(aServers, {}, [](const auto& aEntry) {
      return aEntry.second.Utilization();
    });
  auto& from = busiest->second;
  if (from.Utilization() < options_.dominantShare_) {
    return;
  }
  RateRange* source = nullptr;
  uint32_t hottest = 0;
  double rate = 0;
  for (auto& range : aRanges) {
    if (range.owner_ != busiest->first || range.rate_ <= rate) {
      continue;
    }
    for (uint32_t key = range.first_; key <= range.last_; ++key) {
      if (aRates.Rate(key, key) > rate) {
        rate = aRates.Rate(key, key);
        hottest = key;
        source = &range;
      }
    }
  }
  if (source == nullptr || rate < from.capacity_ * options_.dominantShare_) {
    return;
  }
  // A server that is equally busy may have such a key itself.
  const auto headroom = [&](const auto& aEntry) {
    const auto& server = aEntry.second;
    const bool faster =
      server.capacity_ >= from.capacity_ * options_.fasterRatio_ &&
      server.Utilization() < from.Utilization() / options_.fasterRatio_;
    return faster ? server.Headroom() : std::numeric_limits<double>::lowest();
  };
  const auto mostHeadroom = std::ranges::max_element(aServers, {}, headroom);
  if (headroom(*mostHeadroom) == std::numeric_limits<double>::lowest()) {
    return;
  }
  auto& to = mostHeadroom->second;
  aMoves.push_back({ hottest, hottest, mostHeadroom->first });
  from.rate_ -= rate;
  to.rate_ += rate;
  // The rest of this range is left to later plans.
  source->rate_ = 0;
}

std::vector<KeyOwnership::Move> KeyBalancer::Plan(
  const KeyOwnership& aOwnership,
  const KeyRates& aRates,
  double aServiceSeconds,
  TimeMs aNowMs) const
{
  constexpr double kMinCapacity = 0.1;
  Utilizations servers;
  double capacity = 0;
  for (const auto& [id, candidate] : aOwnership.Candidates()) {
    if (candidate.usable_ && !aOwnership.IsLost(id, aNowMs)) {
      auto& server = servers[id];
      server.capacity_ =
        std::max(kMinCapacity, candidate.capacity_) / aServiceSeconds;
      capacity += server.capacity_;
    }
  }
  std::vector<RateRange> ranges;
  const auto& segments = aOwnership.Segments();
  for (size_t index = 0; index < segments.size(); ++index) {
    const auto& segment = segments[index];
    const double rate = aRates.Rate(segment.first_, segment.last_);
    const auto found = servers.find(segment.owner_);
    if (found == servers.end()) {
      continue;
    }
    found->second.rate_ += rate;
    if (aOwnership.IsStable(index)) {
      ranges.push_back({ segment.first_, segment.last_, segment.owner_, rate });
    }
  }
  std::vector<KeyOwnership::Move> moves;
  if (servers.size() < 2 || aRates.Total() <= 0) {
    return moves;
  }
  MoveDominantKey(ranges, servers, aRates, moves);
  const double mean = aRates.Total() / capacity;
  const auto limit = static_cast<size_t>(
    std::ceil(options_.movesPerServer_ * static_cast<double>(servers.size())));
  while (moves.size() < limit) {
    const auto busiest =
      std::ranges::max_element(servers, {}, [](const auto& aEntry) {
        return aEntry.second.exhausted_ ? -1 : aEntry.second.Utilization();
      });
    const auto leastBusy =
      std::ranges::min_element(servers, {}, [](const auto& aEntry) {
        return aEntry.second.Utilization();
      });
    auto& from = busiest->second;
    auto& to = leastBusy->second;
    if (busiest == leastBusy || !IsOverloaded(from, mean, aRates)) {
      break;
    }
    const double wanted = std::min((from.Utilization() - mean) * from.capacity_,
                                   (mean - to.Utilization()) * to.capacity_);
    RateRange range{};
    if (wanted < mean * to.capacity_ * options_.minMoveShare_ ||
        !SplitOff(ranges, busiest->first, wanted, aRates, range)) {
      from.exhausted_ = true;
      continue;
    }
    moves.push_back({ range.first_, range.last_, leastBusy->first });
    from.rate_ -= range.rate_;
    to.rate_ += range.rate_;
  }
  return moves;
}

}

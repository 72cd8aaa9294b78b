#include "policy/LoadPerKeyPolicy.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace {

const StrategyRegistration<BalancingRegistry> kRegistration(
  "load-per-key",
  [](const BalanceOptions& aOptions) {
    return std::make_unique<LoadPerKeyPolicy>(aOptions);
  });

/// Slices don't move again for this long after a move, so that loads measured
/// before the move don't cause another one.
constexpr TimeMs kCooldownMs = 15000;
constexpr TimeMs kColdMs = 60000;
/// A key that was split out is cold below this fraction of the load at which
/// keys are split out.
constexpr double kColdFraction = 0.5;
constexpr size_t kMaxSplitsPerPlan = 8;
constexpr size_t kMaxMovesPerPlan = 16;
constexpr size_t kMaxSlices = 512;
/// The measured peak load of evenly loaded servers varies by several percent,
/// so an imbalance must last for several plans before it causes moves.
constexpr int kSteadyAfterPlans = 10;
/// Imbalance that affects request latency and would take minutes to correct
/// within the steady budget.
constexpr double kUrgentAbove = 1.15;
constexpr int kUrgentAfterPlans = 15;
constexpr double kVeryUrgentAbove = 1.25;
constexpr int kVeryUrgentAfterPlans = 3;
constexpr double kUrgentShare = 0.30;
/// Shorter cooldown after a split: the rate of a key that has just become hot
/// is still underestimated.
constexpr TimeMs kSplitCooldownMs = 5000;
constexpr double kPercent = 100;
constexpr const char kFillReason[] = "fills a joining server";

bool Contains(const std::vector<PlannedMove>& aMoves, KeyHash aBegin)
{
  return std::ranges::find(aMoves, aBegin, &PlannedMove::sliceBegin_) !=
         aMoves.end();
}

}

namespace detail {

bool LinkLoadPerKeyPolicy()
{
  return true;
}

}

LoadPerKeyPolicy::LoadPerKeyPolicy(const BalanceOptions& aOptions)
  : options_(aOptions)
{
}

BalancePlan LoadPerKeyPolicy::Plan(const BalanceInput& aInput)
{
  BalancePlan plan;
  if (aInput.table_ == nullptr || aInput.table_->slices_.empty() ||
      aInput.sliceLoad_.size() != aInput.table_->slices_.size() ||
      aInput.serverUsable_.size() != aInput.table_->servers_.size()) {
    return plan;
  }
  std::erase_if(movedMs_, [&](const auto& aMove) {
    return aMove.second + kCooldownMs <= aInput.nowMs_;
  });
  const auto warmupShares = WarmupShares(aInput);
  ServerLoads loads(aInput, warmupShares);
  Evacuate(loads, plan);
  if (loads.IsIdle()) {
    BalanceIdleGroup(aInput.nowMs_, loads, plan);
  } else {
    FillJoining(aInput, loads, plan);
    SplitHotKeys(aInput, loads, plan);
    Rebalance(aInput.nowMs_, loads, plan);
    MergeColdKeys(aInput.nowMs_, loads, plan);
  }
  for (const auto& move : plan.moves_) {
    movedMs_[move.sliceBegin_] = aInput.nowMs_;
  }
  return plan;
}

std::vector<double> LoadPerKeyPolicy::WarmupShares(const BalanceInput& aInput)
{
  constexpr TimeMs kSteps = 5;
  std::vector<double> warmupShares;
  std::map<std::string, TimeMs> joinedMs;
  for (const auto& server : aInput.table_->servers_) {
    const auto known = joinedMs_.find(server.id_);
    // Servers known at the first plan joined before this assigner started.
    const TimeMs joined = known != joinedMs_.end() ? known->second
                          : isFirstPlan_
                            ? aInput.nowMs_ - options_.warmupMs_ - kCooldownMs
                            : aInput.nowMs_;
    joinedMs[server.id_] = joined;
    const TimeMs step =
      options_.warmupMs_ <= 0
        ? kSteps
        : 1 + (aInput.nowMs_ - joined) * kSteps / options_.warmupMs_;
    const double byTime = static_cast<double>(std::min(step, kSteps)) / kSteps;
    warmupShares.push_back(std::min(byTime, server.warmupPercent_ / kPercent));
  }
  joinedMs_ = std::move(joinedMs);
  isFirstPlan_ = false;
  return warmupShares;
}

void LoadPerKeyPolicy::Evacuate(ServerLoads& aLoads, BalancePlan& aPlan)
{
  std::vector<size_t> slices;
  for (size_t i = 0; i < aLoads.Table().slices_.size(); ++i) {
    const auto* owner = aLoads.Table().Server(aLoads.Owner(i));
    if (owner != nullptr && owner->draining_) {
      slices.push_back(i);
    }
  }
  // Largest first fills the servers most evenly.
  std::ranges::sort(slices, std::greater<>(), [&](size_t aSlice) {
    return aLoads.SliceLoad(aSlice);
  });
  for (const size_t slice : slices) {
    if (const auto target = aLoads.LeastLoaded(aLoads.Owner(slice))) {
      AddMove(slice, *target, "owner is draining", aLoads, aPlan);
    }
  }
}

void LoadPerKeyPolicy::BalanceIdleGroup(TimeMs aNowMs,
                                        ServerLoads& aLoads,
                                        BalancePlan& aPlan)
{
  // The caches of an idle group, e.g. of a service that has just been started,
  // are cold anyway. Its servers share the slices at once, without warm-up.
  constexpr size_t kMaxIdleMovesPerPlan = 64;
  for (auto& [server, joined] : joinedMs_) {
    joined = aNowMs - options_.warmupMs_ - kCooldownMs;
  }
  const auto& slices = aLoads.Table().slices_;
  for (size_t i = 0;
       i < slices.size() && aPlan.moves_.size() < kMaxIdleMovesPerPlan;
       ++i) {
    const int32_t owner = aLoads.Owner(i);
    const auto target = aLoads.FewestSlices();
    if (owner == kNoServer || !target || !aLoads.IsUsable(owner) ||
        IsInCooldown(slices[i].begin_, aNowMs) ||
        aLoads.SliceCount(owner) <= aLoads.SliceCount(*target) + 1) {
      continue;
    }
    AddMove(i, *target, "spreads an idle group", aLoads, aPlan);
  }
}

void LoadPerKeyPolicy::FillJoining(const BalanceInput& aInput,
                                   ServerLoads& aLoads,
                                   BalancePlan& aPlan)
{
  const auto& servers = aInput.table_->servers_;
  for (int32_t i = 0; static_cast<size_t>(i) < servers.size(); ++i) {
    const TimeMs joined = joinedMs_[servers[static_cast<size_t>(i)].id_];
    // Includes some time after the last warm-up step, in which the server
    // receives the last part of its share.
    const bool isJoining =
      aInput.nowMs_ - joined < options_.warmupMs_ + kCooldownMs;
    if (!isJoining || !aLoads.IsUsable(i)) {
      continue;
    }
    while (aPlan.moves_.size() < kMaxMovesPerPlan) {
      const auto source = aLoads.MostLoaded();
      const double room = aLoads.FairLoad(i) - aLoads.Load(i);
      if (!source || *source == i || room <= 0) {
        break;
      }
      const auto slice = BestSlice(aInput.nowMs_, aLoads, *source, room);
      if (!slice || aLoads.SliceLoad(*slice) <= 0) {
        break;
      }
      AddMove(*slice, i, kFillReason, aLoads, aPlan);
    }
  }
}

void LoadPerKeyPolicy::SplitHotKeys(const BalanceInput& aInput,
                                    const ServerLoads& aLoads,
                                    BalancePlan& aPlan)
{
  const double threshold = options_.hotKeyShareOfMean_ * aLoads.MeanLoad();
  const GroupTable& table = aLoads.Table();
  for (const auto& key : aInput.hotKeys_) {
    if (key.load_ < threshold || aPlan.splits_.size() >= kMaxSplitsPerPlan ||
        table.slices_.size() + 2 * aPlan.splits_.size() >= kMaxSlices) {
      continue;
    }
    const auto slice =
      static_cast<size_t>(&table.FindSlice(key.hash_) - table.slices_.data());
    if (!aLoads.IsSingleHash(slice) &&
        !Contains(aPlan.moves_, table.slices_[slice].begin_)) {
      aPlan.splits_.push_back(key.hash_);
      for (const KeyHash begin : { table.slices_[slice].begin_, key.hash_ }) {
        movedMs_[begin] = aInput.nowMs_ - kCooldownMs + kSplitCooldownMs;
      }
    }
  }
}

void LoadPerKeyPolicy::Rebalance(TimeMs aNowMs,
                                 ServerLoads& aLoads,
                                 BalancePlan& aPlan)
{
  const auto peak = aLoads.MostLoaded();
  if (!peak) {
    return;
  }
  UpdateUrgency(aLoads.RelativeLoad(*peak));
  // A joining server takes load off the other servers anyway.
  const bool isJoining =
    std::ranges::any_of(aPlan.moves_, [](const PlannedMove& aMove) {
      return aMove.reason_ == kFillReason;
    });
  if (isJoining && !isUrgent_) {
    return;
  }
  while (isActive_ && aPlan.moves_.size() < kMaxMovesPerPlan) {
    if (!MoveOne(aNowMs, BudgetLoad(aNowMs, aLoads), aLoads, aPlan)) {
      return;
    }
    isActive_ = aLoads.RelativeLoad(*aLoads.MostLoaded()) > options_.stopBelow_;
  }
}

void LoadPerKeyPolicy::UpdateUrgency(double aRelativeLoad)
{
  steadyPlans_ = aRelativeLoad > options_.actAbove_ ? steadyPlans_ + 1 : 0;
  urgentPlans_ = aRelativeLoad > kUrgentAbove ? urgentPlans_ + 1 : 0;
  veryUrgentPlans_ =
    aRelativeLoad > kVeryUrgentAbove ? veryUrgentPlans_ + 1 : 0;
  isUrgent_ = urgentPlans_ >= kUrgentAfterPlans ||
              veryUrgentPlans_ >= kVeryUrgentAfterPlans ||
              (isUrgent_ && aRelativeLoad > options_.stopBelow_);
  isActive_ = isUrgent_ || steadyPlans_ >= kSteadyAfterPlans ||
              (isActive_ && aRelativeLoad > options_.stopBelow_);
}

bool LoadPerKeyPolicy::MoveOne(TimeMs aNowMs,
                               double aMaxLoad,
                               ServerLoads& aLoads,
                               BalancePlan& aPlan)
{
  const auto source = aLoads.MostLoaded();
  const auto target = source ? aLoads.LeastLoaded(*source) : std::nullopt;
  if (!target) {
    return false;
  }
  const double excess = aLoads.Load(*source) - aLoads.FairLoad(*source);
  // Slices are coarse, so the target may exceed the lower threshold as long as
  // the higher load of the two servers clearly decreases.
  constexpr double kMinGain = 0.75;
  const double room = std::max(
    options_.stopBelow_ * aLoads.FairLoad(*target) - aLoads.Load(*target),
    kMinGain * (aLoads.Load(*source) - aLoads.Load(*target)));
  // Moving more than the excess would leave the source underloaded.
  constexpr double kOvershoot = 1.1;
  const auto slice = BestSlice(
    aNowMs, aLoads, *source, std::min({ aMaxLoad, room, kOvershoot * excess }));
  // Slices without measured load move only away from a pinned key.
  if (!slice ||
      (aLoads.SliceLoad(*slice) <= 0 && !aLoads.HoldsPinnedKey(*source))) {
    return false;
  }
  churn_.Record(aNowMs, aLoads.SliceLoad(*slice) / aLoads.Total());
  AddMove(*slice, *target, "balances load", aLoads, aPlan);
  return true;
}

void LoadPerKeyPolicy::MergeColdKeys(TimeMs aNowMs,
                                     ServerLoads& aLoads,
                                     BalancePlan& aPlan)
{
  const double coldLoad =
    kColdFraction * options_.hotKeyShareOfMean_ * aLoads.MeanLoad();
  const auto& slices = aLoads.Table().slices_;
  std::unordered_map<KeyHash, TimeMs> coldSinceMs;
  for (size_t i = 1; i < slices.size(); ++i) {
    if (!aLoads.IsSingleHash(i) || aLoads.SliceLoad(i) >= coldLoad) {
      continue;
    }
    const auto known = coldSinceMs_.find(slices[i].begin_);
    const TimeMs since = known == coldSinceMs_.end() ? aNowMs : known->second;
    coldSinceMs[slices[i].begin_] = since;
    if (aNowMs - since >= kColdMs) {
      MergeAround(i, aNowMs, aLoads, aPlan);
    }
  }
  coldSinceMs_ = std::move(coldSinceMs);
}

void LoadPerKeyPolicy::MergeAround(size_t aSlice,
                                   TimeMs aNowMs,
                                   ServerLoads& aLoads,
                                   BalancePlan& aPlan)
{
  // A split results in the part before the key, the key and the part after it.
  const auto& slices = aLoads.Table().slices_;
  const int32_t owner = aLoads.Owner(aSlice - 1);
  bool isTogether = owner != kNoServer && aLoads.IsUsable(owner);
  if (!isTogether) {
    return;
  }
  for (size_t i = aSlice; i <= std::min(aSlice + 1, slices.size() - 1); ++i) {
    if (aLoads.Owner(i) == owner) {
      continue;
    }
    isTogether = false;
    const double load = aLoads.SliceLoad(i);
    if (!isActive_ && load <= BudgetLoad(aNowMs, aLoads) &&
        !IsInCooldown(slices[i].begin_, aNowMs) &&
        !Contains(aPlan.moves_, slices[i].begin_)) {
      churn_.Record(aNowMs, load / aLoads.Total());
      AddMove(i, owner, "joins the rest of a split slice", aLoads, aPlan);
    }
  }
  if (isTogether) {
    aPlan.merges_.push_back(slices[aSlice].begin_);
    if (aSlice + 1 < slices.size()) {
      aPlan.merges_.push_back(slices[aSlice + 1].begin_);
    }
  }
}

std::optional<size_t> LoadPerKeyPolicy::BestSlice(TimeMs aNowMs,
                                                  const ServerLoads& aLoads,
                                                  int32_t aSource,
                                                  double aMaxLoad) const
{
  const GroupTable& table = aLoads.Table();
  std::optional<size_t> best;
  double bestScore = 0;
  for (size_t i = 0; i < table.slices_.size(); ++i) {
    const double load = aLoads.SliceLoad(i);
    const KeyHash begin = table.slices_[i].begin_;
    if (aLoads.Owner(i) != aSource || load > aMaxLoad || aLoads.IsPinned(i) ||
        IsInCooldown(begin, aNowMs)) {
      continue;
    }
    // Keys are distributed evenly over the hash space.
    const double keys = static_cast<double>(table.SliceEnd(i) - begin) + 1;
    if (!best || load / keys > bestScore) {
      best = i;
      bestScore = load / keys;
    }
  }
  return best;
}

bool LoadPerKeyPolicy::IsInCooldown(KeyHash aBegin, TimeMs aNowMs) const
{
  const auto moved = movedMs_.find(aBegin);
  return moved != movedMs_.end() && aNowMs - moved->second < kCooldownMs;
}

double LoadPerKeyPolicy::BudgetLoad(TimeMs aNowMs, const ServerLoads& aLoads)
{
  const double share =
    isUrgent_ ? kUrgentShare : options_.churnPercentPerMinute_ / kPercent;
  return (share - churn_.UsedShare(aNowMs)) * aLoads.Total();
}

void LoadPerKeyPolicy::AddMove(size_t aSlice,
                               int32_t aTarget,
                               std::string aReason,
                               ServerLoads& aLoads,
                               BalancePlan& aPlan)
{
  aPlan.moves_.push_back({ aLoads.Table().slices_[aSlice].begin_,
                           aTarget,
                           aLoads.SliceLoad(aSlice),
                           std::move(aReason) });
  aLoads.Move(aSlice, aTarget);
}

}

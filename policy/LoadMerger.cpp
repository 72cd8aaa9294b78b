#include "policy/LoadMerger.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cactuspitch {

namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kNegligiblePerSecond = 1e-3;
constexpr TimeMs kMinWindowMs = 50;
constexpr TimeMs kMaxWindowMs = 60000;

size_t SliceIndex(const GroupTable& aTable, KeyHash aHash)
{
  return static_cast<size_t>(&aTable.FindSlice(aHash) - aTable.slices_.data());
}

}

LoadMerger::LoadMerger(LoadMergerOptions aOptions)
  : options_(aOptions)
{
}

bool LoadMerger::Add(const RouterLoadReport& aLoad, TimeMs aNowMs)
{
  if (!IsPlausible(aLoad)) {
    ++rejected_;
    return false;
  }
  auto& state = routers_[aLoad.router_];
  state.lastMs_ = aNowMs;
  AddSlices(aLoad, state);
  state.hotKeys_.clear();
  const double seconds = static_cast<double>(aLoad.windowMs_) / kMsPerSecond;
  for (const auto& key : aLoad.hotKeys_) {
    state.hotKeys_[key.hash_] += static_cast<double>(key.requests_) / seconds;
  }
  return true;
}

void LoadMerger::Fill(const GroupTable& aTable,
                      TimeMs aNowMs,
                      BalanceInput& aInput)
{
  DropStaleRouters(aNowMs);
  aInput.nowMs_ = aNowMs;
  aInput.table_ = &aTable;
  aInput.sliceLoad_.assign(aTable.slices_.size(), 0);
  std::map<KeyHash, double> keys;
  for (const auto& [name, state] : routers_) {
    std::vector<Average> averages(aTable.slices_.size());
    for (const auto& [begin, average] : state.slices_) {
      auto& sum = averages[SliceIndex(aTable, begin)];
      sum.requestsPerSecond_ += average.requestsPerSecond_;
      sum.busyMsPerSecond_ += average.busyMsPerSecond_;
    }
    for (size_t i = 0; i < averages.size(); ++i) {
      aInput.sliceLoad_[i] += averages[i].busyMsPerSecond_;
    }
    for (const auto& [hash, perSecond] : state.hotKeys_) {
      keys[hash] += perSecond * BusyMsPerRequest(state, hash);
    }
  }
  aInput.hotKeys_.clear();
  for (const auto& [hash, load] : keys) {
    aInput.hotKeys_.push_back({ hash, load });
  }
  std::ranges::sort(aInput.hotKeys_, std::greater<>(), &HotKeyLoad::load_);
}

double LoadMerger::BusyMsPerRequest(const RouterState& aState, KeyHash aHash)
{
  // Uses the slice as reported by the router; slices that were split out since
  // then are not in the report.
  const auto next = aState.slices_.upper_bound(aHash);
  if (next == aState.slices_.begin()) {
    return 0;
  }
  const Average& slice = std::prev(next)->second;
  return slice.requestsPerSecond_ > 0
           ? slice.busyMsPerSecond_ / slice.requestsPerSecond_
           : 0;
}

bool LoadMerger::IsPlausible(const RouterLoadReport& aLoad) const
{
  if (aLoad.router_.empty() || aLoad.windowMs_ < kMinWindowMs ||
      aLoad.windowMs_ > kMaxWindowMs) {
    return false;
  }
  double busyMs = 0;
  for (const auto& slice : aLoad.slices_) {
    // Negated so that NaN is rejected.
    if (slice.requests_ < 0 || !(slice.busyMs_ >= 0)) {
      return false;
    }
    busyMs += slice.busyMs_;
  }
  const auto isNegative = [](const KeyMeasurement& aKey) {
    return aKey.requests_ < 0;
  };
  return busyMs <=
           options_.maxConcurrency_ * static_cast<double>(aLoad.windowMs_) &&
         std::ranges::none_of(aLoad.hotKeys_, isNegative);
}

void LoadMerger::AddSlices(const RouterLoadReport& aLoad,
                           RouterState& aState) const
{
  const auto windowMs = static_cast<double>(aLoad.windowMs_);
  const bool isFirst = aState.slices_.empty();
  const double weight =
    isFirst
      ? 1
      : 1 - std::exp(-windowMs / static_cast<double>(options_.averagingMs_));
  for (auto& [begin, average] : aState.slices_) {
    average.requestsPerSecond_ *= 1 - weight;
    average.busyMsPerSecond_ *= 1 - weight;
  }
  for (const auto& slice : aLoad.slices_) {
    const double scale = weight * kMsPerSecond / windowMs;
    auto& average = aState.slices_[slice.begin_];
    average.requestsPerSecond_ += scale * static_cast<double>(slice.requests_);
    average.busyMsPerSecond_ += scale * slice.busyMs_;
  }
  // The averages of merged and idle slices decay until they are dropped.
  std::erase_if(aState.slices_, [](const auto& aSlice) {
    return aSlice.second.requestsPerSecond_ < kNegligiblePerSecond &&
           aSlice.second.busyMsPerSecond_ < kNegligiblePerSecond;
  });
}

void LoadMerger::DropStaleRouters(TimeMs aNowMs)
{
  std::erase_if(routers_, [&](const auto& aRouter) {
    return aNowMs - aRouter.second.lastMs_ > options_.maxAgeMs_;
  });
}

}

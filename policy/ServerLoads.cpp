#include "policy/ServerLoads.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>

namespace cactuspitch {

namespace {

/// A key with more than this fraction of a server's fair load leaves no room
/// for other keys.
constexpr double kPinnedFraction = 0.95;

}

ServerLoads::ServerLoads(const BalanceInput& aInput,
                         const std::vector<double>& aWarmupShares)
  : table_(aInput.table_)
  , sliceLoad_(aInput.sliceLoad_)
  , load_(table_->servers_.size())
  , weight_(table_->servers_.size())
  , sliceCount_(table_->servers_.size())
  , isExcluded_(table_->servers_.size())
{
  CorrectNewSplits(aInput);
  total_ = std::accumulate(sliceLoad_.begin(), sliceLoad_.end(), 0.0);
  size_t usable = 0;
  for (size_t i = 0; i < weight_.size(); ++i) {
    if (aInput.serverUsable_[i] && !table_->servers_[i].draining_) {
      weight_[i] = table_->servers_[i].slots_ * aWarmupShares[i];
      ++usable;
    }
  }
  meanLoad_ = total_ / static_cast<double>(std::max<size_t>(1, usable));
  for (size_t i = 0; i < table_->slices_.size(); ++i) {
    const int32_t owner = table_->slices_[i].owner_;
    owner_.push_back(owner);
    if (owner != kNoServer) {
      load_[Index(owner)] += sliceLoad_[i];
      ++sliceCount_[Index(owner)];
    }
  }
  ComputeReference();
}

bool ServerLoads::IsIdle() const
{
  constexpr double kMsPerSecond = 1000;
  constexpr double kIdleFraction = 0.003;
  double slots = 0;
  for (const auto& server : table_->servers_) {
    slots += server.slots_;
  }
  return total_ <= kIdleFraction * kMsPerSecond * slots;
}

std::optional<int32_t> ServerLoads::FewestSlices() const
{
  std::optional<int32_t> fewest;
  for (int32_t i = 0; Index(i) < weight_.size(); ++i) {
    if (IsUsable(i) && (!fewest || SliceCount(i) < SliceCount(*fewest))) {
      fewest = i;
    }
  }
  return fewest;
}

bool ServerLoads::IsSingleHash(size_t aSlice) const
{
  return table_->SliceEnd(aSlice) == table_->slices_[aSlice].begin_;
}

double ServerLoads::FairLoad(int32_t aServer) const
{
  return loadPerWeight_ * weight_[Index(aServer)];
}

double ServerLoads::RelativeLoad(int32_t aServer) const
{
  const double fair = FairLoad(aServer);
  return fair > 0 ? Load(aServer) / fair : 0;
}

std::optional<int32_t> ServerLoads::MostLoaded() const
{
  std::optional<int32_t> mostLoaded;
  for (int32_t i = 0; Index(i) < weight_.size(); ++i) {
    if (IsUsable(i) && !isExcluded_[Index(i)] &&
        (!mostLoaded || RelativeLoad(i) > RelativeLoad(*mostLoaded))) {
      mostLoaded = i;
    }
  }
  return mostLoaded;
}

std::optional<int32_t> ServerLoads::LeastLoaded(int32_t aExcept) const
{
  // Smaller differences of relative load are within the measurement error.
  constexpr double kNearlyEqual = 0.02;
  std::optional<int32_t> leastLoaded;
  for (int32_t i = 0; Index(i) < weight_.size(); ++i) {
    if (!IsUsable(i) || i == aExcept || isExcluded_[Index(i)]) {
      continue;
    }
    if (!leastLoaded ||
        RelativeLoad(i) < RelativeLoad(*leastLoaded) - kNearlyEqual ||
        (RelativeLoad(i) < RelativeLoad(*leastLoaded) + kNearlyEqual &&
         DomainRelativeLoad(i) < DomainRelativeLoad(*leastLoaded))) {
      leastLoaded = i;
    }
  }
  return leastLoaded;
}

bool ServerLoads::IsPinned(size_t aSlice) const
{
  const int32_t owner = owner_[aSlice];
  return owner != kNoServer && IsUsable(owner) && IsSingleHash(aSlice) &&
         sliceLoad_[aSlice] > kPinnedFraction * FairLoad(owner);
}

void ServerLoads::Move(size_t aSlice, int32_t aTarget)
{
  const int32_t source = owner_[aSlice];
  if (source != kNoServer) {
    load_[Index(source)] -= sliceLoad_[aSlice];
    --sliceCount_[Index(source)];
  }
  owner_[aSlice] = aTarget;
  load_[Index(aTarget)] += sliceLoad_[aSlice];
  ++sliceCount_[Index(aTarget)];
}

void ServerLoads::CorrectNewSplits(const BalanceInput& aInput)
{
  std::map<KeyHash, double> keys;
  for (const auto& key : aInput.hotKeys_) {
    keys[key.hash_] = key.load_;
  }
  for (size_t i = 1; i < sliceLoad_.size(); ++i) {
    const auto key = keys.find(table_->slices_[i].begin_);
    if (!IsSingleHash(i) || key == keys.end()) {
      continue;
    }
    // The rate of the key adapts faster than the average of its new slice.
    const double measured = sliceLoad_[i];
    sliceLoad_[i] = std::max(measured, key->second);
    // Right after a split, the routers' measurements are based on the previous
    // table and attribute the key's load to the slice that it was split from.
    // Later the two measurements differ only by noise.
    constexpr double kMeasuredFraction = 0.7;
    if (measured < kMeasuredFraction * key->second) {
      sliceLoad_[i - 1] =
        std::max(0.0, sliceLoad_[i - 1] - (key->second - measured));
    }
  }
}

void ServerLoads::ComputeReference()
{
  // Excluding a server changes the fair load of the others, by which further
  // servers may have to be excluded.
  for (;;) {
    double load = 0;
    double weight = 0;
    for (size_t i = 0; i < weight_.size(); ++i) {
      if (!isExcluded_[i]) {
        load += load_[i];
        weight += weight_[i];
      }
    }
    loadPerWeight_ = weight > 0 ? load / weight : 0;
    bool changed = false;
    for (int32_t i = 0; Index(i) < weight_.size(); ++i) {
      if (!isExcluded_[Index(i)] && HoldsOnlyPinnedKey(i)) {
        isExcluded_[Index(i)] = true;
        changed = true;
      }
    }
    if (!changed) {
      return;
    }
  }
}

bool ServerLoads::HoldsPinnedKey(int32_t aServer) const
{
  for (size_t i = 0; i < owner_.size(); ++i) {
    if (owner_[i] == aServer && IsPinned(i)) {
      return true;
    }
  }
  return false;
}

bool ServerLoads::HoldsOnlyPinnedKey(int32_t aServer) const
{
  return sliceCount_[Index(aServer)] == 1 && HoldsPinnedKey(aServer);
}

double ServerLoads::DomainRelativeLoad(int32_t aServer) const
{
  const auto& domain = table_->servers_[Index(aServer)].failureDomain_;
  double load = 0;
  double weight = 0;
  for (size_t i = 0; i < weight_.size(); ++i) {
    if (table_->servers_[i].failureDomain_ == domain) {
      load += load_[i];
      weight += weight_[i];
    }
  }
  return weight > 0 ? load / weight : 0;
}

}

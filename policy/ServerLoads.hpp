#pragma once

#include "policy/BalancingPolicy.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace cactuspitch {

/// Loads of slices and backend servers while a plan is made; planned moves
/// change them. A server's level is its load over its fair part of the load.
class ServerLoads
{
public:
  /// aWarmupShares: share of its normal load that each server may get, 0 to 1.
  ServerLoads(const BalanceInput& aInput,
              const std::vector<double>& aWarmupShares);

  const GroupTable& Table() const { return *table_; }
  double Total() const { return total_; }
  /// The load is too small to be measured, at most 0.3% of the slots.
  bool IsIdle() const;
  size_t SliceCount(int32_t aServer) const
  {
    return sliceCount_[Index(aServer)];
  }
  /// Usable server with the fewest slices.
  std::optional<int32_t> FewestSlices() const;
  /// Mean load of a usable server, of any number of slots.
  double MeanLoad() const { return meanLoad_; }
  double SliceLoad(size_t aSlice) const { return sliceLoad_[aSlice]; }
  int32_t Owner(size_t aSlice) const { return owner_[aSlice]; }
  bool IsSingleHash(size_t aSlice) const;
  double Load(int32_t aServer) const { return load_[Index(aServer)]; }
  double FairLoad(int32_t aServer) const;
  double RelativeLoad(int32_t aServer) const;
  bool IsUsable(int32_t aServer) const { return weight_[Index(aServer)] > 0; }

  /// Most loaded usable server that could give a slice away.
  std::optional<int32_t> MostLoaded() const;
  /// Least loaded usable server; among nearly equal ones the one whose failure
  /// domain has the least load.
  std::optional<int32_t> LeastLoaded(int32_t aExcept) const;
  /// A key that no server can hold beside its fair part stays where it is, and
  /// the other slices of its server move away.
  bool IsPinned(size_t aSlice) const;
  bool HoldsPinnedKey(int32_t aServer) const;
  void Move(size_t aSlice, int32_t aTarget);

private:
  static size_t Index(int32_t aServer) { return static_cast<size_t>(aServer); }
  void CorrectNewSplits(const BalanceInput& aInput);
  void ComputeReference();
  bool HoldsOnlyPinnedKey(int32_t aServer) const;
  double DomainRelativeLoad(int32_t aServer) const;

  const GroupTable* table_;
  std::vector<double> sliceLoad_;
  std::vector<int32_t> owner_;
  std::vector<double> load_;
  std::vector<double> weight_; ///< slots x warmth, 0 when not usable
  std::vector<size_t> sliceCount_;
  std::vector<bool> isExcluded_; ///< holds nothing but a pinned key
  double total_ = 0;
  double meanLoad_ = 0;
  double loadPerWeight_ = 0; ///< without the excluded servers
};

}

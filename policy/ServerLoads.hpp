#pragma once

#include "policy/BalancingPolicy.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace cactuspitch {

/// Loads of slices and backend servers while a plan is being made, including
/// the effect of planned moves. The relative load of a server is its load
/// divided by its fair load.
class ServerLoads
{
public:
  /// aWarmupShares: fraction (0 to 1) of its normal load that each server may
  /// get.
  ServerLoads(const BalanceInput& aInput,
              const std::vector<double>& aWarmupShares);

  const GroupTable& Table() const { return *table_; }
  double Total() const { return total_; }
  /// True if the load is too small to be measured, at most 0.3% of the slots.
  bool IsIdle() const;
  size_t SliceCount(int32_t aServer) const
  {
    return sliceCount_[Index(aServer)];
  }
  /// Usable server with the fewest slices; nullopt if no server is usable.
  std::optional<int32_t> FewestSlices() const;
  /// Mean load of the usable servers, regardless of their slots.
  double MeanLoad() const { return meanLoad_; }
  double SliceLoad(size_t aSlice) const { return sliceLoad_[aSlice]; }
  int32_t Owner(size_t aSlice) const { return owner_[aSlice]; }
  bool IsSingleHash(size_t aSlice) const;
  double Load(int32_t aServer) const { return load_[Index(aServer)]; }
  /// Load that the server gets when the total is shared by slots and warm-up.
  double FairLoad(int32_t aServer) const;
  double RelativeLoad(int32_t aServer) const;
  bool IsUsable(int32_t aServer) const { return weight_[Index(aServer)] > 0; }

  /// Usable server with the highest relative load among those that could give a
  /// slice away; nullopt if there is none.
  std::optional<int32_t> MostLoaded() const;
  /// Usable server with the lowest relative load, or of nearly equal ones the
  /// server whose failure domain has the lowest; nullopt if there is none.
  std::optional<int32_t> LeastLoaded(int32_t aExcept) const;
  /// Whether the slice is a single key that takes almost the whole fair load of
  /// its server, or more. It is not moved; the other slices of its server are
  /// moved away instead.
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
  std::vector<double> weight_; ///< slots x warm-up share, 0 if not usable
  std::vector<size_t> sliceCount_;
  std::vector<bool> isExcluded_; ///< servers that own only a pinned key
  double total_ = 0;
  double meanLoad_ = 0;
  double loadPerWeight_ = 0; ///< of the servers that are not excluded
};

}

#include "policy/OwnerAdmission.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

/// Admitted load as a multiple of the owner's capacity. Slightly more than the
/// capacity keeps the owner busy although service times vary.
constexpr double kAdmittedLoadFactor = 1.15;

}

std::vector<AdmissionShare> ComputeAdmissionShares(
  const std::vector<OwnerDemand>& aOwners)
{
  std::vector<AdmissionShare> shares;
  for (const auto& owner : aOwners) {
    const double admitted = owner.capacity_ * detail::kAdmittedLoadFactor;
    if (owner.demand_ > admitted && admitted > 0) {
      shares.push_back({ owner.server_, admitted / owner.demand_ });
    }
  }
  return shares;
}

OwnerAdmission::OwnerAdmission(uint32_t aSeed)
  : random_(aSeed)
{
}

void OwnerAdmission::Update(const std::vector<AdmissionShare>& aShares,
                            TimeMs aNowMs)
{
  for (const auto& share : aShares) {
    const auto [state, isNew] = states_.try_emplace(share.server_);
    state->second.share_ = share.share_;
    state->second.atMs_ = aNowMs;
    if (isNew) {
      state->second.credit_ = std::uniform_real_distribution(0.0, 1.0)(random_);
    }
  }
  std::erase_if(states_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second.atMs_ > kExpiryMs;
  });
}

bool OwnerAdmission::TryAdmit(uint32_t aServer, TimeMs aNowMs)
{
  const auto found = states_.find(aServer);
  if (found == states_.end() || aNowMs - found->second.atMs_ > kExpiryMs) {
    return true;
  }
  auto& state = found->second;
  state.credit_ = std::min(state.credit_ + state.share_, 2.0);
  if (state.credit_ < 1) {
    return false;
  }
  state.credit_ -= 1;
  return true;
}

}

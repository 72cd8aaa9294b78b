#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Part of the requests for an overloaded owner of keys that it can run.
struct AdmissionShare
{
  uint32_t server_ = 0; ///< hash of its id
  double share_ = 1;
};

/// Demand for an owner's keys and what it can run, both per second.
struct OwnerDemand
{
  uint32_t server_ = 0;
  double demand_ = 0;
  double capacity_ = 0;
};

/// Shares of the owners whose demand is above their capacity.
std::vector<AdmissionShare> ComputeAdmissionShares(
  const std::vector<OwnerDemand>& aOwners);

/// Lets through each gateway's part of what an overloaded owner can run. Many
/// gateways see a part of the demand each and cannot tell from old reports how
/// much the others send; the leader knows the sum. Pure.
class OwnerAdmission
{
public:
  /// Shares that are not repeated for this long end.
  static constexpr TimeMs kExpiryMs = 2000;

  /// aSeed differs between gateways: those that begin with the same credit
  /// would all let their first request through at the same time, and late.
  explicit OwnerAdmission(uint32_t aSeed);

  void Update(const std::vector<AdmissionShare>& aShares, TimeMs aNowMs);
  /// Whether the next request for this owner is sent to it.
  bool TryAdmit(uint32_t aServer, TimeMs aNowMs);

private:
  struct State
  {
    double share_ = 1;
    double credit_ = 0;
    TimeMs atMs_ = 0;
  };
  std::unordered_map<uint32_t, State> states_;
  std::minstd_rand random_;
};

}

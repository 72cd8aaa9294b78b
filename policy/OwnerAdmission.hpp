#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Fraction of the requests for an overloaded owner of keys that it can run.
struct AdmissionShare
{
  uint32_t server_ = 0; ///< hash of the server's id
  double share_ = 1;
};

/// Request rate for the keys of an owner and the rate that it can run, both in
/// requests per second.
struct OwnerDemand
{
  uint32_t server_ = 0;
  double demand_ = 0;
  double capacity_ = 0;
};

/// Admission shares of the owners whose demand exceeds their capacity.
std::vector<AdmissionShare> ComputeAdmissionShares(
  const std::vector<OwnerDemand>& aOwners);

/// Limits the requests of a gateway to its share of what an overloaded owner
/// can run. In a large fleet each gateway sees only part of the demand, and
/// can't infer from old reports how much the other gateways send. The leader
/// knows the sum and distributes the shares. Does no I/O.
class OwnerAdmission
{
public:
  /// A share expires when it is not renewed for this long.
  static constexpr TimeMs kExpiryMs = 2000;

  /// aSeed must differ between gateways. With the same initial credit, all
  /// gateways would admit their first request late and at the same time.
  explicit OwnerAdmission(uint32_t aSeed);

  void Update(const std::vector<AdmissionShare>& aShares, TimeMs aNowMs);
  /// Whether to send the next request for this owner. Always true for an owner
  /// without a share.
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

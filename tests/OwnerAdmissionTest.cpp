#include "policy/OwnerAdmission.hpp"

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kOwner = 7;

/// Result of 5 s in which 295 gateways send requests for one hot key to its
/// owner, which rejects requests that don't fit into its queue.
struct HotKeyResult
{
  int served_ = 0;
  int rejected_ = 0; ///< by the owner
};

HotKeyResult SimulateHotKey(bool aShares)
{
  constexpr int kGateways = 295;
  constexpr double kDemand = 800; // requests/s, all gateways
  constexpr double kCapacity = 12;
  constexpr double kQueue = 20;
  constexpr TimeMs kEndMs = 5000;
  std::mt19937 random(1);
  std::vector<OwnerAdmission> gateways;
  for (int index = 0; index < kGateways; ++index) {
    gateways.emplace_back(random());
  }
  std::uniform_int_distribution<size_t> anyGateway(0, kGateways - 1);
  HotKeyResult result;
  double queued = 0;
  for (TimeMs nowMs = 0; nowMs < kEndMs; ++nowMs) {
    queued = std::max(0.0, queued - kCapacity / 1000);
    if (aShares && nowMs % 500 == 0 && nowMs >= 500) {
      const auto shares =
        ComputeAdmissionShares({ { kOwner, kDemand, kCapacity } });
      for (auto& gateway : gateways) {
        gateway.Update(shares, nowMs);
      }
    }
    std::poisson_distribution<int> arrivals(kDemand / 1000);
    for (int count = arrivals(random); count > 0; --count) {
      if (!gateways[anyGateway(random)].TryAdmit(kOwner, nowMs)) {
        continue;
      }
      if (queued + 1 > kQueue) {
        ++result.rejected_;
      } else {
        queued += 1;
        ++result.served_;
      }
    }
  }
  return result;
}

// Guards against hundreds of gateways that each send the owner of a hot key as
// many requests as it can run in total, so that it spends its time on rejecting
// them.
TEST(OwnerAdmission, SharesAddUpToTheOwnersCapacity)
{
  const auto without = SimulateHotKey(false);
  const auto with = SimulateHotKey(true);
  EXPECT_GE(with.served_, without.served_ * 95 / 100);
  // There are no shares in the first half second: about 380 of 4,000 requests.
  EXPECT_LT(with.rejected_, without.rejected_ / 5);
}

// Guards against limiting requests to owners with free capacity.
TEST(OwnerAdmission, LimitsOnlyOverloadedOwners)
{
  EXPECT_TRUE(
    ComputeAdmissionShares({ { kOwner, 10, 12 }, { 8, 0, 12 } }).empty());
  const auto shares = ComputeAdmissionShares({ { kOwner, 120, 12 } });
  ASSERT_EQ(shares.size(), 1U);
  EXPECT_NEAR(shares[0].share_, 0.115, 0.001);
  OwnerAdmission admission(1);
  admission.Update(shares, 1000);
  EXPECT_TRUE(admission.TryAdmit(8, 1000));
  int admitted = 0;
  for (int index = 0; index < 1000; ++index) {
    admitted += admission.TryAdmit(kOwner, 1000) ? 1 : 0;
  }
  EXPECT_NEAR(admitted, 115, 2);
}

// Guards against a share that remains in effect after the overload has ended or
// the leader has exited.
TEST(OwnerAdmission, SharesExpire)
{
  OwnerAdmission admission(1);
  admission.Update({ { kOwner, 0.01 } }, 1000);
  EXPECT_FALSE(admission.TryAdmit(kOwner, 1500));
  EXPECT_TRUE(admission.TryAdmit(kOwner, 1001 + OwnerAdmission::kExpiryMs));
}

}
}

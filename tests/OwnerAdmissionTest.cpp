#include "policy/OwnerAdmission.hpp"

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kOwner = 7;

/// What the callers of one hot key get in 5 s when 295 gateways send requests
/// to its owner, which rejects what does not fit into its queue.
struct HotKeyPlay
{
  int served_ = 0;
  int rejected_ = 0; ///< by the owner: arrivals in vain
};

HotKeyPlay PlayHotKey(bool aShares)
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
  HotKeyPlay play;
  double waiting = 0;
  for (TimeMs nowMs = 0; nowMs < kEndMs; ++nowMs) {
    waiting = std::max(0.0, waiting - kCapacity / 1000);
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
      if (waiting + 1 > kQueue) {
        ++play.rejected_;
      } else {
        waiting += 1;
        ++play.served_;
      }
    }
  }
  return play;
}

// Guards against hundreds of gateways that each send a hot key's owner what it
// could run alone: the owner spends its time on rejecting them.
TEST(OwnerAdmission, AddsUpToWhatTheOwnerCanRun)
{
  const auto without = PlayHotKey(false);
  const auto with = PlayHotKey(true);
  EXPECT_GE(with.served_, without.served_ * 95 / 100);
  // The first half second is without shares: about 380 of 4,000 arrivals.
  EXPECT_LT(with.rejected_, without.rejected_ / 5);
}

// Guards against owners that are refused requests although they have room.
TEST(OwnerAdmission, LeavesOwnersWithRoomAlone)
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

// Guards against a share that outlives the overload or the leader.
TEST(OwnerAdmission, SharesEnd)
{
  OwnerAdmission admission(1);
  admission.Update({ { kOwner, 0.01 } }, 1000);
  EXPECT_FALSE(admission.TryAdmit(kOwner, 1500));
  EXPECT_TRUE(admission.TryAdmit(kOwner, 1001 + OwnerAdmission::kExpiryMs));
}

}
}

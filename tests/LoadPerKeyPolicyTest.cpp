#include "PlanApplier.hpp"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr int kServers = 16;
constexpr int kSlices = 256;
constexpr KeyHash kHot = 12345;

class LoadPerKeyPolicyTest : public testing::Test
{
protected:
  LoadPerKeyPolicyTest()
    : policy_(BalancingRegistry::Global().Create("load-per-key", {}))
    , table_(MakeGroupTable(kServers, kSlices, 4, 5))
    , usable_(kServers, true)
  {
  }

  /// Equal loads of all slices, scaled by scale_, plus the loads of keys_.
  BalanceInput Input() const
  {
    BalanceInput input;
    input.nowMs_ = nowMs_;
    input.table_ = &table_;
    input.serverUsable_ = usable_;
    const double perHash = 0x1p-64 * kSlices * scale_;
    for (size_t i = 0; i < table_.slices_.size(); ++i) {
      const KeyHash width = table_.SliceEnd(i) - table_.slices_[i].begin_;
      input.sliceLoad_.push_back(perHash * static_cast<double>(width));
    }
    for (const auto& [hash, load] : keys_) {
      const auto index = &table_.FindSlice(hash) - table_.slices_.data();
      input.sliceLoad_[static_cast<size_t>(index)] += load;
      input.hotKeys_.push_back({ hash, load });
    }
    return input;
  }

  /// Plans once per second for aSeconds and applies the plans. Returns the load
  /// that was moved.
  double Run(int aSeconds)
  {
    double moved = 0;
    for (int i = 0; i < aSeconds; ++i) {
      nowMs_ += 1000;
      const auto plan = policy_->Plan(Input());
      for (const auto& move : plan.moves_) {
        moved += move.load_;
      }
      EXPECT_TRUE(ApplyPlan(plan, table_));
    }
    return moved;
  }

  std::vector<double> Loads() const
  {
    std::vector<double> loads(table_.servers_.size());
    const auto input = Input();
    for (size_t i = 0; i < table_.slices_.size(); ++i) {
      loads[static_cast<size_t>(table_.slices_[i].owner_)] +=
        input.sliceLoad_[i];
    }
    return loads;
  }

  double Peak() const { return std::ranges::max(Loads()); }

  std::unique_ptr<BalancingPolicy> policy_;
  GroupTable table_;
  std::vector<bool> usable_;
  std::map<KeyHash, double> keys_;
  double scale_ = 1;
  TimeMs nowMs_ = 0;
};

// Guards against moves without a benefit.
TEST_F(LoadPerKeyPolicyTest, EvenLoadMovesNothing)
{
  EXPECT_EQ(Run(120), 0);
  keys_[kHot] = 1; // relative load 1.06: below the upper threshold
  EXPECT_EQ(Run(120), 0);
}

// Guards against moves that make the owners' caches useless: a slight imbalance
// is corrected by moving at most 1% of the load per minute.
TEST_F(LoadPerKeyPolicyTest, SteadyChurnStaysInTheBudget)
{
  for (KeyHash i = 0; i < 16; ++i) {
    keys_[(i << 60) + 1] = 0.13; // all on server 0: relative load 1.12
  }
  const double total = kSlices + 16 * 0.13;
  const double before = Peak();
  const double moved = Run(60);
  EXPECT_GT(moved, 0);
  EXPECT_LE(moved, 0.01 * total);
  EXPECT_LT(Peak(), before);
}

// Guards against a hot key that shares a server with other keys although it
// saturates the server by itself.
TEST_F(LoadPerKeyPolicyTest, KeyAboveCapacityGetsItsOwnServer)
{
  keys_[kHot] = 30;
  const double moved = Run(20);
  const int32_t owner = table_.FindSlice(kHot).owner_;
  EXPECT_EQ(std::ranges::count(table_.slices_, owner, &SliceRecord::owner_), 1);
  EXPECT_EQ(Peak(), 30);
  EXPECT_LT(moved, 17); // only the other slices of the key's first owner
  auto loads = Loads();
  std::ranges::sort(loads);
  EXPECT_LT(loads[kServers - 2], 1.1 * kSlices / (kServers - 1));
}

// Guards against a table that grows with every key that was ever hot.
TEST_F(LoadPerKeyPolicyTest, ColdKeyIsMergedBack)
{
  keys_[kHot] = 12;
  Run(20);
  EXPECT_EQ(table_.slices_.size(), kSlices + 2u);
  keys_[kHot] = 0.1;
  Run(50);
  EXPECT_EQ(table_.slices_.size(), kSlices + 2u);
  Run(400);
  EXPECT_EQ(table_.slices_.size(), static_cast<size_t>(kSlices));
}

// Guards against new slices for a draining server, and against moving more than
// its load or unbalancing the other servers when it leaves.
TEST_F(LoadPerKeyPolicyTest, DrainingServerIsEmptiedAtOnce)
{
  table_.servers_[3].draining_ = true;
  usable_[3] = false;
  usable_[5] = false; // unresponsive: gets no slices
  const double moved = Run(1);
  EXPECT_DOUBLE_EQ(moved, 16);
  const auto loads = Loads();
  EXPECT_EQ(loads[3], 0);
  EXPECT_NEAR(loads[5], 16, 0.01);
  EXPECT_LT(Peak(), 1.1 * 240 / 14);
}

// Guards against giving a joining server its full share while it is cold.
TEST_F(LoadPerKeyPolicyTest, JoiningServerIsFilledInSteps)
{
  Run(1);
  table_.servers_.push_back(
    { .id_ = "new", .failureDomain_ = "domain0", .slots_ = 5 });
  usable_.push_back(true);
  const double fair = static_cast<double>(kSlices) / (kServers + 1);
  double moved = Run(6);
  EXPECT_LE(Loads().back(), 0.25 * fair);
  moved += Run(6);
  EXPECT_LE(Loads().back(), 0.5 * fair);
  EXPECT_GE(Loads().back(), 0.25 * fair);
  moved += Run(60);
  EXPECT_GE(Loads().back(), 0.9 * fair);
  EXPECT_LE(moved, 1.2 * fair);
}

// Guards against a new service whose first server keeps all slices until it
// gets load and the other servers have warmed up.
TEST_F(LoadPerKeyPolicyTest, IdleGroupIsBalancedAtOnce)
{
  scale_ = 0;
  for (auto& slice : table_.slices_) {
    slice.owner_ = 0;
  }
  Run(5);
  for (int32_t server = 0; server < kServers; ++server) {
    EXPECT_EQ(std::ranges::count(table_.slices_, server, &SliceRecord::owner_),
              16)
      << server;
  }
}

// Guards against moving all load into one failure domain.
TEST_F(LoadPerKeyPolicyTest, MovesAreSpreadOverFailureDomains)
{
  table_.servers_[0].draining_ = true;
  usable_[0] = false;
  nowMs_ = 1000;
  std::map<std::string, int> domains;
  for (const auto& move : policy_->Plan(Input()).moves_) {
    ++domains[table_.Server(move.target_)->failureDomain_];
  }
  EXPECT_EQ(domains.size(), 4u);
  for (const auto& [domain, moves] : domains) {
    EXPECT_LE(moves, 7) << domain; // domain0 has 3 of its 4 servers left
  }
}

// Guards against a crash when the input is inconsistent.
TEST_F(LoadPerKeyPolicyTest, InconsistentInputIsIgnored)
{
  auto input = Input();
  input.sliceLoad_.pop_back();
  EXPECT_TRUE(policy_->Plan(input).moves_.empty());
  input = Input();
  input.serverUsable_.clear();
  EXPECT_TRUE(policy_->Plan(input).moves_.empty());
}

}
}

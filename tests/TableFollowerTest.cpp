#include "rpc/TableFollower.hpp"

#include "rpc/TableCodec.hpp"
#include "rpc/ThriftServer.hpp"
#include "tests/ReservedPort.hpp"

#include <condition_variable>
#include <mutex>

#include <AssignerPeer.h>
#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kWaitMs = 5000;
constexpr int32_t kLeaseMs = 1000;

GroupTable MakeTable(Term aTerm, int64_t aSequence, std::string aAssigner)
{
  GroupTable table;
  table.service_ = "ledger";
  table.term_ = aTerm;
  table.sequence_ = aSequence;
  table.assigner_ = std::move(aAssigner);
  table.servers_ = { { .id_ = "a" }, { .id_ = "b" } };
  table.slices_ = { { 0, aSequence, 0, 1 }, { 1ull << 63, 1, 1, 0 } };
  return table;
}

/// Serves one table through GetTables, with a view lease in every response.
class FakeAssigner final : public wire::AssignerPeerNull
{
public:
  explicit FakeAssigner(std::string aInstance)
    : instance_(std::move(aInstance))
  {
  }

  void Publish(GroupTable aTable)
  {
    const std::lock_guard lock(mutex_);
    old_ = table_;
    table_ = std::move(aTable);
    changed_.notify_all();
  }

  void GetStatus(wire::ProcessStatus& aStatus) override
  {
    aStatus.instance = instance_;
  }

  void GetTables(wire::GetTablesResponse& aResponse,
                 const wire::GetTablesRequest& aRequest) override
  {
    std::unique_lock lock(mutex_);
    const auto isNew = [&] {
      return table_.term_ > 0 && Known(aRequest) != table_.sequence_;
    };
    changed_.wait_for(lock, std::chrono::milliseconds(aRequest.waitMs), isNew);
    if (table_.term_ == 0) {
      return;
    }
    const bool canDelta =
      Known(aRequest) == table_.sequence_ ||
      (Known(aRequest) == old_.sequence_ && old_.term_ == table_.term_);
    const auto& base = Known(aRequest) == table_.sequence_ ? table_ : old_;
    auto message = canDelta ? ToWireDelta(base, table_) : ToWire(table_);
    message.viewLeaseMs = kLeaseMs;
    aResponse.tables.push_back(message);
  }

private:
  static int64_t Known(const wire::GetTablesRequest& aRequest)
  {
    return aRequest.known.empty() ? -1 : aRequest.known[0].sequence;
  }

  std::string instance_;
  std::mutex mutex_;
  std::condition_variable changed_;
  GroupTable old_;
  GroupTable table_;
};

struct Assigner
{
  explicit Assigner(std::string aInstance)
    : handler_(std::make_shared<FakeAssigner>(std::move(aInstance)))
    , server_(port_.Address(),
              std::make_shared<wire::AssignerPeerProcessor>(handler_))
  {
    EXPECT_TRUE(server_.Start().ok());
  }

  ReservedPort port_;
  std::shared_ptr<FakeAssigner> handler_;
  ThriftServer server_;
};

class TableFollowerTest : public testing::Test
{
protected:
  TableFollowerTest()
    : follower_(
        clock_,
        { .instance_ = "r1",
          .role_ = "router",
          .assigners_ = { first_.port_.Address(), second_.port_.Address() },
          .longPollMs_ = 100,
          .connectTimeoutMs_ = 300,
          .responseTimeoutMs_ = 600 })
  {
  }
  ~TableFollowerTest() override { follower_.Stop(); }

  bool WaitNewer(Term aTerm, int64_t aSequence)
  {
    return follower_.WaitNewer(
      "ledger", 0, aTerm, aSequence, clock_.NowMs() + kWaitMs);
  }
  bool WaitLeaseAfter(TimeMs aTimeMs)
  {
    const TimeMs end = clock_.NowMs() + kWaitMs;
    while (clock_.NowMs() < end) {
      if (follower_.Table("ledger", 0)->viewLeaseUntilMs_ > aTimeMs) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  SteadyClock clock_;
  Assigner first_{ "i1" };
  Assigner second_{ "i2" };
  TableFollower follower_;
};

// Guards against a router that keeps an old table after a change, and against a
// view lease that is not renewed while the table does not change.
TEST_F(TableFollowerTest, FollowsChangesAndRenewsTheLease)
{
  first_.handler_->Publish(MakeTable(1, 1, "i1"));
  follower_.Start();
  ASSERT_TRUE(WaitNewer(0, 0));
  EXPECT_TRUE(follower_.IsReady());
  EXPECT_FALSE(follower_.Table("other", 0));
  ASSERT_TRUE(WaitLeaseAfter(clock_.NowMs()));
  EXPECT_TRUE(WaitLeaseAfter(clock_.NowMs() + kLeaseMs / 2));
  first_.handler_->Publish(MakeTable(1, 2, "i1"));
  ASSERT_TRUE(WaitNewer(1, 1));
  EXPECT_EQ(follower_.Table("ledger", 0)->table_.FindSlice(0).epoch_, 2);
}

// Guards against a table that reverts to an earlier term when a superseded
// assigner responds, and against a view lease from an assigner that the table
// no longer names.
TEST_F(TableFollowerTest, SupersededAssignerIsIgnored)
{
  second_.handler_->Publish(MakeTable(2, 1, "i2"));
  first_.handler_->Publish(MakeTable(1, 9, "i1"));
  follower_.Start();
  ASSERT_TRUE(WaitNewer(1, 9));
  ASSERT_TRUE(WaitLeaseAfter(clock_.NowMs()));
  second_.server_.Stop();
  first_.handler_->Publish(MakeTable(1, 10, "i1"));
  EXPECT_FALSE(follower_.WaitNewer("ledger", 0, 2, 1, clock_.NowMs() + 500));
  EXPECT_EQ(follower_.Table("ledger", 0)->table_.term_, 2);
}

}

// Guards against a view lease that counts from the arrival of the response, and
// against one from an instance that is neither assigner nor deputy.
TEST(FollowedTables, LeaseCountsFromTheRequestToTheNamedAssigner)
{
  FollowedTables tables;
  wire::GetTablesResponse response;
  response.tables.push_back(ToWire(MakeTable(1, 1, "i1")));
  response.tables[0].viewLeaseMs = kLeaseMs;
  EXPECT_TRUE(tables.Apply(response, { "127.0.0.1:1", "i2" }, 100, 400));
  const auto table = tables.Snapshot()->Find("ledger", 0);
  EXPECT_EQ(table->viewLeaseUntilMs_, 0);
  EXPECT_FALSE(tables.Apply(response, { "127.0.0.1:2", "i1" }, 100, 400));
  EXPECT_EQ(table->viewLeaseUntilMs_, 100 + kLeaseMs);
}

// Guards against a delta that is applied to another version than its base, and
// against a group whose full table is never requested after such a delta.
TEST(FollowedTables, MismatchedDeltaCausesFullRequest)
{
  FollowedTables tables;
  wire::GetTablesResponse response;
  response.tables.push_back(ToWire(MakeTable(1, 1, "i1")));
  tables.Apply(response, {}, 0, 0);
  EXPECT_EQ(tables.MakeRequest().known.size(), 1u);
  response.tables[0] =
    ToWireDelta(MakeTable(1, 2, "i1"), MakeTable(1, 3, "i1"));
  EXPECT_FALSE(tables.Apply(response, {}, 0, 0));
  EXPECT_FALSE(tables.IsComplete());
  EXPECT_TRUE(tables.MakeRequest().known.empty());
  response.tables[0] = ToWire(MakeTable(1, 3, "i1"));
  EXPECT_TRUE(tables.Apply(response, {}, 0, 0));
  EXPECT_TRUE(tables.IsComplete());
}

// Guards against a configuration that reverts to an older version, and against
// a confirmation age that is reset although the store confirmed nothing.
TEST(FollowedTables, ConfigNeverReverts)
{
  FollowedTables tables;
  wire::GetTablesResponse response;
  wire::ConfigDocument config;
  const auto apply = [&](int64_t aVersion, std::string aJson, TimeMs aAgeMs) {
    config.version = aVersion;
    config.json = std::move(aJson);
    config.confirmedAgeMs = aAgeMs;
    response.__set_config(config);
    return tables.Apply(response, {}, 0, 1000);
  };
  EXPECT_TRUE(apply(2, "two", 50));
  EXPECT_FALSE(apply(1, "one", 0));
  EXPECT_EQ(tables.Config()->json_, "two");
  EXPECT_FALSE(apply(2, "", 90));
  EXPECT_EQ(tables.Config()->AgeMs(1010), 60);
  EXPECT_FALSE(apply(2, "", 20));
  EXPECT_EQ(tables.Config()->AgeMs(1010), 30);
  EXPECT_EQ(tables.Config()->json_, "two");
}

}

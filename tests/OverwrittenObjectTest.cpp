// Objects that the gateways share and another writer has overwritten.

#include "common/Strings.hpp"
#include "tests/OddEntries.hpp"
#include "tests/ServiceFixture.hpp"

#include <string>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

/// Objects that the gateways share, overwritten by another writer.
class OverwrittenObjectTest
  : public ServiceFixture
  , public testing::WithParamInterface<std::string>
{
protected:
  /// A content that is no object, is of another type, or cannot be read.
  void Overwrite(const std::string& aKind, const std::string& aName)
  {
    PutOddEntry(fixture_.Store(),
                aKind,
                {},
                { aName,
                  Concat(R"({"metadata":{"name":"$","revision":@},"spec":)",
                         GetParam(),
                         "}") });
  }
  /// Gives the owner of the keys another life, so that the table has to be
  /// written.
  void RestartOwner()
  {
    auto owner = fixture_.Store().Spec("servers", "k0");
    owner["born"] = owner["born"].get<int64_t>() + 1;
    fixture_.Store().Put("servers", "k0", owner);
    fixture_.RunFor(300);
  }
  bool IsKeyServed()
  {
    return fixture_
             .SendAndWait(GatewayFixture::MakeRequest(
               "GET", "keyed", "x", "Cactuspitch-Shard-Key: 7\r\n"))
             .find("\r\n\r\nkeyed") != std::string::npos;
  }

  static constexpr const char* kLeaderKind = "cactuspitch-leader";
  static constexpr const char* kTableKind = "cactuspitch-keys";
};

// Guards against a leader, or a candidate, that an unreadable object keeps from
// its duty for good.
TEST_P(OverwrittenObjectTest, LeaderKeepsItsKeysServed)
{
  Overwrite(kLeaderKind, "leader");
  fixture_.RunFor(300);
  EXPECT_TRUE(IsKeyServed());
  RestartOwner();
  EXPECT_TRUE(Eventually([this] { return IsKeyServed(); }));
}

TEST_P(OverwrittenObjectTest, TableIsWrittenAgain)
{
  Overwrite(kTableKind, "keys");
  fixture_.RunFor(300);
  EXPECT_TRUE(IsKeyServed());
  RestartOwner();
  EXPECT_TRUE(Eventually([this] { return IsKeyServed(); }));
  EXPECT_TRUE(fixture_.Store().Spec(kTableKind, "keys").contains("services"));
}

TEST_P(OverwrittenObjectTest, OwnRegistrationIsNotNeeded)
{
  Overwrite("cactuspitch", "instance.g1");
  fixture_.RunFor(300);
  EXPECT_TRUE(IsKeyServed());
  RestartOwner();
  EXPECT_TRUE(Eventually([this] { return IsKeyServed(); }));
}

INSTANTIATE_TEST_SUITE_P(EachContent,
                         OverwrittenObjectTest,
                         testing::Values("null",
                                         "[7]",
                                         "1e999",
                                         "\"\xff\"",
                                         R"({"term":"x","services":7})"),
                         [](const auto& aInfo) {
                           return Concat("Content", aInfo.index);
                         });

// Guards against two owners of keys when the table of the present ones cannot
// be read and all gateways have been restarted.
TEST_P(OverwrittenObjectTest, UnreadableKeyTableWaitsForEarlierLeases)
{
  // Of a small fleet (LeaseTiming).
  constexpr TimeMs kLeaseMs = 2500;
  fixture_.CommandBodies().clear();
  ASSERT_TRUE(
    fixture_.RunUntil([this] { return !fixture_.CommandBodies().empty(); }));
  const TimeMs renewedMs = fixture_.Loop().NowMs();
  fixture_.KillGateway();
  Overwrite(kTableKind, "keys");
  fixture_.CommandBodies().clear();
  fixture_.RestartGateway();
  EXPECT_TRUE(Eventually([this] { return !fixture_.CommandBodies().empty(); },
                         kLeaseMs * 4));
  EXPECT_GE(fixture_.Loop().NowMs() - renewedMs, kLeaseMs);
  EXPECT_TRUE(Eventually([this] { return IsKeyServed(); }));
}

class AllOverwrittenTest : public OverwrittenObjectTest
{};

// Neither the earlier leaders nor their grants are known then, so the keys wait
// for the end of both.
TEST_P(AllOverwrittenTest, KeysAreServedAgain)
{
  constexpr TimeMs kRecoveryMs = 15000;
  Overwrite(kTableKind, "keys");
  Overwrite(kLeaderKind, "leader");
  Overwrite("cactuspitch", "instance.g1");
  fixture_.KillGateway();
  fixture_.RestartGateway();
  EXPECT_TRUE(Eventually([this] { return IsKeyServed(); }, kRecoveryMs));
}

INSTANTIATE_TEST_SUITE_P(OneContent,
                         AllOverwrittenTest,
                         testing::Values("null"));

}
}

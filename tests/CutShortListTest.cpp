// Lists of the store that cannot be read to their end.

#include "tests/ServiceFixture.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

/// A store whose list of servers cannot be read beyond p0: an object without a
/// name fills the page behind it.
class CutShortListTest : public ServiceFixture
{
protected:
  void CutListShort()
  {
    fixture_.Store().SetPageLimits({ 1, SIZE_MAX });
    fixture_.Store().PutText("servers", kAnonymous, "7");
  }
  /// Makes the watchers list again.
  void ForgetHistory()
  {
    fixture_.RunFor(50);
    fixture_.Store().Put("servers", "odd", { { "note", "an event" } });
    fixture_.Store().CompactHistory();
  }
  /// Whether the gateway serves although p0 is down.
  bool UsesUnlistedServer(const Endpoint& aGateway)
  {
    fixture_.Backend(0).Crash();
    const bool isServed = IsServedAt(aGateway);
    fixture_.Backend(0).Restart();
    return isServed;
  }

  static constexpr const char* kAnonymous = "p0a";
};

// Guards against a list that was cut short and makes all servers behind the cut
// count as gone.
TEST_F(CutShortListTest, ServersBehindTheCutStayInUse)
{
  CutListShort();
  ForgetHistory();
  const int pages = fixture_.Store().PagesServed();
  fixture_.RunFor(1500);
  EXPECT_GE(fixture_.Store().PagesServed() - pages, 3);
  EXPECT_LE(fixture_.Store().PagesServed() - pages, 12);
  EXPECT_TRUE(Shows("cactuspitch_backends 3"));
  EXPECT_TRUE(UsesUnlistedServer(fixture_.GatewayAddress()));
  // Changes are still followed.
  fixture_.Store().Remove("servers", "p1");
  EXPECT_TRUE(Eventually([this] { return Shows("cactuspitch_backends 2"); }));
}

// Guards against gateways that serve nothing because the store does not say
// which further servers there are.
TEST_F(CutShortListTest, AllStartWithTheServersBeforeTheCut)
{
  fixture_.KillGateway();
  CutListShort();
  fixture_.RestartGateway();
  const auto other = fixture_.AddGateway("g2");
  EXPECT_TRUE(Eventually([&] { return IsServed() && IsServedAt(other); }));
  EXPECT_TRUE(Eventually([this] { return Shows("cactuspitch_ready 1"); }));
  EXPECT_TRUE(Shows("cactuspitch_backends 2"));
  // A server that drains shows in an event.
  fixture_.Register("p2", 1, 2);
  EXPECT_TRUE(Eventually([&] {
    return UsesUnlistedServer(fixture_.GatewayAddress()) &&
           UsesUnlistedServer(other);
  }));
  fixture_.Store().Remove("servers", kAnonymous);
  constexpr TimeMs kRelistedWithinMs = 8000;
  EXPECT_TRUE(Eventually([this] { return Shows("cactuspitch_backends 4"); },
                         kRelistedWithinMs));
}

// Guards against a gateway that starts beside one that knows all servers, and
// uses only those that it could list.
TEST_F(CutShortListTest, StartingGatewayTakesTheDirectoryOfAnother)
{
  CutListShort();
  fixture_.RunFor(500);
  const auto other = fixture_.AddGateway("g2");
  EXPECT_TRUE(Eventually([&] { return UsesUnlistedServer(other); }));
}

}
}

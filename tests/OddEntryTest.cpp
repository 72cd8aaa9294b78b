// Entries of another writer among those that the gateways list.

#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Json = nlohmann::json;
using Exchange = ScriptedServer::Exchange;

constexpr const char* kGatewayKind = "cactuspitch";
/// Names that a URI cannot hold unescaped, or that already look escaped.
constexpr std::array kOddNames = {
  "a&b",
  "a+b",
  "a#b",
  "a%b",
  "a b",
  "a/b",
  "a?b",
  "a=b",
  "a%41b",
  "a\"b",
  "a\\b",
  "a\r\nX: y",
  "\r\n",
  "&",
  "\xc3\xa9t\xc3\xa9",
  "after=z",
  "a&after=z&watch=1",
};

/// Gateways, two servers and a store whose lists have one object in each page,
/// so that each entry ends one.
class OddEntryTest : public testing::Test
{
protected:
  OddEntryTest() { fixture_.Store().SetPageLimits({ 1, SIZE_MAX }); }

  void PutOddEntries(const std::string& aKind, const std::string& aPrefix = {})
  {
    for (const auto* name : kOddNames) {
      fixture_.Store().Put(
        aKind, Concat(aPrefix, name), { { "note", "of another writer" } });
    }
  }
  /// Starts all gateways anew.
  void Restart()
  {
    fixture_.KillGateway();
    fixture_.RestartGateway();
  }
  bool IsServed()
  {
    return fixture_
             .SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "x"))
             .find("\r\n\r\nbody") != std::string::npos;
  }
  bool BecomesServed()
  {
    return Eventually([this] { return IsServed(); });
  }
  std::string MetricsPage()
  {
    return fixture_.SendToAndWait(
      fixture_.Settings().metricsListen_,
      "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
  }
  bool Eventually(const std::function<bool()>& aHolds)
  {
    const TimeMs endMs = fixture_.Loop().NowMs() + kServedWithinMs;
    while (!aHolds()) {
      if (fixture_.Loop().NowMs() > endMs) {
        return false;
      }
      fixture_.RunFor(50);
    }
    return true;
  }

  static constexpr TimeMs kServedWithinMs = 5000;
  GatewayFixture fixture_{ [](Exchange& aExchange) {
    aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, "body"));
  } };
};

// Guards against a list that is asked for without end because a name is
// written into the query as it is: no server is known and memory grows
// (review/11).
TEST_F(OddEntryTest, NamesOfServersLeaveTheOthersInUse)
{
  PutOddEntries("servers");
  PutOddEntries("servers", "zz");
  Restart();
  EXPECT_TRUE(BecomesServed());
  EXPECT_EQ(fixture_.Store().Refused(), 0);
}

TEST_F(OddEntryTest, NamesOfConfigurationsLeaveTheOthersInUse)
{
  PutOddEntries("config");
  PutOddEntries("config", "zz");
  Restart();
  EXPECT_TRUE(BecomesServed());
  EXPECT_EQ(fixture_.Store().Refused(), 0);
}

TEST_F(OddEntryTest, NamesOfEvacuationsLeaveTheOthersInForce)
{
  PutOddEntries("evacuations");
  fixture_.Store().Put("evacuations", "z", { { "by", "operator" } });
  Restart();
  fixture_.RunFor(kServedWithinMs);
  EXPECT_FALSE(IsServed()) << "the domain of all servers is evacuated";
  fixture_.Store().Remove("evacuations", "z");
  EXPECT_TRUE(BecomesServed());
  EXPECT_EQ(fixture_.Store().Refused(), 0);
}

TEST_F(OddEntryTest, NamesOfGatewaysLeaveTheOthersKnown)
{
  PutOddEntries(kGatewayKind);
  PutOddEntries(kGatewayKind, "instance.");
  Restart();
  EXPECT_TRUE(BecomesServed());
  fixture_.AddGateway("zz");
  EXPECT_TRUE(Eventually([&] {
    return MetricsPage().find("cactuspitch_peers_alive 1\n") !=
           std::string::npos;
  }));
  EXPECT_EQ(fixture_.Store().Refused(), 0);
}

}
}

// Entries of another writer among those that the gateways list and watch.

#include "common/Strings.hpp"
#include "gateway/PeerMesh.hpp"
#include "gossip_types.h"
#include "tests/GatewayFixture.hpp"
#include "tests/OddEntries.hpp"

#include <array>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

/// Odd entries, and the pages in which the store lists them.
struct OddEntryTable
{
  const char* name_;
  std::vector<OddEntry> (*entries_)();
  PageLimits pages_;
};

/// Entries of a kind that the gateways follow.
struct FollowedKind
{
  const char* name_;
  const char* kind_;
  const char* prefix_; ///< of the names that gateways look at
};

constexpr std::array kKinds = {
  FollowedKind{ "Servers", "servers", "" },
  FollowedKind{ "Configurations", "config", "" },
  FollowedKind{ "Evacuations", "evacuations", "" },
  FollowedKind{ "Gateways", "cactuspitch", "instance." },
};

/// With one object in each page, each name is asked for again.
constexpr PageLimits kSmallPages{ 1, SIZE_MAX };

const std::array kOddEntries = {
  OddEntryTable{ "Names", &OddNames, kSmallPages },
  OddEntryTable{ "Metadata", &OddMetadata, kPlatformPages },
  OddEntryTable{ "Content", &OddContent, kPlatformPages },
};

/// A gateway, two servers without keys and one with keys.
class ServiceTest : public testing::Test
{
protected:
  bool IsServed() { return IsServedAt(fixture_.GatewayAddress()); }
  bool IsServedAt(const Endpoint& aGateway)
  {
    return fixture_
             .SendToAndWait(aGateway,
                            GatewayFixture::MakeRequest("GET", "plain", "x"))
             .find("\r\n\r\nbody") != std::string::npos;
  }
  /// Whether the metrics of the first gateway have this line.
  bool Shows(const std::string& aLine)
  {
    return fixture_
             .SendToAndWait(
               fixture_.Settings().metricsListen_,
               "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
             .find(Concat(aLine, "\n")) != std::string::npos;
  }
  bool Eventually(const std::function<bool()>& aHolds, TimeMs aWithinMs = 5000)
  {
    const TimeMs endMs = fixture_.Loop().NowMs() + aWithinMs;
    while (!aHolds()) {
      if (fixture_.Loop().NowMs() > endMs) {
        return false;
      }
      fixture_.RunFor(50);
    }
    return true;
  }
  void Restart()
  {
    fixture_.KillGateway();
    fixture_.RestartGateway();
  }

  GatewayFixture fixture_{ [](Exchange& aExchange) {
    aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, "body"));
  } };
};

class OddEntryTest
  : public ServiceTest
  , public testing::WithParamInterface<std::tuple<FollowedKind, OddEntryTable>>
{
protected:
  OddEntryTest() { fixture_.Store().SetPageLimits(Odd().pages_); }

  static const FollowedKind& Kind() { return std::get<0>(GetParam()); }
  static const OddEntryTable& Odd() { return std::get<1>(GetParam()); }

  /// Puts the entries before and behind all others.
  void PutOddEntries()
  {
    for (const auto* place : { "", "zz" }) {
      for (const auto& entry : Odd().entries_()) {
        PutOddEntry(
          fixture_.Store(), Kind().kind_, Concat(Kind().prefix_, place), entry);
      }
    }
  }
  /// Changes the kind in a way that shows in its metric.
  void Change()
  {
    const std::string kind = Kind().kind_;
    if (kind == "servers") {
      fixture_.Register("p9", 0, 2);
    } else if (kind == "config") {
      fixture_.PutConfig(2, {});
    } else if (kind == "evacuations") {
      fixture_.Store().Put(kind, "z", { { "by", "operator" } });
    } else {
      fixture_.AddGateway("g9");
    }
  }
  bool IsChangeInForce()
  {
    const std::string kind = Kind().kind_;
    if (kind == "servers") {
      return Shows("cactuspitch_backends 4");
    }
    if (kind == "config") {
      return Shows("cactuspitch_config_version 2");
    }
    if (kind == "evacuations") {
      // The domain of all servers.
      return Shows("cactuspitch_ready 1") && !IsServed();
    }
    return Shows("cactuspitch_peers_alive 1");
  }
  /// Waits until the change is in force, and undoes an evacuation.
  void ExpectChangeAndService()
  {
    EXPECT_TRUE(Eventually([this] { return IsChangeInForce(); }));
    fixture_.Store().Remove("evacuations", "z");
    EXPECT_TRUE(Eventually([this] { return IsServed(); }));
    EXPECT_EQ(fixture_.Store().Refused(), 0);
  }
};

// Guards against a list that is not read to its end while an entry of another
// writer stands in it: no server is known after a restart of all gateways
// (review/11).
TEST_P(OddEntryTest, OthersInAListAreInForce)
{
  PutOddEntries();
  Change();
  Restart();
  ExpectChangeAndService();
}

// Guards against a watch that stays at such an entry.
TEST_P(OddEntryTest, LaterEventsAreInForce)
{
  PutOddEntries();
  fixture_.RunFor(500);
  PutOddEntries();
  Change();
  ExpectChangeAndService();
}

INSTANTIATE_TEST_SUITE_P(EachKind,
                         OddEntryTest,
                         testing::Combine(testing::ValuesIn(kKinds),
                                          testing::ValuesIn(kOddEntries)),
                         [](const auto& aInfo) {
                           return Concat(std::get<0>(aInfo.param).name_,
                                         std::get<1>(aInfo.param).name_);
                         });

/// A store whose list of servers cannot be read beyond p0: an object without a
/// name fills the page behind it.
class CutShortListTest : public ServiceTest
{
protected:
  void CutListShort()
  {
    fixture_.Store().SetPageLimits(kSmallPages);
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

/// A gateway that only listens to what the others tell it.
class OddNamesInGossipTest : public ServiceTest
{
protected:
  OddNamesInGossipTest()
  {
    if (!listener_.Open(address_)) {
      throw std::runtime_error("cannot bind the listener");
    }
    fixture_.Store().Put("cactuspitch",
                         "instance.listener",
                         { { "peer", address_.ToText() },
                           { "bootId", 1 },
                           { "domain", "z" },
                           { "cpuPercent", 10 } });
  }
  static nlohmann::json Registration(const std::string& aService,
                                     const std::string& aDomain)
  {
    return {
      { "address", "127.0.0.1:1" },
      { "born", 1 },
      { "info",
        { { "service", aService }, { "zone", aDomain }, { "slots", 4 } } },
      { "status", { { "state", "ready" }, { "seq", 1 } } }
    };
  }

  Endpoint address_ = FreeEndpoint();
  int heard_ = 0;
  std::set<std::string> changed_;
  std::set<std::string> removed_;
  EventLog log_{ fixture_.Loop(), LogLevel::Error, STDERR_FILENO };
  PeerMesh listener_{
    fixture_.Loop(),
    log_,
    "listener",
    "z",
    [this](const wire::Gossip& aGossip, const Endpoint&, const Endpoint&) {
      ++heard_;
      for (const auto& change : aGossip.changes) {
        (change.removed ? removed_ : changed_).insert(change.id);
      }
    },
    [] { return 0; }
  };
};

// Guards against entries that no gateway uses in datagrams: the receivers drop
// a datagram that holds a name which is none, and with it the changes beside
// it.
TEST_F(OddNamesInGossipTest, AreNotToldOn)
{
  ASSERT_TRUE(Eventually([this] { return heard_ > 0; }));
  auto& store = fixture_.Store();
  const std::string large(70000, 'x');
  // Changes that follow a first one arrive together.
  fixture_.Register("p8", 0, 2);
  fixture_.RunFor(20);
  store.Put("servers", "a\r\nX: y", { { "note", "of another writer" } });
  store.Put("servers", "a\x7f", Registration("plain", "z"));
  store.Put("servers", large, Registration("plain", "z"));
  store.Put("servers", "odd-service", Registration("pl\nain", "z"));
  store.Put("servers", "odd-domain", Registration("plain", "z\r"));
  store.Put("servers", "large-service", Registration(large, "z"));
  store.Put("servers", "large-domain", Registration("plain", large));
  store.Put("servers", "a&b", { { "note", "of another writer" } });
  store.PutText(
    "servers", "a\xff", "{\"metadata\":{\"name\":\"a\xff\",\"revision\":7}}");
  store.Remove("servers", "a\x7f");
  fixture_.Register("p9", 0, 3);
  fixture_.RunFor(1000);
  EXPECT_EQ(changed_, (std::set<std::string>{ "p8", "p9" }));
  EXPECT_EQ(removed_, std::set<std::string>{});
  // A server that is known and whose entry is overwritten is in use no more.
  store.Put("servers", "p9", { { "note", "of another writer" } });
  fixture_.RunFor(1000);
  EXPECT_EQ(removed_, std::set<std::string>{ "p9" });
}

// Guards against a datagram of an earlier version that is dropped as a whole
// because of one change.
TEST_F(OddNamesInGossipTest, LeaveTheOtherChangesOfADatagram)
{
  ASSERT_TRUE(Eventually([this] { return heard_ > 0; }));
  const auto change = [](const std::string& aId, const std::string& aService) {
    wire::BackendChange entry;
    entry.id = aId;
    entry.serviceName = aService;
    return entry;
  };
  wire::Gossip gossip;
  gossip.instance = "g1";
  gossip.changes = { change("a\xff", "plain"),
                     change("p5", "plain"),
                     change("p6", "pl\nain"),
                     change("p7", "plain") };
  PeerMesh sender(fixture_.Loop(), log_, "g1", "z", {}, [] { return 0; });
  ASSERT_TRUE(sender.Open(FreeEndpoint()));
  sender.SendTo(address_, gossip);
  fixture_.RunFor(100);
  EXPECT_EQ(changed_, (std::set<std::string>{ "p5", "p7" }));
}

}
}

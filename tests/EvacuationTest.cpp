#include "common/Strings.hpp"
#include "keyspace/KeySegment.hpp"
#include "tests/GatewayFixture.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;
using Json = nlohmann::json;

constexpr TimeMs kSecondMs = 1000;
/// Bound of the deployments from the store's acknowledgement on.
constexpr TimeMs kEvacuationMs = 5000;
/// Time until a change is in force while nothing fails.
constexpr TimeMs kChangeMs = 800;
constexpr const char* kKind = "evacuations";

bool IsServed(const std::string& aResponse)
{
  return aResponse.find(" 200 ") != std::string::npos;
}

/// Two gateways with servers of both services in the failure domains z and y.
class EvacuationTest : public testing::Test
{
protected:
  EvacuationTest()
    : fixture_(
        [this](Exchange& aExchange) {
          Count(aExchange);
          aExchange.write_(
            GatewayFixture::MakeResponse(aExchange.head_, "body"));
        },
        2,
        2)
  {
    fixture_.SetKeyedScript([this](Exchange& aExchange) {
      Count(aExchange);
      aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, "keyed"));
    });
    for (const char* id : { "p1", "k1" }) {
      auto spec = fixture_.Store().Spec("servers", id);
      spec["info"]["zone"] = "y";
      fixture_.Store().Put("servers", id, spec);
    }
    second_ = fixture_.AddGateway("g2");
    fixture_.RunFor(3 * kSecondMs);
  }

  void Evacuate(const char* aDomain)
  {
    fixture_.Store().Put(kKind, aDomain, Json::object());
  }
  void TakeBack(const char* aDomain)
  {
    fixture_.Store().Remove(kKind, aDomain);
  }

  /// Sends four times aCount requests, half of them to each gateway and
  /// service; returns those that were not served. Few of them, since one owner
  /// has to run all that have keys.
  int Send(int aCount = 4)
  {
    requests_.clear();
    int failed = 0;
    for (int count = 0; count < aCount; ++count) {
      const auto id = Concat("r", ++sent_);
      const auto plain = GatewayFixture::MakeRequest("GET", "plain", id);
      const auto keyed = GatewayFixture::MakeRequest(
        "GET",
        "keyed",
        id,
        Concat("Cactuspitch-Shard-Key: ", (sent_ * 9973) % kKeyCount, "\r\n"));
      for (const auto& gateway : { fixture_.GatewayAddress(), second_ }) {
        for (const auto& request : { plain, keyed }) {
          failed += IsServed(fixture_.SendToAndWait(gateway, request)) ? 0 : 1;
        }
      }
    }
    return failed;
  }
  int RequestsTo(const std::set<std::string>& aServers) const
  {
    int sum = 0;
    for (const auto& [server, count] : requests_) {
      sum += aServers.contains(server) ? count : 0;
    }
    return sum;
  }
  void Count(const Exchange& aExchange)
  {
    ++requests_[std::string(
      aExchange.head_.Field("Cactuspitch-Target-Instance"))];
  }
  /// Waits for the first gateway.
  bool WaitUntilReady()
  {
    bool ready = false;
    for (int check = 0; !ready && check < 50; ++check) {
      fixture_.RunFor(100);
      ready = IsServed(
        fixture_.SendToAndWait(fixture_.Settings().readyListen_,
                               "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
    }
    return ready;
  }

  std::map<std::string, int> requests_;
  int sent_ = 0;
  GatewayFixture fixture_;
  Endpoint second_;
  const std::set<std::string> inZ_{ "p0", "k0" };
  const std::set<std::string> inY_{ "p1", "k1" };
};

// Guards against requests to servers of an evacuated failure domain, keys that
// stay there, and a domain that is not used again.
TEST_F(EvacuationTest, DomainGetsNoRequestsUntilItIsTakenBack)
{
  EXPECT_EQ(Send(), 0);
  EXPECT_GT(RequestsTo(inZ_), 0);
  Evacuate("z");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
  TakeBack("z");
  Evacuate("y");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inY_), 0);
}

// Guards against gateways that don't watch the store and hear of an evacuation
// late or never. Six gateways, three of which watch.
TEST_F(EvacuationTest, ReachesGatewaysThatDoNotWatch)
{
  std::vector<Endpoint> gateways{ fixture_.GatewayAddress(), second_ };
  for (const char* name : { "g3", "g4", "g5", "g6" }) {
    gateways.push_back(fixture_.AddGateway(name));
  }
  // Until the new gateways know who leads and watches.
  fixture_.RunFor(4 * kSecondMs);
  const auto ask = [&] {
    requests_.clear();
    int failed = 0;
    for (const auto& gateway : gateways) {
      failed += IsServed(fixture_.SendToAndWait(
                  gateway,
                  GatewayFixture::MakeRequest("GET", "plain", Concat(++sent_))))
                  ? 0
                  : 1;
    }
    return failed;
  };
  Evacuate("z");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(ask(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
  TakeBack("z");
  Evacuate("y");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(ask(), 0);
  EXPECT_EQ(RequestsTo(inY_), 0);
}

// Guards against an evacuation that ends because the store is away, and against
// a gateway that starts meanwhile and does not know of it.
TEST_F(EvacuationTest, HoldsWithoutTheStoreAndOverARestart)
{
  Evacuate("z");
  fixture_.RunFor(kChangeMs);
  fixture_.SetStoreDown(true);
  fixture_.RunFor(3 * kSecondMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
  fixture_.KillGateway();
  fixture_.RestartGateway();
  ASSERT_TRUE(WaitUntilReady());
  // Nobody can lead without the store, and nobody tells the owners of keys.
  Send();
  EXPECT_EQ(RequestsTo(inZ_), 0);
  EXPECT_GT(RequestsTo({ "p1" }), 0);
  // It is taken back while the store is away from all gateways.
  TakeBack("z");
  Evacuate("y");
  fixture_.SetStoreDown(false);
  fixture_.RunFor(4 * kSecondMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inY_), 0);
}

// Guards against a leader that ends between the operator's write and the table
// that moves the keys.
TEST_F(EvacuationTest, HoldsWhenAGatewayIsKilledInBetween)
{
  Evacuate("z");
  fixture_.RunFor(250);
  fixture_.KillGateway();
  fixture_.RunFor(kEvacuationMs - 250);
  fixture_.RestartGateway();
  ASSERT_TRUE(WaitUntilReady());
  fixture_.RunFor(kSecondMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
}

// Guards against domains that are emptied one after the other, each taken back
// and set again at once, of which the wrong one is left.
TEST_F(EvacuationTest, FollowsQuickChanges)
{
  Evacuate("z");
  fixture_.RunFor(50);
  Evacuate("y");
  TakeBack("z");
  Evacuate("z");
  TakeBack("y");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
  Evacuate("y");
  TakeBack("z");
  fixture_.RunFor(2 * kSecondMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inY_), 0);
}

// Guards against callers that wait until their deadline because all domains are
// evacuated, and against requests to one of them.
TEST_F(EvacuationTest, RefusesAtOnceWhenAllDomainsAreEvacuated)
{
  Evacuate("y");
  Evacuate("z");
  fixture_.RunFor(kChangeMs);
  requests_.clear();
  for (const char* service : { "plain", "keyed" }) {
    const TimeMs startMs = fixture_.Loop().NowMs();
    const auto response = fixture_.SendAndWait(GatewayFixture::MakeRequest(
      "GET", service, "x", "Cactuspitch-Shard-Key: 7\r\n"));
    EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
    EXPECT_NE(response.find("evacuated\n"), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
    EXPECT_LT(fixture_.Loop().NowMs() - startMs, 100);
  }
  EXPECT_TRUE(requests_.empty());
  TakeBack("y");
  fixture_.RunFor(2 * kSecondMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
}

// Guards against entries of another writer: one that can't be read is an
// evacuation all the same, one of an unknown domain changes nothing.
TEST_F(EvacuationTest, OddEntries)
{
  fixture_.Store().Put(kKind, "nowhere", Json::object());
  fixture_.Store().Put(kKind, "a\tb", Json::object());
  fixture_.Store().Put(kKind, "z", "soon");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
  EXPECT_GT(RequestsTo({ "p1" }), 0);
}

// Guards against an evacuation that is ignored after the store was restored,
// because its revision is below the earlier ones.
TEST_F(EvacuationTest, FollowsARestoredStore)
{
  for (int count = 0; count < 50; ++count) {
    fixture_.Store().Put("other", "object", { { "count", count } });
  }
  fixture_.RunFor(kSecondMs);
  fixture_.SetStoreDown(true);
  fixture_.RunFor(300);
  fixture_.Store().Restore(kSecondMs + 1000);
  Evacuate("z");
  fixture_.SetStoreDown(false);
  fixture_.RunFor(3 * kSecondMs);
  EXPECT_EQ(Send(), 0);
  EXPECT_EQ(RequestsTo(inZ_), 0);
}

/// The same with servers that bear few requests while they are cold.
class ColdServerTest : public EvacuationTest
{
protected:
  static constexpr int kLimit = 10; ///< requests in one second
  /// For Send(): more than a cold server bears.
  static constexpr int kFlood = 12;
  ColdServerTest()
  {
    auto config = fixture_.Store().Spec("config", "main");
    config["version"] = "r2";
    for (auto& service : config["services"]) {
      service["cold-per-s"] = kLimit;
      service["cold-start-s"] = 2;
    }
    fixture_.Store().Put("config", "main", config);
    fixture_.RunFor(kChangeMs);
  }
  void SetCold(double aSeconds)
  {
    for (const char* id : { "p0", "p1", "k0", "k1" }) {
      auto spec = fixture_.Store().Spec("servers", id);
      spec["status"]["cold-remaining-s"] = aSeconds;
      fixture_.Store().Put("servers", id, spec);
    }
  }
};

// Guards against servers that become cold while they are in use and get the
// requests of warm ones, and against refusals that outlast it. Two gateways, 48
// requests within a second.
TEST_F(ColdServerTest, GetFewRequestsWhileTheyAreCold)
{
  EXPECT_EQ(Send(kFlood), 0);
  EXPECT_GT(RequestsTo(inZ_), 2 * kLimit);
  SetCold(2);
  fixture_.RunFor(kChangeMs);
  const TimeMs startMs = fixture_.Loop().NowMs();
  EXPECT_GT(Send(kFlood), 0);
  EXPECT_LT(fixture_.Loop().NowMs() - startMs, kSecondMs);
  for (const char* server : { "p0", "p1", "k0", "k1" }) {
    EXPECT_LE(RequestsTo({ server }), kLimit) << server;
  }
  const auto refused =
    fixture_.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "x"));
  EXPECT_NE(refused.find("all-cold\n"), std::string::npos) << refused;
  SetCold(0);
  fixture_.RunFor(4 * kSecondMs);
  EXPECT_EQ(Send(kFlood), 0);
}

// Guards against a crash of servers that became cold while their domain was
// evacuated: when it is taken back they count as cold. All requests have to go
// there.
TEST_F(ColdServerTest, DomainComesBackCold)
{
  Evacuate("z");
  fixture_.RunFor(kChangeMs);
  TakeBack("z");
  Evacuate("y");
  fixture_.RunFor(kChangeMs);
  EXPECT_GT(Send(kFlood), 0);
  EXPECT_EQ(RequestsTo(inY_), 0);
  EXPECT_GT(RequestsTo({ "p0" }), 0);
  EXPECT_LE(RequestsTo({ "p0" }), kLimit);
  EXPECT_LE(RequestsTo({ "k0" }), kLimit);
  fixture_.RunFor(4 * kSecondMs);
  EXPECT_EQ(Send(), 0);
}

// Guards against a cold server that is only known to the gateway that got its
// answer, and against a field about it that callers get.
TEST_F(ColdServerTest, IsToldToTheOtherGateways)
{
  Evacuate("y");
  fixture_.RunFor(kChangeMs);
  EXPECT_EQ(Send(), 0);
  fixture_.SetKeyedScript([](Exchange& aExchange) {
    auto response = GatewayFixture::MakeResponse(aExchange.head_, "keyed");
    response.insert(response.find("Content-Length"),
                    "Cactuspitch-Cold-Remaining: 2000\r\n");
    aExchange.write_(response);
  });
  const auto ask = [&](const Endpoint& aGateway) {
    return fixture_.SendToAndWait(
      aGateway,
      GatewayFixture::MakeRequest(
        "GET", "keyed", Concat(++sent_), "Cactuspitch-Shard-Key: 7\r\n"));
  };
  const auto first = ask(fixture_.GatewayAddress());
  EXPECT_TRUE(IsServed(first));
  EXPECT_EQ(first.find("Cold-Remaining"), std::string::npos);
  fixture_.RunFor(300);
  // Each of the two gateways may send one or two in a second.
  int served = 0;
  for (int count = 0; count < 4; ++count) {
    served += IsServed(ask(second_)) ? 1 : 0;
  }
  EXPECT_LE(served, 2);
}

}
}

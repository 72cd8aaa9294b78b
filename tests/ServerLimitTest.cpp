#include "common/Strings.hpp"
#include "tests/DelayedTasks.hpp"
#include "tests/GatewayFixture.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

constexpr TimeMs kSecondMs = 1000;
constexpr TimeMs kWindowMs = 4 * kSecondMs;

std::string MakeLimitedResponse(const Exchange& aExchange,
                                const std::string& aLimit)
{
  auto text = GatewayFixture::MakeResponse(aExchange.head_, "body");
  if (!aLimit.empty()) {
    text.insert(text.find("\r\n") + 2,
                Concat("Server-Limit: ", aLimit, "\r\n"));
  }
  return text;
}

bool IsServed(const std::string& aResponse)
{
  return aResponse.find("\r\n\r\nbody") != std::string::npos;
}

/// Keyed and plain requests to several gateways, and the times at which the
/// requests reach backend servers that name a limit.
class LimitRig
{
public:
  explicit LimitRig(int aGateways, int aKeyedServers = 1)
    : fixture_(
        [this](Exchange& aExchange) {
          const bool limited = aExchange.server_ == &fixture_.Backend(0);
          Respond(aExchange, limited ? plainLimit_ : "", limited);
        },
        2,
        aKeyedServers)
  {
    fixture_.SetKeyedScript([this](Exchange& aExchange) {
      // Only one of the owners names a limit.
      const auto target = aExchange.head_.Field("Cactuspitch-Target-Instance");
      if (limitedOwner_.empty()) {
        limitedOwner_ = target;
      }
      const bool limited = target == limitedOwner_;
      Respond(aExchange, limited ? keyedLimit_ : "", limited);
    });
    gateways_.push_back(fixture_.GatewayAddress());
    for (int index = 1; index < aGateways; ++index) {
      gateways_.push_back(fixture_.AddGateway(Concat("g", index + 1)));
    }
    fixture_.RunFor(2 * kSecondMs);
  }

  /// Sends requests to the first aGateways gateways in turn.
  void Offer(const std::string& aHost,
             double aPerSecond,
             TimeMs aDurationMs,
             size_t aGateways)
  {
    Send(aPerSecond, aDurationMs, [&](int aIndex) {
      SendOne(aHost, static_cast<size_t>(aIndex) % aGateways, 77);
    });
  }
  /// Sends requests for different keys to all gateways in turn.
  void OfferKeys(double aPerSecond, TimeMs aDurationMs)
  {
    constexpr int kKeys = 20;
    constexpr int kStep = 3276;
    Send(aPerSecond, aDurationMs, [&](int aIndex) {
      SendOne("keyed",
              static_cast<size_t>(aIndex) % gateways_.size(),
              aIndex % kKeys * kStep);
    });
  }
  /// Sends one request to a gateway and waits a moment.
  void OfferTo(const std::string& aHost, size_t aGateway)
  {
    SendOne(aHost, aGateway, 77);
    fixture_.RunFor(200);
  }

  /// Largest number of requests that reached the limited server in 4 s, from
  /// aFromMs on.
  int64_t MostInWindow(TimeMs aFromMs) const
  {
    int64_t most = 0;
    for (auto first = std::ranges::lower_bound(arrivedMs_, aFromMs);
         first != arrivedMs_.end();
         ++first) {
      const auto last =
        std::ranges::lower_bound(arrivedMs_, *first + kWindowMs);
      most = std::max<int64_t>(most, last - first);
    }
    return most;
  }
  int64_t ArrivedSince(TimeMs aFromMs) const
  {
    return std::ranges::count_if(
      arrivedMs_, [&](TimeMs aAtMs) { return aAtMs >= aFromMs; });
  }
  int64_t ServedCount() const
  {
    return std::ranges::count_if(callers_, [](const auto& aCaller) {
      return IsServed(aCaller->Received());
    });
  }
  int64_t AnsweredCount() const
  {
    return std::ranges::count_if(callers_, [](const auto& aCaller) {
      return aCaller->ResponseCount() == 1;
    });
  }
  int64_t OfferedCount() const { return std::ssize(callers_); }
  TimeMs NowMs() { return fixture_.Loop().NowMs(); }
  GatewayFixture& Fixture() { return fixture_; }

  std::string keyedLimit_;
  std::string plainLimit_;
  TimeMs responseDelayMs_ = 0;

private:
  void Send(double aPerSecond,
            TimeMs aDurationMs,
            const std::function<void(int aIndex)>& aSendOne)
  {
    const TimeMs beginMs = NowMs();
    const auto total = static_cast<int>(
      aPerSecond * static_cast<double>(aDurationMs) / kSecondMs);
    for (int index = 0; index < total; ++index) {
      const auto dueMs =
        beginMs + static_cast<TimeMs>(index * kSecondMs / aPerSecond);
      fixture_.RunFor(std::max<TimeMs>(dueMs - NowMs(), 0));
      aSendOne(index);
    }
    fixture_.RunFor(500);
  }
  void SendOne(const std::string& aHost, size_t aGateway, int aKey)
  {
    callers_.push_back(std::make_unique<TestCaller>(
      fixture_.Loop(),
      gateways_[aGateway],
      GatewayFixture::MakeRequest(
        "GET",
        aHost,
        Concat("r", ++requests_),
        Concat("Cactuspitch-Shard-Key: ", aKey, "\r\n"))));
  }
  void Respond(Exchange& aExchange, const std::string& aLimit, bool aCounts)
  {
    if (aCounts) {
      arrivedMs_.push_back(NowMs());
    }
    const auto text = MakeLimitedResponse(aExchange, aLimit);
    if (responseDelayMs_ == 0) {
      aExchange.write_(text);
    } else {
      delayed_.After(responseDelayMs_,
                     [write = aExchange.write_, text] { write(text); });
    }
  }

  std::string limitedOwner_;
  std::vector<TimeMs> arrivedMs_;
  std::vector<Endpoint> gateways_;
  int requests_ = 0;
  GatewayFixture fixture_;
  DelayedTasks delayed_{ fixture_.Loop() };
  std::vector<std::unique_ptr<TestCaller>> callers_; ///< use fixture_'s loop
};

// Guards against gateways that together exceed the limit of a server, and
// against limits that starve it.
TEST(ServerLimit, GatewaysTogetherKeepTheLimitOfAnOwner)
{
  LimitRig rig(4);
  rig.Offer("keyed", 40, kSecondMs, 4);
  rig.keyedLimit_ = "8";
  const auto namedMs = rig.NowMs();
  rig.Offer("keyed", 40, 7 * kSecondMs, 4);
  EXPECT_LE(rig.MostInWindow(namedMs + 500), 8 * 4 * 3 / 2 + 5);
  EXPECT_GE(rig.ArrivedSince(namedMs + 500), 8 * 6 * 7 / 10);
  EXPECT_EQ(rig.AnsweredCount(), rig.OfferedCount());
}

// Guards against sending what exceeds a server's limit to it while others have
// room, and against a server that gets nothing because it named a limit.
TEST(ServerLimit, RequestsWithoutKeysGoToOtherServers)
{
  LimitRig rig(3);
  rig.responseDelayMs_ = 150;
  rig.plainLimit_ = "2";
  rig.Offer("plain", 20, kSecondMs, 3);
  const auto namedMs = rig.NowMs();
  rig.Offer("plain", 20, 6 * kSecondMs, 3);
  EXPECT_LE(rig.MostInWindow(namedMs), 2 * 4 * 3 / 2 + 5);
  EXPECT_GE(rig.ArrivedSince(namedMs), 2);
  EXPECT_EQ(rig.ServedCount(), rig.OfferedCount());
}

// Guards against requests that wait for their deadline although the owner of
// their key is known to take none, and against an untrue Retry-After.
TEST(ServerLimit, RejectsAtOnceWhatTheOwnerDoesNotTake)
{
  LimitRig rig(1);
  rig.keyedLimit_ = "0.2";
  rig.Offer("keyed", 1, kSecondMs, 1);
  const auto beginMs = rig.NowMs();
  const auto response = rig.Fixture().SendAndWait(GatewayFixture::MakeRequest(
    "GET", "keyed", "x", "Cactuspitch-Shard-Key: 77\r\n"));
  EXPECT_LT(rig.NowMs() - beginMs, 100);
  EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
  EXPECT_NE(response.find("owner-limited"), std::string::npos) << response;
  const auto field = response.find("Retry-After: ");
  ASSERT_NE(field, std::string::npos);
  EXPECT_GT(std::stod(response.substr(field + 13)), 3);
  EXPECT_LE(std::stod(response.substr(field + 13)), 5);
}

// Guards against gateways that exceed a limit until they are told themselves.
TEST(ServerLimit, OtherGatewaysKeepALimitThatTheyHeardOf)
{
  LimitRig rig(2);
  rig.keyedLimit_ = "0.1";
  rig.Offer("keyed", 1, kSecondMs, 1);
  rig.keyedLimit_ = "";
  const auto heardMs = rig.NowMs();
  for (int index = 0; index < 5; ++index) {
    rig.OfferTo("keyed", 1);
  }
  EXPECT_EQ(rig.ArrivedSince(heardMs), 0);
}

// Guards against a limit of a server without requests that only its responses
// to commands show.
TEST(ServerLimit, LimitInResponsesToCommandsIsKept)
{
  LimitRig rig(2);
  rig.Fixture().SetCommandScript([](Exchange& aExchange) {
    aExchange.write_("HTTP/1.1 200 OK\r\nServer-Limit: 0.1\r\n"
                     "Content-Length: 0\r\n\r\n");
  });
  // Leases are renewed within this time.
  rig.Fixture().RunFor(3 * kSecondMs);
  const auto heardMs = rig.NowMs();
  rig.Offer("keyed", 10, kSecondMs, 2);
  EXPECT_LE(rig.ArrivedSince(heardMs), 1);
}

// Guards against servers that stay limited after they stopped naming a limit,
// and against a burst at its end.
TEST(ServerLimit, EndOfALimitReturnsTheTrafficGradually)
{
  LimitRig rig(2);
  rig.keyedLimit_ = "4";
  rig.Offer("keyed", 40, 3 * kSecondMs, 2);
  rig.keyedLimit_ = "";
  const auto endedMs = rig.NowMs();
  rig.Offer("keyed", 40, kSecondMs, 2);
  EXPECT_LT(rig.ArrivedSince(endedMs), 40);
  rig.Offer("keyed", 40, 3 * kSecondMs, 2);
  const auto recoveredMs = rig.NowMs();
  rig.Offer("keyed", 40, kSecondMs, 2);
  EXPECT_EQ(rig.ArrivedSince(recoveredMs), 40);
}

// Guards against a limit that outlives the incarnation that named it.
TEST(ServerLimit, NewIncarnationIsNotLimited)
{
  int requests = 0;
  std::string limit = "0.1";
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++requests;
      aExchange.write_(MakeLimitedResponse(aExchange, limit));
    },
    1);
  const auto ask = [&](int aId) {
    return IsServed(fixture.SendAndWait(
      GatewayFixture::MakeRequest("GET", "plain", Concat(aId))));
  };
  EXPECT_TRUE(ask(1));
  EXPECT_FALSE(ask(2));
  limit = "";
  fixture.Reregister(0, 2);
  fixture.RunFor(500);
  EXPECT_TRUE(ask(3));
  EXPECT_TRUE(ask(4));
  EXPECT_EQ(requests, 3);
}

// Guards against malformed limits that limit a server or spoil its answer.
TEST(ServerLimit, MalformedLimitsAreIgnored)
{
  for (const char* value :
       { "", "-1", "0", "nan", "1e400", "0,1", "0.1\r\nServer-Limit: 0.1" }) {
    GatewayFixture fixture(
      [&](Exchange& aExchange) {
        auto text = GatewayFixture::MakeResponse(aExchange.head_, "body");
        text.insert(text.find("\r\n") + 2,
                    Concat("Server-Limit: ", value, "\r\n"));
        aExchange.write_(text);
      },
      1);
    for (int id = 0; id < 10; ++id) {
      const auto response = fixture.SendAndWait(
        GatewayFixture::MakeRequest("GET", "plain", Concat(id)));
      EXPECT_TRUE(IsServed(response)) << value;
      EXPECT_EQ(response.find("Server-Limit"), std::string::npos) << value;
    }
  }
}

// Guards against keys that stay with an owner that takes only a fraction of
// their requests.
TEST(ServerLimit, KeysOfALimitedOwnerMove)
{
  LimitRig rig(2, 2);
  rig.OfferKeys(40, 2 * kSecondMs);
  rig.keyedLimit_ = "3";
  rig.OfferKeys(40, 7 * kSecondMs);
  const auto served = rig.ServedCount();
  rig.OfferKeys(40, 2 * kSecondMs);
  EXPECT_GE(rig.ServedCount() - served, 60);
}

}
}

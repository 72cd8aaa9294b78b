#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

std::string MakeResponse(const Exchange& aExchange, std::string_view aFields)
{
  const auto plain = GatewayFixture::MakeResponse(aExchange.head_, "body");
  const auto line = plain.find("\r\n") + 2;
  return Concat(plain.substr(0, line), aFields, plain.substr(line));
}

/// Time until a change takes effect: changes are batched for 200 ms before the
/// next watch.
constexpr TimeMs kWatchDelayMs = 500;
constexpr std::string_view kLeaving = "Server-Leaving: 1\r\n";

std::string Refusal(std::string_view aFields)
{
  return Concat("HTTP/1.1 503 Busy\r\nCactuspitch-Not-Executed: 1\r\n",
                aFields,
                "Content-Length: 0\r\n\r\n");
}

bool IsServed(const std::string& aResponse)
{
  return aResponse.find("\r\n\r\nbody") != std::string::npos;
}

/// Number of requests that each server received.
struct Counts
{
  std::map<ScriptedServer*, int> requests_;
  ScriptedServer* notifier_ = nullptr; ///< server that sends the notice
};

// Guards against requests to a server after it announced in any kind of
// response that it leaves, and against the notice reaching callers.
TEST(ServerNotices, LeavingServerGetsNoNewRequests)
{
  using Script = std::function<void(Exchange&)>;
  const std::map<std::string, Script> responses = {
    { "success",
      [](Exchange& aExchange) {
        aExchange.write_(MakeResponse(aExchange, kLeaving));
      } },
    { "refusal",
      [](Exchange& aExchange) { aExchange.write_(Refusal(kLeaving)); } },
    { "failure",
      [](Exchange& aExchange) {
        auto text = MakeResponse(aExchange, kLeaving);
        text.replace(text.find("200 OK"), 6, "500 No");
        aExchange.write_(text);
      } },
    { "broken body",
      [](Exchange& aExchange) {
        auto text = MakeResponse(aExchange, kLeaving);
        text.pop_back();
        aExchange.write_(text);
        aExchange.close_();
      } },
  };
  for (const auto& entry : responses) {
    const auto& name = entry.first;
    const auto& response = entry.second;
    Counts counts;
    GatewayFixture fixture(
      [&](Exchange& aExchange) {
        ++counts.requests_[aExchange.server_];
        if (counts.notifier_ == nullptr) {
          counts.notifier_ = aExchange.server_;
          response(aExchange);
        } else {
          aExchange.write_(MakeResponse(aExchange, ""));
        }
      },
      2);
    const auto first =
      fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "first"));
    ASSERT_NE(counts.notifier_, nullptr) << name;
    EXPECT_EQ(first.find("Server-Leaving"), std::string::npos) << name;
    for (int id = 0; id < 20; ++id) {
      EXPECT_TRUE(IsServed(fixture.SendAndWait(
        GatewayFixture::MakeRequest("GET", "plain", Concat(id)))))
        << name;
    }
    EXPECT_EQ(counts.requests_[counts.notifier_], 1) << name;
  }
}

// Guards against a leaving server that is used again because a watch replays
// its registration, and against a new incarnation at its address that is not
// used.
TEST(ServerNotices, LeavingOutlivesReplaysAndEndsWithTheIncarnation)
{
  Counts counts;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++counts.requests_[aExchange.server_];
      counts.notifier_ = aExchange.server_;
      aExchange.write_(MakeResponse(
        aExchange,
        counts.requests_.at(aExchange.server_) == 1 ? kLeaving : ""));
    },
    1);
  EXPECT_TRUE(IsServed(
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "1"))));
  fixture.Reregister(0, 1);
  fixture.RunFor(kWatchDelayMs);
  EXPECT_FALSE(IsServed(
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "2"))));
  EXPECT_EQ(counts.requests_.at(&fixture.Backend(0)), 1);
  fixture.Reregister(0, 2);
  fixture.RunFor(kWatchDelayMs);
  EXPECT_TRUE(IsServed(
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "3"))));
}

// Guards against another gateway that keeps sending requests to a leaving
// server until it learns of the leave by itself.
TEST(ServerNotices, OtherGatewaysLearnOfLeavingServers)
{
  int requests = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      aExchange.write_(
        MakeResponse(aExchange, ++requests == 1 ? kLeaving : ""));
    },
    1);
  const auto second = fixture.AddGateway("g2");
  fixture.RunFor(1500);
  EXPECT_TRUE(IsServed(
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "1"))));
  fixture.RunFor(1000);
  EXPECT_FALSE(IsServed(fixture.SendToAndWait(
    second, GatewayFixture::MakeRequest("GET", "plain", "2"))));
  EXPECT_EQ(requests, 1);
}

// Guards against requests to a server during the pause that it asked for, and
// against a server that is never used again after it.
TEST(ServerNotices, PausedServerGetsNoRequestsUntilThePauseEnds)
{
  int requests = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      aExchange.write_(++requests == 1 ? Refusal("Retry-After: 2\r\n")
                                       : MakeResponse(aExchange, ""));
    },
    1);
  fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "first"));
  for (int id = 0; id < 18; ++id) {
    EXPECT_FALSE(IsServed(fixture.SendAndWait(
      GatewayFixture::MakeRequest("GET", "plain", Concat(id)))));
    fixture.RunFor(100);
  }
  EXPECT_EQ(requests, 1);
  fixture.RunFor(1200);
  for (int id = 100; id < 110; ++id) {
    EXPECT_TRUE(IsServed(fixture.SendAndWait(
      GatewayFixture::MakeRequest("GET", "plain", Concat(id)))));
  }
}

// Guards against queueing requests although the only server is paused, and
// against a Retry-After time other than the rest of the pause.
TEST(ServerNotices, RejectsAtOnceWhileAllServersArePaused)
{
  int requests = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++requests;
      aExchange.write_(Refusal("Retry-After: 3\r\n"));
    },
    1);
  fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "1"));
  fixture.RunFor(600);
  const auto begin = SteadyClock().NowMs();
  const auto response =
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "2"));
  EXPECT_LT(SteadyClock().NowMs() - begin, 100);
  EXPECT_NE(response.find(" 503 "), std::string::npos);
  const auto field = response.find("Retry-After: ");
  ASSERT_NE(field, std::string::npos);
  EXPECT_GT(std::stod(response.substr(field + 13)), 1.5);
  EXPECT_LT(std::stod(response.substr(field + 13)), 4);
  EXPECT_EQ(requests, 1);
}

// Guards against a server that gets all queued requests at once after a pause,
// because earlier requests succeeded there during the pause.
TEST(ServerNotices, RequestsReturnOneAtATimeAfterAPause)
{
  std::vector<Exchange> held;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      if (aExchange.head_.Field("Cactuspitch-Request-Id") == "refused") {
        aExchange.write_(Refusal("Retry-After: 1\r\n"));
      } else {
        held.push_back(aExchange);
      }
    },
    1);
  const auto respondToAll = [&] {
    for (const auto& exchange : std::exchange(held, {})) {
      exchange.write_(MakeResponse(exchange, ""));
    }
  };
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (const char* id : { "a", "b", "c" }) {
    callers.push_back(
      fixture.Send(GatewayFixture::MakeRequest("GET", "plain", id)));
  }
  ASSERT_TRUE(fixture.RunUntil([&] { return held.size() == 3; }));
  fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "refused"));
  respondToAll();
  fixture.RunFor(1300);
  for (int id = 0; id < 4; ++id) {
    callers.push_back(
      fixture.Send(GatewayFixture::MakeRequest("GET", "plain", Concat(id))));
  }
  fixture.RunFor(40);
  EXPECT_EQ(held.size(), 1U);
  respondToAll();
  fixture.RunFor(40);
  EXPECT_EQ(held.size(), 2U);
}

// Guards against ignoring a pause given in fractions of a second.
TEST(ServerNotices, FractionalPauseIsKept)
{
  int requests = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      aExchange.write_(++requests == 1 ? Refusal("Retry-After: 1.5\r\n")
                                       : MakeResponse(aExchange, ""));
    },
    1);
  fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "first"));
  fixture.RunFor(1200);
  EXPECT_FALSE(IsServed(
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "2"))));
  EXPECT_EQ(requests, 1);
  fixture.RunFor(700);
  EXPECT_TRUE(IsServed(
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "3"))));
}

// Guards against malformed Retry-After values that exclude a server or end the
// process.
TEST(ServerNotices, MalformedPausesAreIgnored)
{
  for (const char* value : { "",
                             "-1",
                             "1.5.5",
                             ".5",
                             "1.",
                             "Fri, 04 Dec 2026 12:00:00 GMT",
                             "1000000000000",
                             "99999999999999999999999999",
                             "5, 6",
                             "5\r\nRetry-After: 6",
                             "0x10" }) {
    int requests = 0;
    GatewayFixture fixture(
      [&](Exchange& aExchange) {
        aExchange.write_(++requests == 1
                           ? Refusal(Concat("Retry-After: ", value, "\r\n"))
                           : MakeResponse(aExchange, ""));
      },
      1);
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "1"));
    EXPECT_TRUE(IsServed(
      fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "2"))))
      << value;
  }
}

// Guards against keys that stay with a leaving server while its registration
// does not show yet that it leaves.
TEST(ServerNotices, KeysOfALeavingServerMove)
{
  GatewayFixture fixture([](Exchange&) {}, 1, 2);
  std::string first;
  fixture.SetKeyedScript([&](Exchange& aExchange) {
    const std::string target(
      aExchange.head_.Field("Cactuspitch-Target-Instance"));
    if (first.empty()) {
      first = target;
    }
    aExchange.write_(MakeResponse(aExchange, target == first ? kLeaving : ""));
  });
  const auto ask = [&](int aId) {
    return fixture.SendAndWait(GatewayFixture::MakeRequest(
      "GET", "keyed", Concat(aId), "Cactuspitch-Shard-Key: 77\r\n"));
  };
  EXPECT_TRUE(IsServed(ask(0)));
  int misroutedRequests = 0;
  fixture.SetKeyedScript([&](Exchange& aExchange) {
    misroutedRequests +=
      aExchange.head_.Field("Cactuspitch-Target-Instance") == first;
    aExchange.write_(MakeResponse(aExchange, ""));
  });
  fixture.RunFor(1000);
  for (int id = 1; id < 10; ++id) {
    EXPECT_TRUE(IsServed(ask(id)));
  }
  EXPECT_EQ(misroutedRequests, 0);
}

// Guards against keys that stay with a leaving server that receives no
// requests: it announces the leave only in its responses to commands.
TEST(ServerNotices, KeysOfAnIdleLeavingServerMove)
{
  GatewayFixture fixture([](Exchange&) {}, 1, 2);
  const auto ownerOf = [&](const std::string& aId) {
    std::string owner;
    fixture.SetKeyedScript([&](Exchange& aExchange) {
      owner = aExchange.head_.Field("Cactuspitch-Target-Instance");
      aExchange.write_(MakeResponse(aExchange, ""));
    });
    EXPECT_TRUE(IsServed(fixture.SendAndWait(GatewayFixture::MakeRequest(
      "GET", "keyed", aId, "Cactuspitch-Shard-Key: 77\r\n"))));
    return owner;
  };
  const auto first = ownerOf("1");
  fixture.SetCommandScript([&](Exchange& aExchange) {
    const bool leaves =
      aExchange.head_.Field("Cactuspitch-Target-Instance") == first;
    aExchange.write_(Concat("HTTP/1.1 200 OK\r\n",
                            leaves ? kLeaving : "",
                            "Content-Length: 0\r\n\r\n"));
  });
  // Leases are renewed within this time.
  fixture.RunFor(5000);
  EXPECT_NE(ownerOf("2"), first);
}

}
}

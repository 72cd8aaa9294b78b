#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <ctime>
#include <memory>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

void Echo(Exchange& aExchange)
{
  aExchange.write_(GatewayFixture::MakeResponse(
    aExchange.head_,
    std::string(aExchange.head_.Field("Cactuspitch-Request-Id")) +
      aExchange.body_));
}

int StatusOf(const std::string& aResponse)
{
  return aResponse.size() < 12 ? 0 : std::stoi(aResponse.substr(9, 3));
}

/// Responds to the first request by aFirst and echoes later ones.
ScriptedServer::Script FirstThenEcho(ScriptedServer::Script aFirst)
{
  auto count = std::make_shared<int>(0);
  return [count, aFirst = std::move(aFirst)](Exchange& aExchange) {
    if ((*count)++ == 0) {
      aFirst(aExchange);
    } else {
      Echo(aExchange);
    }
  };
}

// Guards against a broken request path from caller to backend server.
TEST(Gateway, ServesRequests)
{
  GatewayFixture fixture(Echo);
  const auto response = fixture.SendAndWait(
    GatewayFixture::MakeRequest("POST", "plain", "1", "", "body"));
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_NE(response.find("1body"), std::string::npos);
  EXPECT_EQ(StatusOf(fixture.SendAndWait(GatewayFixture::MakeRequest(
              "GET", "keyed", "2", "Cactuspitch-Shard-Key: 77\r\n"))),
            200);
  EXPECT_EQ(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("GET", "nobody", "3"))),
            404);
}

// Guards against pipelined responses in the wrong order.
TEST(Gateway, RespondsToPipelinedRequestsInOrder)
{
  auto held = std::make_shared<std::vector<Exchange>>();
  GatewayFixture fixture([held](Exchange& aExchange) {
    // The first request gets its response last.
    held->push_back(aExchange);
    if (held->size() == 3) {
      for (auto it = held->rbegin(); it != held->rend(); ++it) {
        Echo(*it);
      }
    }
  });
  const auto responses =
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "one") +
                          GatewayFixture::MakeRequest("GET", "plain", "two") +
                          GatewayFixture::MakeRequest("GET", "plain", "three"),
                        3);
  const auto first = responses.find("\r\n\r\none");
  const auto second = responses.find("\r\n\r\ntwo");
  const auto third = responses.find("\r\n\r\nthree");
  ASSERT_NE(third, std::string::npos) << responses;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

// Guards against a rejected request whose response closes the connection under
// pipelined requests behind it that were passed on to servers.
TEST(Gateway, RejectedRequestsCutNoPipeline)
{
  GatewayFixture fixture(Echo);
  const auto first = GatewayFixture::MakeRequest("GET", "plain", "one");
  const auto last = GatewayFixture::MakeRequest("GET", "plain", "three");
  const auto open = fixture.SendAndWait(
    first + GatewayFixture::MakeRequest("GET", "nobody", "two") + last, 3);
  EXPECT_NE(open.find("\r\n\r\none"), std::string::npos) << open;
  EXPECT_NE(open.find("HTTP/1.1 404 "), std::string::npos) << open;
  EXPECT_NE(open.find("\r\n\r\nthree"), std::string::npos) << open;
  EXPECT_EQ(open.find("Connection: close"), std::string::npos) << open;
  // A body may be unread, so the connection closes.
  const int before = fixture.BackendRequests();
  const auto closed = fixture.SendAndWait(
    first + GatewayFixture::MakeRequest("POST", "nobody", "two", {}, "body") +
      last,
    2);
  EXPECT_NE(closed.find("HTTP/1.1 404 "), std::string::npos) << closed;
  EXPECT_NE(closed.find("Connection: close"), std::string::npos) << closed;
  fixture.RunFor(50);
  EXPECT_EQ(fixture.BackendRequests(), before + 1);
}

// Guards against chunked bodies that are altered by forwarding.
TEST(Gateway, ForwardsChunkedBodies)
{
  GatewayFixture fixture(Echo);
  const auto response = fixture.SendAndWait(
    "POST /unsafe/x HTTP/1.1\r\nHost: plain\r\nCactuspitch-Request-Id: c\r\n"
    "Cactuspitch-Deadline-Remaining: 900\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  EXPECT_NE(response.find("cabcdefg"), std::string::npos) << response;
}

// Guards against request smuggling and against size limits that are not
// enforced.
TEST(Gateway, RejectsMalformedAndTooLargeRequests)
{
  GatewayFixture fixture(Echo);
  EXPECT_EQ(StatusOf(fixture.SendAndWait(GatewayFixture::MakeRequest(
              "POST", "plain", "1", "Transfer-Encoding: chunked\r\n", "x"))),
            400);
  EXPECT_EQ(StatusOf(fixture.SendAndWait(GatewayFixture::MakeRequest(
              "GET", "plain", "1", "X: " + std::string(5000, 'a') + "\r\n"))),
            431);
  EXPECT_EQ(
    StatusOf(fixture.SendAndWait("POST /unsafe/x HTTP/1.1\r\nHost: plain\r\n"
                                 "Cactuspitch-Request-Id: 1\r\n"
                                 "Content-Length: 200000\r\n\r\n")),
    413);
  EXPECT_EQ(fixture.BackendRequests(), 0);
}

/// Stands for unbounded input: many times what any limit allows.
constexpr size_t kUnboundedBytes = 1 << 20;

std::string Repeated(std::string_view aText)
{
  std::string text;
  while (text.size() < kUnboundedBytes) {
    text += aText;
  }
  return text;
}

std::string ChunkedHead(const Exchange& aExchange)
{
  return "HTTP/1.1 200 OK\r\nCactuspitch-Request-Id: " +
         std::string(aExchange.head_.Field("Cactuspitch-Request-Id")) +
         "\r\nCactuspitch-Response-Seal: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

struct AttemptCase
{
  const char* name_;
  ScriptedServer::Script first_;
  int idempotentStatus_;    ///< response to an idempotent request
  int nonIdempotentStatus_; ///< response to a non-idempotent request
  int nonIdempotentSends_;  ///< times that the non-idempotent request was sent
};

// For each kind of failed attempt, guards against executing a non-idempotent
// request twice, against reporting an executed request as not executed, and
// against giving up an idempotent request too early.
TEST(Gateway, OutcomesOfAFailedAttempt)
{
  const auto write = [](const char* aText) {
    return [aText](Exchange& aExchange) { aExchange.write_(aText); };
  };
  const auto respond = [](const char* aStatusAndFields) {
    return [aStatusAndFields](Exchange& aExchange) {
      aExchange.write_(Concat("HTTP/1.1 ",
                              aStatusAndFields,
                              "Cactuspitch-Request-Id: ",
                              aExchange.head_.Field("Cactuspitch-Request-Id"),
                              "\r\nContent-Length: 0\r\n\r\n"));
    };
  };
  std::vector<AttemptCase> cases = {
    { "reset", [](Exchange& aExchange) { aExchange.reset_(); }, 200, 502, 1 },
    { "closed", [](Exchange& aExchange) { aExchange.close_(); }, 200, 502, 1 },
    { "response is not HTTP", write("garbage\r\n\r\n"), 200, 502, 1 },
    { "not executed",
      respond("503 X\r\nCactuspitch-Not-Executed: 1\r\n"),
      200,
      200,
      2 },
    { "another server at the address", respond("421 X\r\n"), 200, 200, 2 },
    { "not executed, without an id",
      write("HTTP/1.1 503 X\r\nCactuspitch-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n"),
      200,
      502,
      1 },
    { "another server at the address, without an id",
      write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"),
      200,
      502,
      1 },
    { "refusal of another request, then an answer",
      [](Exchange& aExchange) {
        aExchange.write_("HTTP/1.1 503 X\r\nCactuspitch-Request-Id: other\r\n"
                         "Cactuspitch-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
        Echo(aExchange);
      },
      200,
      200,
      1 },
    { "truncated",
      [](Exchange& aExchange) {
        auto response =
          GatewayFixture::MakeResponse(aExchange.head_, "0123456789");
        response.resize(response.size() - 4);
        aExchange.write_(response);
        aExchange.close_();
      },
      200,
      502,
      1 },
    { "missing seal",
      [](Exchange& aExchange) {
        aExchange.write_(
          "HTTP/1.1 200 OK\r\nCactuspitch-Request-Id: " +
          std::string(aExchange.head_.Field("Cactuspitch-Request-Id")) +
          "\r\nContent-Length: 2\r\n\r\nno");
      },
      200,
      502,
      1 },
    { "server error",
      [](Exchange& aExchange) {
        auto response = GatewayFixture::MakeResponse(aExchange.head_, "sorry");
        response.replace(9, 3, "500");
        aExchange.write_(response);
      },
      200,
      500,
      1 },
    { "unbounded head",
      [](Exchange& aExchange) {
        aExchange.write_("HTTP/1.1 200 OK\r\nX: " +
                         std::string(kUnboundedBytes, 'a'));
      },
      200,
      502,
      1 },
    { "unbounded header fields",
      [](Exchange& aExchange) {
        aExchange.write_("HTTP/1.1 200 OK\r\n" + Repeated("X: a\r\n"));
      },
      200,
      502,
      1 },
    { "unbounded interim responses",
      [](Exchange& aExchange) {
        aExchange.write_(Repeated("HTTP/1.1 100 Continue\r\n\r\n"));
      },
      200,
      502,
      1 },
    { "unbounded chunk extension",
      [](Exchange& aExchange) {
        aExchange.write_(ChunkedHead(aExchange) +
                         "5;x=" + std::string(kUnboundedBytes, 'a'));
      },
      200,
      502,
      1 },
    { "unbounded trailer",
      [](Exchange& aExchange) {
        aExchange.write_(ChunkedHead(aExchange) + "5\r\nwrong\r\n0\r\n" +
                         Repeated("X: a\r\n"));
      },
      200,
      502,
      1 },
    { "unbounded responses to other requests",
      [](Exchange& aExchange) {
        aExchange.write_(
          Repeated("HTTP/1.1 200 OK\r\nCactuspitch-Request-Id: other\r\n"
                   "Content-Length: 5\r\n\r\nwrong"));
      },
      200,
      502,
      1 },
    { "response to another request first",
      [](Exchange& aExchange) {
        aExchange.write_("HTTP/1.1 200 OK\r\nCactuspitch-Request-Id: other\r\n"
                         "Cactuspitch-Response-Seal: s\r\n"
                         "Content-Length: 5\r\n\r\nwrong");
        Echo(aExchange);
      },
      200,
      200,
      1 },
    { "interim responses first",
      [](Exchange& aExchange) {
        aExchange.write_("HTTP/1.1 150 X\r\n\r\nHTTP/1.1 199 X\r\n\r\n");
        Echo(aExchange);
      },
      200,
      200,
      1 },
  };
  for (const char* status : { "000", "099", "600", "999", "1000", "-200" }) {
    const auto first = [status](Exchange& aExchange) {
      auto response = GatewayFixture::MakeResponse(aExchange.head_, "wrong");
      response.replace(9, 3, status);
      aExchange.write_(response);
    };
    cases.push_back({ status, first, 200, 502, 1 });
  }
  for (const auto& row : cases) {
    {
      GatewayFixture fixture(FirstThenEcho(row.first_));
      const auto response =
        fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "s1"));
      EXPECT_EQ(StatusOf(response), row.idempotentStatus_) << row.name_;
      EXPECT_EQ(response.find("wrong"), std::string::npos) << row.name_;
      EXPECT_NE(response.find("\r\n\r\ns1"), std::string::npos) << row.name_;
    }
    GatewayFixture fixture(FirstThenEcho(row.first_));
    const auto response = fixture.SendAndWait(
      GatewayFixture::MakeRequest("POST", "plain", "u1", "", "b"));
    EXPECT_EQ(StatusOf(response), row.nonIdempotentStatus_) << row.name_;
    EXPECT_EQ(fixture.BackendRequests(), row.nonIdempotentSends_) << row.name_;
  }
}

// Guards against 502 for a request that reached no server, which its caller
// could not retry, and against endless connection attempts to a server that has
// too many connections.
TEST(Gateway, RespondsWith503WhenNoServerIsReached)
{
  for (const char* method : { "GET", "POST" }) {
    GatewayFixture fixture(Echo, 1);
    fixture.Backend(0).SetFull(true);
    const auto response =
      fixture.SendAndWait(GatewayFixture::MakeRequest(method, "plain", "f1"));
    EXPECT_EQ(StatusOf(response), 503) << method << response;
    EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
    EXPECT_EQ(fixture.BackendRequests(), 0);
    EXPECT_LE(fixture.Backend(0).Accepted(), 5);
    fixture.Backend(0).SetFull(false);
    fixture.RunFor(100);
    EXPECT_EQ(StatusOf(fixture.SendAndWait(
                GatewayFixture::MakeRequest(method, "plain", "f2"))),
              200);
  }
}

// Guards against a request that waits until its deadline because all
// connections to the server are idle and too old to be reused for it.
TEST(Gateway, StaleIdleConnectionsDelayNoRequest)
{
  constexpr int kConnections = 10;
  std::vector<Exchange> held;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      if (aExchange.head_.method_ == "GET") {
        held.push_back(aExchange);
      } else {
        Echo(aExchange);
      }
    },
    1,
    1,
    kConnections);
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int id = 0; id < 2 * kConnections; ++id) {
    callers.push_back(fixture.Send(
      GatewayFixture::MakeRequest("GET", "plain", std::to_string(id))));
    fixture.RunFor(2);
  }
  fixture.RunFor(100);
  // A tenth of the connections is reserved for the leader.
  EXPECT_EQ(held.size(), kConnections - 1u);
  std::ranges::for_each(held, Echo);
  // Non-idempotent requests do not use connections that were idle for 1.5 s.
  fixture.RunFor(1700);
  const auto begin = SteadyClock().NowMs();
  EXPECT_EQ(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("POST", "plain", "p", "", "body"))),
            200);
  EXPECT_LT(SteadyClock().NowMs() - begin, 200);
}

// Guards against a request that goes on at the server after its caller has
// disconnected.
TEST(Gateway, CancelsWhenTheCallerDisconnects)
{
  GatewayFixture fixture([](Exchange&) {}, 1);
  {
    const auto caller =
      fixture.Send(GatewayFixture::MakeRequest("GET", "plain", "gone"));
    ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.BackendRequests() == 1; }));
  }
  EXPECT_TRUE(
    fixture.RunUntil([&] { return fixture.Backend(0).ClosedByClient() == 1; }));
}

// Guards against a delayed gateway that forwards requests whose callers have
// disconnected in the meantime (large eg-north, rule GONE).
TEST(Gateway, DoesNotForwardForDisconnectedCallers)
{
  GatewayFixture fixture(Echo, 1);
  // With an open connection to the backend server, a request would be sent at
  // once.
  ASSERT_EQ(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("GET", "plain", "first"))),
            200);
  const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
  const auto address = fixture.GatewayAddress().ToSockaddr();
  ASSERT_EQ(::connect(caller,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof address),
            0);
  const auto request = GatewayFixture::MakeRequest("GET", "plain", "given-up");
  EXPECT_EQ(::send(caller, request.data(), request.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(request.size()));
  // The event loop does not run until here.
  ::close(caller);
  fixture.RunFor(200);
  EXPECT_EQ(fixture.BackendRequests(), 1);
}

// Guards against a disconnect that is not noticed because reading is paused
// while many requests of the connection wait.
TEST(Gateway, NoticesDisconnectBehindPipelinedRequests)
{
  GatewayFixture fixture([](Exchange&) {}, 1);
  {
    const auto caller = fixture.Send({});
    constexpr int kRequests = 40;
    for (int i = 0; i < kRequests; ++i) {
      caller->Write(
        GatewayFixture::MakeRequest("GET", "plain", Concat("p", i)));
    }
    ASSERT_TRUE(
      fixture.RunUntil([&] { return fixture.BackendRequests() > 0; }));
    fixture.RunFor(100);
  }
  fixture.RunFor(200);
  // The requests' deadline has not passed yet, so the disconnect ended the
  // attempts.
  EXPECT_GT(fixture.Backend(0).ClosedByClient(), 0);
}

// Guards against a response after the deadline, and against reporting a request
// as not executed that an unresponsive server may have executed.
TEST(Gateway, UnresponsiveServerTimesOutAtTheDeadline)
{
  GatewayFixture fixture([](Exchange&) {});
  const TimeMs startMs = SteadyClock().NowMs();
  EXPECT_EQ(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("POST", "plain", "1"))),
            504);
  const TimeMs elapsedMs = SteadyClock().NowMs() - startMs;
  EXPECT_GE(elapsedMs, 850);
  EXPECT_LT(elapsedMs, 1400);
}

// Guards against settings that take effect only after a restart, and against
// invalid settings that replace those in force.
TEST(Gateway, ReloadsItsSettings)
{
  bool fails = true;
  GatewayFixture fixture([&fails](Exchange& aExchange) {
    if (fails) {
      aExchange.reset_();
    } else {
      Echo(aExchange);
    }
    fails = false;
  });
  EXPECT_EQ(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("GET", "plain", "1"))),
            200);
  auto settings = fixture.Settings();
  settings.retryRatio_ = 0;
  settings.retryExtra_ = 0;
  fixture.Reload(settings);
  fixture.Reload(std::nullopt);
  fails = true;
  EXPECT_NE(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("GET", "plain", "2"))),
            200);
  EXPECT_EQ(fixture.BackendRequests(), 3);
}

// Guards against losing keys or requests while the store is unreachable.
TEST(Gateway, ServesWhileTheStoreIsUnreachable)
{
  GatewayFixture fixture(Echo);
  fixture.SetStoreDown(true);
  const auto before = fixture.CommandBodies().size();
  fixture.RunFor(2500);
  EXPECT_GE(fixture.CommandBodies().size(), before + 2)
    << "leases are no longer renewed";
  EXPECT_EQ(StatusOf(fixture.SendAndWait(
              GatewayFixture::MakeRequest("GET", "plain", "1"))),
            200);
  EXPECT_EQ(StatusOf(fixture.SendAndWait(GatewayFixture::MakeRequest(
              "GET", "keyed", "2", "Cactuspitch-Shard-Key: 7\r\n"))),
            200);
}

// Guards against a new leader that sends no heartbeats while it handles the
// responses to its first grants: each response rebuilt all owners, so a leader
// with half a core was replaced after 0.8 s, and the next one as well (large
// eg-north, after a power loss of all).
TEST(Gateway, NewLeaderGrantsToManyServersInTime)
{
  constexpr int kServers = 776;
  // CPU time of half a core until the other gateways would replace the leader.
  // It includes the store and the servers of the fixture.
  constexpr double kSeconds = LeaderTiming::kElectionTimeoutMs / 2000.0;
  const auto started = std::clock();
  GatewayFixture fixture(Echo, 1, kServers);
  ASSERT_TRUE(fixture.RunUntil(
    [&] { return fixture.CommandBodies().size() >= size_t{ kServers }; }));
  fixture.RunFor(50);
  const auto ticks = static_cast<double>(std::clock() - started);
  EXPECT_LT(ticks / CLOCKS_PER_SEC, kSeconds);
}

}
}

#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <csignal>
#include <random>
#include <vector>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

/// More than a gateway buffers before it starts to stream a response.
constexpr size_t kStreamedBytes = 600000;

void Echo(Exchange& aExchange)
{
  aExchange.write_(GatewayFixture::MakeResponse(
    aExchange.head_,
    std::string(aExchange.head_.Field("Cactuspitch-Request-Id"))));
}

bool IsServed(GatewayFixture& aFixture)
{
  return aFixture
           .SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "after"))
           .find("\r\n\r\nafter") != std::string::npos;
}

// Guards against a response that is truncated after its head was forwarded and
// reaches the caller as a complete one.
TEST(GatewayFault, TruncatedStreamedResponseIsNeverComplete)
{
  const auto sendTruncated = [](Exchange& aExchange, std::string aResponse) {
    aResponse.resize(aResponse.size() - 1000);
    aExchange.write_(aResponse);
    aExchange.close_();
  };
  const std::vector<ScriptedServer::Script> scripts = {
    [&](Exchange& aExchange) {
      sendTruncated(aExchange,
                    GatewayFixture::MakeResponse(
                      aExchange.head_, std::string(kStreamedBytes, 'a')));
    },
    [&](Exchange& aExchange) {
      sendTruncated(aExchange,
                    Concat("HTTP/1.1 200 OK\r\nCactuspitch-Request-Id: ",
                           aExchange.head_.Field("Cactuspitch-Request-Id"),
                           "\r\nCactuspitch-Response-Seal: s\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n",
                           absl::Hex(kStreamedBytes),
                           "\r\n",
                           std::string(kStreamedBytes, 'a'),
                           "\r\n0\r\n\r\n"));
    },
  };
  for (const auto& script : scripts) {
    GatewayFixture fixture(script, 1);
    const auto response =
      fixture.SendAndWait(GatewayFixture::MakeRequest("POST", "plain", "s"));
    EXPECT_LT(response.size(), kStreamedBytes);
    EXPECT_FALSE(response.ends_with("\r\n0\r\n\r\n"));
  }
}

// Guards against a planned stop that cuts off requests which were accepted
// before it, or shortly after it while callers do not know of it yet.
TEST(GatewayFault, PlannedStopCompletesAcceptedRequests)
{
  EventLoop* loop = nullptr;
  std::vector<std::unique_ptr<Timer>> timers;
  constexpr TimeMs kWorkMs = 400;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      timers.push_back(std::make_unique<Timer>(
        *loop, [exchange = aExchange]() mutable { Echo(exchange); }));
      timers.back()->Start(kWorkMs);
    },
    1);
  loop = &fixture.Loop();
  Timer stop(fixture.Loop(), [] { std::raise(SIGTERM); });
  stop.Start(kWorkMs / 2);
  EXPECT_NE(
    fixture.SendAndWait(GatewayFixture::MakeRequest("POST", "plain", "before"))
      .find("before"),
    std::string::npos);
  EXPECT_NE(
    fixture.SendAndWait(GatewayFixture::MakeRequest("POST", "plain", "behind"))
      .find("behind"),
    std::string::npos);
}

// Guards against a planned stop that leaves queued requests, which were never
// forwarded, without a response.
TEST(GatewayFault, PlannedStopRejectsQueuedRequests)
{
  int calls = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      if (++calls == 1) {
        aExchange.server_->Crash();
      }
    },
    3);
  auto settings = fixture.Settings();
  settings.graceMs_ = 1400;
  fixture.Reload(settings);
  const auto call = [](const char* aId) {
    return GatewayFixture::MakeRequest("POST", "plain", aId, "", "crash");
  };
  fixture.SendAndWait(call("1"));
  fixture.RunFor(100);
  // A suspect request is executed on one server at a time, so the next request
  // has to wait for this one.
  std::raise(SIGTERM);
  fixture.RunFor(500);
  const auto running = fixture.Send(call("2"));
  ASSERT_TRUE(fixture.RunUntil([&] { return calls == 2; }));
  const auto response = fixture.SendAndWait(call("3"));
  EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
  EXPECT_EQ(calls, 2);
}

// Guards against a process that ends because of a malformed message of a peer
// or a caller.
TEST(GatewayFault, SurvivesMalformedMessages)
{
  GatewayFixture fixture(Echo, 1);
  const int peer = ::socket(AF_INET, SOCK_DGRAM, 0);
  const auto address = fixture.Settings().peerListen_.ToSockaddr();
  std::mt19937 random(20261204);
  constexpr int kDatagrams = 2000;
  constexpr size_t kMaxBytes = 300;
  for (int i = 0; i < kDatagrams; ++i) {
    std::string bytes(random() % kMaxBytes, '\0');
    std::ranges::generate(bytes, [&] { return static_cast<char>(random()); });
    ::sendto(peer,
             bytes.data(),
             bytes.size(),
             0,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
    if (i % 50 == 0) {
      fixture.RunFor(1);
    }
  }
  ::close(peer);
  for (const char* text : { "\r\n\r\n",
                            "GET\r\n\r\n",
                            "GET / HTTP/9.9\r\n\r\n",
                            "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                            "\x16\x03\x01\x02\x00\x01\x00" }) {
    fixture.SendAndWait(text);
  }
  EXPECT_TRUE(IsServed(fixture));
}

// Guards against requests to a server that has ended but whose registration has
// not expired yet: the next server at its address rejects them.
TEST(GatewayFault, EarlierServerAtAnAddressGetsNoRequests)
{
  int misdirected = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      if (aExchange.head_.Field("Cactuspitch-Target-Instance") == "next") {
        Echo(aExchange);
      } else {
        ++misdirected;
        aExchange.write_("HTTP/1.1 421 No\r\nCactuspitch-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
      }
    },
    1);
  fixture.Register("next", 0, 2);
  fixture.RunFor(500);
  for (int id = 0; id < 10; ++id) {
    EXPECT_TRUE(IsServed(fixture));
  }
  EXPECT_EQ(misdirected, 0);
}

// Guards against a faulty server that repeats an earlier refusal on a kept
// connection while it runs the request: the caller would be told that it did
// not run, or another server would run it, too.
TEST(GatewayFault, RepeatedRefusalIsNotTheAnswerOfALaterRequest)
{
  struct Case
  {
    const char* field_;
    const char* laterId_;
  };
  // A gateway that retries at the owner of a key sends the same id again.
  for (const auto& [field, laterId] :
       { Case{ "Cactuspitch-Request-Id: x\r\n", "x" }, Case{ "", "y" } }) {
    const auto refusal = Concat("HTTP/1.1 503 Busy\r\n",
                                field,
                                "Cactuspitch-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n");
    int requests = 0;
    int executions = 0;
    GatewayFixture fixture(
      [&](Exchange& aExchange) {
        if (++requests == 1) {
          aExchange.write_(refusal);
          return;
        }
        // On another connection there is nothing to repeat.
        if (aExchange.requestsBefore_ > 0) {
          aExchange.write_(refusal);
        }
        ++executions;
        Echo(aExchange);
      },
      1);
    fixture.SendAndWait(
      GatewayFixture::MakeRequest("POST", "plain", "x", {}, "body"));
    const auto response = fixture.SendAndWait(
      GatewayFixture::MakeRequest("POST", "plain", laterId, {}, "body"));
    EXPECT_EQ(response.find(" 503 "), std::string::npos) << field << response;
    EXPECT_EQ(executions, 1) << field;
  }
}

// Guards against a head that ends early, at any byte, and reaches the caller as
// a complete answer.
TEST(GatewayFault, AnswerCutInItsHeadIsNoAnswer)
{
  size_t cut = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      const auto text = GatewayFixture::MakeResponse(aExchange.head_, "body");
      aExchange.write_(text.substr(0, cut));
      aExchange.close_();
    },
    1);
  HttpHead head;
  head.fields_ = { { "Cactuspitch-Request-Id", "x" } };
  const auto whole = GatewayFixture::MakeResponse(head, "body").size();
  for (cut = 0; cut < whole; ++cut) {
    const auto response = fixture.SendAndWait(
      GatewayFixture::MakeRequest("POST", "plain", "x", {}, "body"));
    EXPECT_EQ(response.find("HTTP/1.1 2"), std::string::npos)
      << cut << " " << response;
    EXPECT_NE(response.find("HTTP/1.1 50"), std::string::npos)
      << cut << " " << response;
  }
}

}
}

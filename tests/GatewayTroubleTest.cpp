#include "common/Strings.hpp"
#include "tests/GatewayRig.hpp"

#include <csignal>
#include <random>
#include <vector>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

/// More than a gateway holds back until the answer is complete.
constexpr size_t kStreamedBytes = 600000;

void Echo(Exchange& aExchange)
{
  aExchange.write_(GatewayRig::Answer(
    aExchange.head_,
    std::string(aExchange.head_.Field("Cactuspitch-Request-Id"))));
}

bool IsServed(GatewayRig& aRig)
{
  return aRig.Ask(GatewayRig::Request("GET", "plain", "after"))
           .find("\r\n\r\nafter") != std::string::npos;
}

// Guards against an answer that breaks off after its head was passed on and
// reaches the caller as a complete success.
TEST(GatewayTrouble, BrokenStreamedAnswerIsNeverComplete)
{
  const auto broken = [](Exchange& aExchange, std::string aAnswer) {
    aAnswer.resize(aAnswer.size() - 1000);
    aExchange.write_(aAnswer);
    aExchange.close_();
  };
  const std::vector<ScriptedServer::Script> scripts = {
    [&](Exchange& aExchange) {
      broken(
        aExchange,
        GatewayRig::Answer(aExchange.head_, std::string(kStreamedBytes, 'a')));
    },
    [&](Exchange& aExchange) {
      broken(aExchange,
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
    GatewayRig rig(script, 1);
    const auto answer = rig.Ask(GatewayRig::Request("POST", "plain", "s"));
    EXPECT_LT(answer.size(), kStreamedBytes);
    EXPECT_FALSE(answer.ends_with("\r\n0\r\n\r\n"));
  }
}

// Guards against a planned stop that cuts off requests which were accepted
// before it, or just after it while callers do not know of it yet.
TEST(GatewayTrouble, PlannedStopAnswersWhatWasAccepted)
{
  EventLoop* loop = nullptr;
  std::vector<std::unique_ptr<Timer>> timers;
  constexpr TimeMs kWorkMs = 400;
  GatewayRig rig(
    [&](Exchange& aExchange) {
      timers.push_back(std::make_unique<Timer>(
        *loop, [exchange = aExchange]() mutable { Echo(exchange); }));
      timers.back()->Start(kWorkMs);
    },
    1);
  loop = &rig.Loop();
  Timer stop(rig.Loop(), [] { std::raise(SIGTERM); });
  stop.Start(kWorkMs / 2);
  EXPECT_NE(
    rig.Ask(GatewayRig::Request("POST", "plain", "before")).find("before"),
    std::string::npos);
  EXPECT_NE(
    rig.Ask(GatewayRig::Request("POST", "plain", "behind")).find("behind"),
    std::string::npos);
}

// Guards against a planned stop that ends without an answer for what waits and
// was never passed on.
TEST(GatewayTrouble, PlannedStopRefusesWhatIsNotPassedOn)
{
  int calls = 0;
  GatewayRig rig(
    [&](Exchange& aExchange) {
      if (++calls == 1) {
        aExchange.server_->Crash();
      }
    },
    3);
  auto settings = rig.Settings();
  settings.graceMs_ = 1400;
  rig.Reload(settings);
  const auto call = [](const char* aId) {
    return GatewayRig::Request("POST", "plain", aId, "", "crash");
  };
  rig.Ask(call("1"));
  rig.RunFor(100);
  // A suspect runs on one server at a time, so the next one waits for this one.
  std::raise(SIGTERM);
  rig.RunFor(500);
  const auto running = rig.Call(call("2"));
  ASSERT_TRUE(rig.RunUntil([&] { return calls == 2; }));
  const auto answer = rig.Ask(call("3"));
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_EQ(calls, 2);
}

// Guards against a process that ends because of one malformed message of a
// peer or a caller.
TEST(GatewayTrouble, SurvivesMalformedMessages)
{
  GatewayRig rig(Echo, 1);
  const int peer = ::socket(AF_INET, SOCK_DGRAM, 0);
  const auto address = rig.Settings().peerListen_.ToSockaddr();
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
      rig.RunFor(1);
    }
  }
  ::close(peer);
  for (const char* text : { "\r\n\r\n",
                            "GET\r\n\r\n",
                            "GET / HTTP/9.9\r\n\r\n",
                            "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                            "\x16\x03\x01\x02\x00\x01\x00" }) {
    rig.Ask(text);
  }
  EXPECT_TRUE(IsServed(rig));
}

// Guards against requests to a server that has ended, whose registration has
// not lapsed yet: the next life at its address turns them away.
TEST(GatewayTrouble, EarlierLifeAtAnAddressGetsNoRequests)
{
  int misdirected = 0;
  GatewayRig rig(
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
  rig.Register("next", 0, 2);
  rig.RunFor(500);
  for (int id = 0; id < 10; ++id) {
    EXPECT_TRUE(IsServed(rig));
  }
  EXPECT_EQ(misdirected, 0);
}

}
}

#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

constexpr TimeMs kGraceMs = 6000;
/// Requests that are complete within this time after the signal are forwarded.
constexpr TimeMs kLastForwardMs = 3000;

/// Sends one request after the other on connections that it keeps, until the
/// gateway is gone.
class PersistentCaller
{
public:
  PersistentCaller(EventLoop& aLoop,
                   const Endpoint& aGateway,
                   std::string aName)
    : loop_(aLoop)
    , gateway_(aGateway)
    , name_(std::move(aName))
    , timer_(aLoop, [this] { Next(); })
  {
    Next();
  }
  /// Ids of the requests that got a response.
  const std::set<std::string>& Answered() const { return answered_; }

private:
  void Next()
  {
    constexpr TimeMs kPollMs = 5;
    timer_.Start(kPollMs);
    if (caller_ != nullptr && caller_->ResponseCount() > responses_) {
      ++responses_;
      answered_.insert(id_);
      id_.clear();
    }
    if (caller_ == nullptr || caller_->IsClosed()) {
      caller_ = std::make_unique<TestCaller>(loop_, gateway_);
      responses_ = 0;
      id_.clear();
    }
    if (id_.empty()) {
      id_ = Concat(name_, ++sent_);
      caller_->Write(
        GatewayFixture::MakeRequest("POST", "plain", id_, {}, "body"));
    }
  }

  EventLoop& loop_;
  Endpoint gateway_;
  std::string name_;
  Timer timer_;
  std::unique_ptr<TestCaller> caller_;
  int responses_ = 0;
  int sent_ = 0;
  std::string id_;
  std::set<std::string> answered_;
};

class GatewayStopTest : public testing::Test
{
protected:
  GatewayStopTest()
  {
    // Requests may take longer than the grace time.
    auto config = fixture_.Store().Spec("config", "main");
    config["version"] = "r2";
    config["limits"]["header-timeout-s"] = 3;
    config["limits"]["idle-timeout-s"] = 15;
    for (auto& path : config["virtual-hosts"][0]["paths"]) {
      path["timeout-s"] = 30;
      path["target-latency-s"] = 10;
    }
    fixture_.Store().Put("config", "main", config);
    fixture_.RunFor(500);
    auto settings = fixture_.Settings();
    settings.graceMs_ = kGraceMs;
    fixture_.Reload(settings);
  }

  void Stop()
  {
    std::raise(SIGTERM);
    stoppedMs_ = fixture_.Loop().NowMs();
  }
  void RunUntilMs(TimeMs aSinceStopMs)
  {
    fixture_.RunFor(stoppedMs_ + aSinceStopMs - fixture_.Loop().NowMs());
  }
  static std::string Request(const char* aMethod,
                             const std::string& aId,
                             const std::string& aBody = "body")
  {
    auto text = GatewayFixture::MakeRequest(aMethod, "plain", aId, {}, aBody);
    const std::string remaining = "Remaining: 900";
    return text.replace(
      text.find(remaining), remaining.size(), "Remaining: 30000");
  }
  void Answer(Exchange& aExchange)
  {
    const std::string id(aExchange.head_.Field("Cactuspitch-Request-Id"));
    forwarded_.insert(id);
    if (id.starts_with("endless")) {
      return;
    }
    const bool isSlow = id.starts_with("slow");
    if (!isSlow && !id.starts_with("steady")) {
      aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, id));
      return;
    }
    constexpr TimeMs kSlowMs = 3000;
    constexpr TimeMs kSteadyMs = 400;
    timers_.push_back(
      std::make_unique<Timer>(fixture_.Loop(), [exchange = aExchange, id] {
        exchange.write_(GatewayFixture::MakeResponse(exchange.head_, id));
      }));
    timers_.back()->Start(isSlow ? kSlowMs : kSteadyMs);
  }

  std::set<std::string> forwarded_;
  GatewayFixture fixture_{ [this](Exchange& aExchange) { Answer(aExchange); },
                           1 };
  std::vector<std::unique_ptr<Timer>> timers_;
  TimeMs stoppedMs_ = 0;
};

// Guards against requests that are forwarded late in a planned stop and cut
// off without a response when the process exits: heads that arrive in parts,
// long bodies, and requests that wait behind others.
TEST_F(GatewayStopTest, LateRequestsAreRejectedNotCutOff)
{
  PersistentCaller persistent(
    fixture_.Loop(), fixture_.GatewayAddress(), "persistent");
  const auto inParts = fixture_.Send("");
  const auto lateInParts = fixture_.Send("");
  const auto upload = fixture_.Send("");
  const auto pipelined = fixture_.Send("");
  const auto endless = fixture_.Send("");
  fixture_.RunFor(200);
  Stop();
  RunUntilMs(200);
  pipelined->Write(Request("GET", "slow") + Request("POST", "behind"));
  endless->Write(Request("POST", "endless"));
  RunUntilMs(2200);
  const auto first = Request("POST", "in-parts");
  const auto second = Request("POST", "late-in-parts");
  const auto third = Request("POST", "upload", std::string(50000, 'u'));
  constexpr size_t kPartBytes = 30;
  inParts->Write(first.substr(0, kPartBytes));
  lateInParts->Write(second.substr(0, kPartBytes));
  upload->Write(third.substr(0, third.size() - kPartBytes));
  RunUntilMs(2700);
  inParts->Write(first.substr(kPartBytes));
  RunUntilMs(kLastForwardMs + 400);
  lateInParts->Write(second.substr(kPartBytes));
  upload->Write(third.substr(third.size() - kPartBytes));
  // Returns when the gateway exits.
  RunUntilMs(kGraceMs + 1000);
  EXPECT_LT(fixture_.Loop().NowMs() - stoppedMs_, kGraceMs);
  fixture_.KillGateway();
  fixture_.RunFor(50);

  EXPECT_NE(inParts->Received().find("\r\n\r\nin-parts"), std::string::npos)
    << inParts->Received();
  for (const auto* caller : { lateInParts.get(), upload.get() }) {
    EXPECT_EQ(caller->Received().find("HTTP/1.1 503 "), 0U)
      << caller->Received();
    EXPECT_NE(caller->Received().find("Connection: close"), std::string::npos);
  }
  EXPECT_NE(pipelined->Received().find("\r\n\r\nslow"), std::string::npos)
    << pipelined->Received();
  EXPECT_NE(pipelined->Received().find("HTTP/1.1 503 "), std::string::npos)
    << pipelined->Received();
  // Its server is still at work when the process has to exit.
  EXPECT_EQ(endless->Received().find("HTTP/1.1 502 "), 0U)
    << endless->Received();
  for (const char* id : { "late-in-parts", "upload", "behind" }) {
    EXPECT_FALSE(forwarded_.contains(id)) << id;
  }
  for (const auto& id : forwarded_) {
    EXPECT_TRUE(!id.starts_with("persistent") ||
                persistent.Answered().contains(id))
      << id;
  }
  EXPECT_FALSE(persistent.Answered().empty());
}

// Guards against an attempt that is started although its server cannot respond
// before the process exits.
TEST_F(GatewayStopTest, NothingIsForwardedThatCannotComplete)
{
  // The gateway measures how long the server takes.
  constexpr int kRounds = 4;
  constexpr int kParallel = 3;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::unique_ptr<TestCaller>> callers;
    for (int index = 0; index < kParallel; ++index) {
      callers.push_back(
        fixture_.Send(Request("GET", Concat("steady-", round, index))));
    }
    ASSERT_TRUE(fixture_.RunUntil([&] {
      return std::ranges::all_of(callers, [](const auto& aCaller) {
        return aCaller->ResponseCount() == 1;
      });
    }));
  }
  auto settings = fixture_.Settings();
  settings.graceMs_ = 1000;
  fixture_.Reload(settings);
  Stop();
  RunUntilMs(430);
  const auto response = fixture_.SendAndWait(Request("POST", "steady-late"));
  EXPECT_EQ(response.find("HTTP/1.1 503 "), 0U) << response;
  EXPECT_NE(response.find("overload"), std::string::npos) << response;
  EXPECT_FALSE(forwarded_.contains("steady-late"));
}

}
}

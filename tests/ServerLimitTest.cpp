#include "common/Strings.hpp"
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
  explicit LimitRig(int aGateways)
    : fixture_(
        [this](Exchange& aExchange) {
          const bool limited = aExchange.server_ == &fixture_.Backend(0);
          Respond(aExchange, limited ? plainLimit_ : "", limited);
        },
        2)
  {
    fixture_.SetKeyedScript(
      [this](Exchange& aExchange) { Respond(aExchange, keyedLimit_, true); });
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
    const TimeMs beginMs = NowMs();
    const auto total = static_cast<int>(
      aPerSecond * static_cast<double>(aDurationMs) / kSecondMs);
    for (int index = 0; index < total; ++index) {
      const auto dueMs =
        beginMs + static_cast<TimeMs>(index * kSecondMs / aPerSecond);
      fixture_.RunFor(std::max<TimeMs>(dueMs - NowMs(), 0));
      callers_.push_back(std::make_unique<TestCaller>(
        fixture_.Loop(),
        gateways_[static_cast<size_t>(index) % aGateways],
        GatewayFixture::MakeRequest("GET",
                                    aHost,
                                    Concat("r", ++requests_),
                                    "Cactuspitch-Shard-Key: 77\r\n")));
    }
    fixture_.RunFor(500);
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

private:
  void Respond(Exchange& aExchange, const std::string& aLimit, bool aCounts)
  {
    if (aCounts) {
      arrivedMs_.push_back(NowMs());
    }
    aExchange.write_(MakeLimitedResponse(aExchange, aLimit));
  }

  std::vector<TimeMs> arrivedMs_;
  std::vector<Endpoint> gateways_;
  int requests_ = 0;
  GatewayFixture fixture_;
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

}
}

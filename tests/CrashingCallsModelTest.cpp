#include "policy/SuspectExchange.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kStepMs = 5;
constexpr TimeMs kStableWindowMs = 3000;
/// A crash is detected within this time or not at all.
constexpr TimeMs kDetectionWindowMs = 6000;
/// Sends that are allowed later than kStableWindowMs after the third crash.
constexpr int kAllowedSends = 3;

/// Simulates gateways, a network that delays and loses messages, and servers
/// that crash when they execute some of the requests.
class GatewayFleetModel
{
public:
  struct Options
  {
    int gateways_ = 8;
    double loss_ = 0.02;
    /// From the crash to its detection by the gateway whose connection broke.
    TimeMs detectMs_ = 30;
    /// Gateways that are killed, frozen or cut off each second.
    double faultsPerSecond_ = 0;
  };
  struct Call
  {
    uint64_t fingerprint_ = 0;
    bool crashes_ = false;
    std::vector<TimeMs> crashTimesMs_;     ///< one per crashed server
    std::vector<TimeMs> connectedSendsMs_; ///< by connected gateways
    bool served_ = false;
  };

  GatewayFleetModel(Options aOptions, uint32_t aSeed)
    : options_(aOptions)
    , random_(aSeed)
    , gateways_(aOptions.gateways_)
  {
    for (int i = 0; i < options_.gateways_; ++i) {
      names_.push_back("g" + std::to_string(i));
    }
    for (int i = 0; i < options_.gateways_; ++i) {
      Start(i);
    }
  }

  TimeMs NowMs() const { return nowMs_; }

  void RunUntil(TimeMs aEndMs)
  {
    for (; nowMs_ < aEndMs; nowMs_ += kStepMs) {
      InjectFaults();
      while (!events_.empty() && events_.begin()->first <= nowMs_) {
        const auto task = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        task();
      }
      for (int i = 0; i < options_.gateways_; ++i) {
        Tick(i);
      }
    }
  }

  /// Sends the call to a random gateway. Returns whether that gateway forwarded
  /// it without waiting.
  bool Send(Call& aCall)
  {
    return SendBy(RandomBelow(options_.gateways_), aCall);
  }

  bool SendBy(int aGateway, Call& aCall)
  {
    auto& gateway = gateways_[aGateway];
    if (!IsUp(gateway)) {
      return false;
    }
    const auto server = "s" + std::to_string(nextServer_++);
    const auto decision =
      gateway.quarantine_->TryBegin(aCall.fingerprint_, server, nowMs_);
    if (decision.verdict_ == SuspectVerdict::Wait) {
      After(decision.waitMs_,
            [this, aGateway, &aCall] { SendBy(aGateway, aCall); });
      return false;
    }
    if (decision.verdict_ == SuspectVerdict::Refuse) {
      return false;
    }
    if (nowMs_ - gateway.lastFaultMs_ >= kStableWindowMs) {
      aCall.connectedSendsMs_.push_back(nowMs_);
    }
    const InFlightRequest request(aCall.fingerprint_, decision.knownCrashes_);
    if (aCall.crashes_) {
      After(kStepMs, [this, aGateway, server, request, &aCall] {
        aCall.crashTimesMs_.push_back(nowMs_);
        CrashServer(aGateway, server, { request });
      });
    } else {
      After(100, [this, aGateway, server, &aCall] {
        aCall.served_ = true;
        End(aGateway, server, aCall.fingerprint_, true);
      });
    }
    return true;
  }

  /// Crashes a server that has requests of one gateway in flight.
  void CrashServer(int aGateway,
                   const std::string& aServer,
                   std::vector<InFlightRequest> aInFlight)
  {
    const auto incarnation = gateways_[aGateway].incarnation_;
    for (const auto& request : aInFlight) {
      gateways_[aGateway].quarantine_->OnBroken(
        request.fingerprint_, aServer, nowMs_ + kDetectionWindowMs, nowMs_);
    }
    After(
      options_.detectMs_,
      [this, aGateway, aServer, incarnation, inFlight = std::move(aInFlight)] {
        Detect(aGateway, aServer, incarnation, inFlight);
      });
  }

  void RestartAll()
  {
    for (int i = 0; i < options_.gateways_; ++i) {
      Start(i);
    }
  }
  void Restart(int aGateway) { Start(aGateway); }
  /// Random number from 0 to aBound - 1.
  int RandomBelow(int aBound)
  {
    return std::uniform_int_distribution<int>(0, aBound - 1)(random_);
  }
  /// True if the gateway has quarantined the request.
  bool Knows(int aGateway, uint64_t aFingerprint)
  {
    return gateways_[aGateway]
      .quarantine_->Find(aFingerprint, nowMs_)
      .quarantined_;
  }
  int64_t Datagrams() const { return datagrams_; }

private:
  struct Gateway
  {
    std::unique_ptr<CrashQuarantine> quarantine_;
    std::unique_ptr<SuspectExchange> exchange_;
    TimeMs downUntilMs_ = 0; ///< end of a freeze or cut
    TimeMs lastFaultMs_ = 0;
    int incarnation_ = 0;
  };

  /// A frozen or isolated gateway detects the crash afterwards; a gateway that
  /// was killed since then never does.
  void Detect(int aGateway,
              const std::string& aServer,
              int aIncarnation,
              const std::vector<InFlightRequest>& aInFlight)
  {
    auto& gateway = gateways_[aGateway];
    if (gateway.incarnation_ != aIncarnation) {
      return;
    }
    if (!IsUp(gateway)) {
      After(gateway.downUntilMs_ - nowMs_,
            [=, this] { Detect(aGateway, aServer, aIncarnation, aInFlight); });
      return;
    }
    gateway.quarantine_->OnCrash(aServer, aInFlight, nowMs_);
    gateway.exchange_->OnChanged(nowMs_);
  }

  bool IsUp(const Gateway& aGateway) const
  {
    return nowMs_ >= aGateway.downUntilMs_;
  }

  void Start(int aIndex)
  {
    auto& gateway = gateways_[aIndex];
    gateway.exchange_.reset();
    gateway.quarantine_ = std::make_unique<CrashQuarantine>(
      QuarantineOptions{ .turnMs_ = 40, .maxTurns_ = 8 });
    gateway.quarantine_->SetMembers(names_[aIndex], names_);
    gateway.exchange_ = std::make_unique<SuspectExchange>(*gateway.quarantine_);
    gateway.lastFaultMs_ = nowMs_;
    ++gateway.incarnation_;
  }

  void InjectFaults()
  {
    const double chance = options_.faultsPerSecond_ * kStepMs / 1000.0;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= chance) {
      return;
    }
    const int index = RandomBelow(options_.gateways_);
    auto& gateway = gateways_[index];
    if (RandomBelow(2) == 0) {
      Start(index);
    } else {
      gateway.downUntilMs_ = nowMs_ + 500 + RandomBelow(4000);
      gateway.lastFaultMs_ = gateway.downUntilMs_;
    }
  }

  /// The first living gateway is the leader.
  int Leader() const
  {
    const auto found = std::ranges::find_if(
      gateways_, [&](const Gateway& aGateway) { return IsUp(aGateway); });
    return static_cast<int>(found - gateways_.begin());
  }

  void Tick(int aIndex)
  {
    auto& gateway = gateways_[aIndex];
    if (!IsUp(gateway)) {
      return;
    }
    const int leader = Leader();
    if (nowMs_ >= gateway.exchange_->DueMs()) {
      const auto message =
        gateway.exchange_->TakeDue(nowMs_, aIndex == leader, true);
      if (message && message->audience_ == SuspectExchange::Audience::All) {
        Broadcast(aIndex, message->suspects_);
      } else if (message) {
        Deliver(aIndex, leader, message->suspects_);
      }
    }
    // The leader sends to all every 250 ms, the others to the leader every
    // 500 ms.
    const TimeMs phaseMs = nowMs_ + aIndex % 50 * kStepMs;
    if (aIndex == leader && phaseMs % 250 == 0) {
      Broadcast(aIndex, {});
    } else if (aIndex != leader && phaseMs % 500 == 0) {
      Deliver(aIndex, leader, {});
    }
  }

  void Broadcast(int aFrom, const std::vector<CrashSuspect>& aSuspects)
  {
    for (int to = 0; to < options_.gateways_; ++to) {
      Deliver(aFrom, to, aSuspects);
    }
  }

  void Deliver(int aFrom, int aTo, std::vector<CrashSuspect> aSuspects)
  {
    ++datagrams_;
    const bool lost =
      std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss_;
    if (aFrom == aTo || lost) {
      return;
    }
    const auto digest = gateways_[aFrom].exchange_->Digest(nowMs_);
    After(1 + RandomBelow(30),
          [this, aFrom, aTo, digest, suspects = std::move(aSuspects)] {
            auto& gateway = gateways_[aTo];
            if (!IsUp(gateway)) {
              return;
            }
            gateway.exchange_->OnTold(suspects, nowMs_, aTo == Leader());
            if (const auto missing =
                  gateway.exchange_->Compare(names_[aFrom], digest, nowMs_)) {
              Deliver(aTo, aFrom, *missing);
            }
          });
  }

  void End(int aGateway,
           const std::string& aServer,
           uint64_t aFingerprint,
           bool aWell)
  {
    auto& gateway = gateways_[aGateway];
    gateway.quarantine_->OnEnd(aFingerprint, aServer, aWell, nowMs_);
    if (aWell && gateway.quarantine_->TakeChanged()) {
      gateway.exchange_->OnChanged(nowMs_);
    }
  }

  void After(TimeMs aMs, std::function<void()> aTask)
  {
    events_.emplace(nowMs_ + aMs, std::move(aTask));
  }

  Options options_;
  std::mt19937 random_;
  TimeMs nowMs_ = 0;
  std::vector<std::string> names_;
  std::vector<Gateway> gateways_;
  std::multimap<TimeMs, std::function<void()>> events_;
  int nextServer_ = 0;
  int64_t datagrams_ = 0;
};

/// Number of sends by connected gateways later than kStableWindowMs after the
/// third crash.
int LateSends(const GatewayFleetModel::Call& aCall)
{
  if (aCall.crashTimesMs_.size() < 3) {
    return 0;
  }
  const TimeMs sinceMs = aCall.crashTimesMs_[2] + kStableWindowMs;
  return static_cast<int>(
    std::ranges::count_if(aCall.connectedSendsMs_,
                          [&](TimeMs aSentMs) { return aSentMs > sinceMs; }));
}

/// Sends each call about every aPeriodMs until aEndMs.
void SendRepeatedly(GatewayFleetModel& aModel,
                    std::vector<GatewayFleetModel::Call>& aCalls,
                    TimeMs aPeriodMs,
                    TimeMs aEndMs)
{
  while (aModel.NowMs() < aEndMs) {
    for (auto& call : aCalls) {
      aModel.Send(call);
    }
    aModel.RunUntil(aModel.NowMs() + aPeriodMs / 2 +
                    aModel.RandomBelow(static_cast<int>(aPeriodMs)));
  }
}

std::vector<GatewayFleetModel::Call> CrashingCalls(int aCount)
{
  std::vector<GatewayFleetModel::Call> calls(aCount);
  for (int i = 0; i < aCount; ++i) {
    calls[i].fingerprint_ = 1000 + static_cast<uint64_t>(i);
    calls[i].crashes_ = true;
  }
  return calls;
}

struct Size
{
  int gateways_;
  int seeds_;
};
class CrashingCallsModel : public testing::TestWithParam<Size>
{};

// Guards against crashing requests that continue to be sent while gateways are
// killed, frozen and cut off and messages are lost.
TEST_P(CrashingCallsModel, RetriesStopWhileGatewaysFail)
{
  for (int seed = 0; seed < GetParam().seeds_; ++seed) {
    const GatewayFleetModel::Options options{ .gateways_ = GetParam().gateways_,
                                              .loss_ = 0.05,
                                              .detectMs_ =
                                                seed % 2 == 0 ? 30 : 2500,
                                              .faultsPerSecond_ =
                                                GetParam().gateways_ / 60.0 };
    GatewayFleetModel model(options, static_cast<uint32_t>(seed));
    model.RunUntil(kStableWindowMs);
    auto calls = CrashingCalls(3);
    SendRepeatedly(model, calls, 200, 40000);
    for (const auto& call : calls) {
      EXPECT_LE(LateSends(call), kAllowedSends) << "seed " << seed;
    }
  }
}

// Guards against crashes that are forgotten when gateways restart one after the
// other.
TEST_P(CrashingCallsModel, RestartedGatewaysReceiveCrashes)
{
  const int gateways = GetParam().gateways_;
  GatewayFleetModel model({ .gateways_ = gateways }, 7);
  model.RunUntil(kStableWindowMs);
  auto calls = CrashingCalls(2);
  SendRepeatedly(model, calls, 300, 10000);
  for (int i = 0; i < gateways; ++i) {
    model.Restart(i);
    model.RunUntil(model.NowMs() + 40);
  }
  model.RunUntil(model.NowMs() + kStableWindowMs);
  for (int i = 0; i < gateways; ++i) {
    EXPECT_TRUE(model.Knows(i, calls[0].fingerprint_)) << i;
  }
  for (const auto& call : calls) {
    EXPECT_LE(LateSends(call), kAllowedSends);
  }
}

// Guards against all gateways trying the same request at the same time after it
// crashed many servers.
TEST_P(CrashingCallsModel, OneGatewayTriesRequestThatCrashedManyServers)
{
  const int gateways = GetParam().gateways_;
  GatewayFleetModel model({ .gateways_ = gateways }, 11);
  model.RunUntil(kStableWindowMs);
  auto calls = CrashingCalls(1);
  for (int i = 0; i < 5; ++i) {
    model.SendBy(i, calls[0]);
  }
  model.RunUntil(model.NowMs() + kStableWindowMs + 500);
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < gateways; ++i) {
      model.SendBy(i, calls[0]);
    }
    model.RunUntil(model.NowMs() + 500);
  }
  EXPECT_LE(LateSends(calls[0]), kAllowedSends);
}

// Guards against a restart of all gateways that causes a second round of
// crashes beyond the allowed ones.
TEST_P(CrashingCallsModel, AllGatewaysRestart)
{
  GatewayFleetModel model({ .gateways_ = GetParam().gateways_ }, 13);
  model.RunUntil(kStableWindowMs);
  auto calls = CrashingCalls(1);
  SendRepeatedly(model, calls, 300, 10000);
  model.RestartAll();
  model.RunUntil(model.NowMs() + kStableWindowMs);
  SendRepeatedly(model, calls, 300, 25000);
  EXPECT_LE(LateSends(calls[0]), kAllowedSends);
}

// Guards against harmless requests that are rejected because they were in
// flight when many servers crashed. The crashing requests must still be
// identified.
TEST_P(CrashingCallsModel, MassCrashKeepsInnocentRequestsServed)
{
  const int gateways = GetParam().gateways_;
  GatewayFleetModel model({ .gateways_ = gateways }, 17);
  model.RunUntil(kStableWindowMs);
  constexpr int kServers = 60;
  constexpr int kRequestsOfServer = 8;
  std::vector<GatewayFleetModel::Call> innocents(kServers * kRequestsOfServer);
  for (size_t i = 0; i < innocents.size(); ++i) {
    innocents[i].fingerprint_ = 100000 + i;
  }
  auto calls = CrashingCalls(2);
  for (auto& call : calls) {
    model.Send(call);
  }
  for (int server = 0; server < kServers; ++server) {
    for (int i = 0; i < kRequestsOfServer; ++i) {
      const auto& call = innocents[server * kRequestsOfServer + i];
      model.CrashServer(model.RandomBelow(gateways),
                        "m" + std::to_string(server),
                        { { call.fingerprint_, 0 } });
    }
    model.RunUntil(model.NowMs() + 20);
  }
  for (auto& call : innocents) {
    model.Send(call);
  }
  SendRepeatedly(model, calls, 200, model.NowMs() + 1500);
  EXPECT_TRUE(
    std::ranges::all_of(innocents, &GatewayFleetModel::Call::served_));
  SendRepeatedly(model, calls, 200, 30000);
  for (const auto& call : calls) {
    EXPECT_LE(LateSends(call), kAllowedSends);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Sizes,
  CrashingCallsModel,
  testing::Values(Size{ 8, 20 }, Size{ 65, 6 }, Size{ 300, 2 }),
  [](const auto& aInfo) {
    return "Gateways" + std::to_string(aInfo.param.gateways_);
  });

}
}

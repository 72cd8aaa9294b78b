#include "policy/CrashQuarantine.hpp"
#include "tests/GatewayFixture.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

constexpr uint64_t kCrashingRequest = 1;
/// Crashes that are allowed before the quarantine must take effect.
constexpr int kToleratedCrashes = 3;

SuspectVerdict Begin(CrashQuarantine& aQuarantine, TimeMs aNowMs)
{
  return aQuarantine.TryBegin(kCrashingRequest, "server", aNowMs).verdict_;
}

// Guards against crashes that are not summed up because each router detected
// only one.
TEST(CrashingCalls, CrashesSeenByDifferentRoutersAddUp)
{
  constexpr int kRouters = 5;
  std::vector<CrashQuarantine> routers(kRouters);
  for (int i = 0; i < kRouters; ++i) {
    routers[i].OnCrash("server-" + std::to_string(i), { kCrashingRequest }, i);
  }
  for (auto& from : routers) {
    for (auto& to : routers) {
      to.Merge(from.Entries(10), 11);
    }
  }
  int starts = 0;
  for (auto& router : routers) {
    starts += Begin(router, 100) == SuspectVerdict::Run ? 1 : 0;
  }
  EXPECT_LE(starts, 1);
}

// Guards against a delayed message that revokes a release.
TEST(CrashingCalls, LateMessageDoesNotRevokeARelease)
{
  CrashQuarantine local;
  CrashQuarantine peer;
  peer.OnCrash("a", { kCrashingRequest }, 0);
  peer.OnCrash("b", { kCrashingRequest }, 1000);
  const auto entries = peer.Entries(1000);
  local.Merge(entries, 1010);
  local.Release(kCrashingRequest, 1020);
  local.Merge(entries, 1060);
  EXPECT_EQ(Begin(local, 1070), SuspectVerdict::Run);
  peer.Merge(local.Entries(1080), 1090);
  EXPECT_EQ(Begin(peer, 1100), SuspectVerdict::Run);
}

std::string CrashingCall(int aId)
{
  return GatewayFixture::MakeRequest(
    "POST", "plain", "crash" + std::to_string(aId), "", "crash");
}

// Guards against a rejection that counts as proof that the request is harmless.
TEST(CrashingCalls, RefusalDoesNotClearACrash)
{
  constexpr int kServers = 8;
  int crashes = 0;
  int calls = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      if (++calls % 2 == 0) {
        aExchange.write_("HTTP/1.1 503 Busy\r\nCactuspitch-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
        return;
      }
      ++crashes;
      aExchange.server_->Crash();
    },
    kServers);
  for (int id = 0; id < 2 * kServers; ++id) {
    fixture.SendAndWait(CrashingCall(id));
    fixture.RunFor(30);
  }
  EXPECT_LE(crashes, kToleratedCrashes);
}

// Guards against crashes that are not detected because the server listens again
// before the next connection attempt.
TEST(CrashingCalls, ServerThatRestartsAtOnceHasCrashed)
{
  constexpr int kServers = 8;
  std::vector<ScriptedServer*> ended;
  int crashes = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++crashes;
      aExchange.server_->Crash();
      aExchange.server_->Restart();
      ended.push_back(aExchange.server_);
    },
    kServers);
  for (int id = 0; id < 2 * kServers; ++id) {
    fixture.SendAndWait(CrashingCall(id));
    fixture.RunFor(50);
    for (size_t index = 0; index < kServers; ++index) {
      if (std::erase(ended, &fixture.Backend(index)) > 0) {
        fixture.Reregister(index, 2 + id);
      }
    }
    fixture.RunFor(150);
  }
  EXPECT_LE(crashes, kToleratedCrashes);
}

// Guards against retries that continue because each arrives at another gateway,
// one of which was started after the crashes.
TEST(CrashingCalls, AllGatewaysRefuseWhatOneHasQuarantined)
{
  constexpr int kServers = 8;
  int crashes = 0;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++crashes;
      aExchange.server_->Crash();
    },
    kServers);
  const auto second = fixture.AddGateway("g2");
  fixture.RunFor(1500);
  for (int id = 0; id < 3; ++id) {
    fixture.SendAndWait(CrashingCall(id));
    fixture.RunFor(100);
  }
  EXPECT_LE(crashes, kToleratedCrashes);
  const int before = crashes;
  fixture.SendToAndWait(second, CrashingCall(3));
  const auto third = fixture.AddGateway("g3");
  fixture.RunFor(2500);
  const auto response = fixture.SendToAndWait(third, CrashingCall(4));
  EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
  EXPECT_EQ(crashes, before);
}

// Guards against a crash that is not detected because the caller has
// disconnected.
TEST(CrashingCalls, CrashCountsAfterItsCallerHasLeft)
{
  constexpr int kServers = 8;
  int crashes = 0;
  std::vector<std::unique_ptr<Timer>> timers;
  EventLoop* loop = nullptr;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      auto* server = aExchange.server_;
      timers.push_back(std::make_unique<Timer>(*loop, [&crashes, server] {
        ++crashes;
        server->Crash();
      }));
      timers.back()->Start(60);
    },
    kServers);
  loop = &fixture.Loop();
  for (int id = 0; id < kServers; ++id) {
    auto caller = fixture.Send(CrashingCall(id));
    fixture.RunFor(30);
    caller.reset();
    fixture.RunFor(120);
  }
  EXPECT_LE(crashes, kToleratedCrashes);
}

}
}

#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
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
/// Time until a change is in force: changes are batched before the next watch.
constexpr TimeMs kChangeMs = 800;

bool IsServed(const std::string& aResponse)
{
  return aResponse.find(" 200 ") != std::string::npos;
}

std::string AskPlain(GatewayFixture& aFixture, const std::string& aPath)
{
  auto request = GatewayFixture::MakeRequest("GET", "plain", "x");
  request.replace(request.find("/safe/x"), 7, aPath);
  return aFixture.SendAndWait(request);
}

Json Registration(const ScriptedServer& aServer,
                  const char* aService,
                  const char* aState)
{
  return { { "address", aServer.Address().ToText() },
           { "born", 1 },
           { "info",
             { { "service", aService }, { "zone", "z" }, { "slots", 4 } } },
           { "status", { { "state", aState }, { "seq", 1 } } } };
}

/// Makes the store's revision rise, so that it goes back by as much.
void RaiseRevision(GatewayFixture& aFixture)
{
  for (int count = 0; count < 50; ++count) {
    aFixture.Store().Put("other", "object", { { "count", count } });
  }
}

/// The store is away for a moment and comes back from a copy. aWrites is called
/// before the gateways reach it again.
void RestoreStore(GatewayFixture& aFixture,
                  TimeMs aAgeMs,
                  const std::function<void()>& aWrites = {})
{
  aFixture.SetStoreDown(true);
  aFixture.RunFor(300);
  aFixture.Store().Restore(aAgeMs + 300);
  if (aWrites) {
    aWrites();
  }
  aFixture.SetStoreDown(false);
}

// Guards against changes of registrations that are ignored because their
// revisions are below those before the restore.
TEST(RestoredStore, ServerThatLeavesAfterwardsGetsNoRequests)
{
  std::map<ScriptedServer*, int> requests;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++requests[aExchange.server_];
      aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, "body"));
    },
    2);
  const auto second = fixture.AddGateway("g2");
  fixture.RunFor(2 * kSecondMs);
  RaiseRevision(fixture);
  fixture.Reregister(0, 1);
  fixture.RunFor(kSecondMs);
  RestoreStore(fixture, kSecondMs + 500);
  fixture.RunFor(kSecondMs);
  fixture.Store().Put(
    "servers", "p0", Registration(fixture.Backend(0), "plain", "draining"));
  fixture.RunFor(kChangeMs);
  requests.clear();
  for (int id = 0; id < 10; ++id) {
    const auto request =
      GatewayFixture::MakeRequest("GET", "plain", Concat(id));
    EXPECT_TRUE(IsServed(fixture.SendAndWait(request)));
    EXPECT_TRUE(IsServed(fixture.SendToAndWait(second, request)));
  }
  EXPECT_EQ(requests[&fixture.Backend(0)], 0);
}

// Guards against a configuration change after the restore that does not come
// through, and against one that is undone because the copy does not have it.
TEST(RestoredStore, ConfigurationsAreKeptAndFollowed)
{
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, "body"));
    },
    1);
  fixture.RunFor(kSecondMs);
  RaiseRevision(fixture);
  fixture.PutConfig(2, { "/two/" });
  fixture.RunFor(kChangeMs);
  ASSERT_TRUE(IsServed(AskPlain(fixture, "/two/x")));
  RestoreStore(fixture, kChangeMs + 500, [&] {
    fixture.PutConfig(2, { "/two/" });
    fixture.PutConfig(3, { "/two/", "/three/" });
    // The revisions that the watchers know are given out again.
    RaiseRevision(fixture);
    RaiseRevision(fixture);
  });
  EXPECT_TRUE(IsServed(AskPlain(fixture, "/two/x")));
  fixture.RunFor(2 * kSecondMs);
  EXPECT_TRUE(IsServed(AskPlain(fixture, "/two/x")));
  EXPECT_TRUE(IsServed(AskPlain(fixture, "/three/x")));
}

// Guards against a server that had announced that it drains, or that had left,
// and gets requests because an old copy shows it as ready.
TEST(RestoredStore, ServersThatLeftBeforeAreNotUsedAgain)
{
  std::map<ScriptedServer*, int> requests;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      ++requests[aExchange.server_];
      aExchange.write_(GatewayFixture::MakeResponse(aExchange.head_, "body"));
    },
    3);
  fixture.RunFor(2 * kSecondMs);
  fixture.Store().Put(
    "servers", "p0", Registration(fixture.Backend(0), "plain", "draining"));
  fixture.Store().Remove("servers", "p1");
  fixture.RunFor(kChangeMs);
  requests.clear();
  RestoreStore(fixture, kChangeMs + 500);
  for (int id = 0; id < 40; ++id) {
    fixture.RunFor(50);
    EXPECT_TRUE(IsServed(fixture.SendAndWait(
      GatewayFixture::MakeRequest("GET", "plain", Concat(id)))));
  }
  EXPECT_EQ(requests[&fixture.Backend(0)], 0);
  EXPECT_EQ(requests[&fixture.Backend(1)], 0);
}

// Guards against a store that stays without what the gateways keep there: the
// leader's lease, the key table and their own registrations.
TEST(RestoredStore, GatewaysWriteTheirObjectsAgain)
{
  GatewayFixture fixture([](Exchange&) {}, 1);
  fixture.RunFor(2 * kSecondMs);
  const auto table = fixture.Store().Spec("cactuspitch-keys", "keys");
  const auto lease = fixture.Store().Spec("cactuspitch-leader", "leader");
  ASSERT_FALSE(table.is_null());
  RestoreStore(fixture, kSecondMs * 1000);
  fixture.RunFor(2 * kSecondMs);
  const auto writtenTable = fixture.Store().Spec("cactuspitch-keys", "keys");
  ASSERT_FALSE(writtenTable.is_null());
  EXPECT_EQ(writtenTable["services"], table["services"]);
  EXPECT_EQ(writtenTable["term"], table["term"]);
  const auto writtenLease =
    fixture.Store().Spec("cactuspitch-leader", "leader");
  ASSERT_FALSE(writtenLease.is_null());
  EXPECT_EQ(writtenLease["term"], lease["term"]);
  EXPECT_FALSE(fixture.Store().Spec("cactuspitch", "instance.g1").is_null());
}

/// Leases as the servers see them, which start when a grant arrives.
class GrantLog
{
public:
  explicit GrantLog(EventLoop& aLoop)
    : loop_(aLoop)
  {
  }
  void OnCommand(const Exchange& aExchange)
  {
    const auto body = Json::parse(aExchange.body_);
    const std::string server(
      aExchange.head_.Field("Cactuspitch-Target-Instance"));
    const auto first = body.at("from").get<uint32_t>();
    const auto last = body.at("to").get<uint32_t>();
    if (first <= kKey && kKey <= last) {
      if (aExchange.head_.target_ == "/-/release") {
        untilMs_[server] = 0;
      } else {
        const auto holdMs = body.at("hold-s").get<double>() * 1000;
        untilMs_[server] = loop_.NowMs() + static_cast<TimeMs>(holdMs);
        CheckOwners();
      }
    }
    aExchange.write_("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  std::string Owner() const
  {
    const auto found = std::ranges::find_if(untilMs_, [&](const auto& aEntry) {
      return aEntry.second > loop_.NowMs();
    });
    return found == untilMs_.end() ? std::string() : found->first;
  }
  int Conflicts() const { return conflicts_; }

  static constexpr uint32_t kKey = 77;

private:
  void CheckOwners()
  {
    const auto owners =
      std::ranges::count_if(untilMs_, [&](const auto& aEntry) {
        return aEntry.second > loop_.NowMs();
      });
    conflicts_ += owners > 1 ? 1 : 0;
  }

  EventLoop& loop_;
  std::map<std::string, TimeMs> untilMs_;
  int conflicts_ = 0;
};

// Guards against a new leader that takes the owners of a restored table for the
// present ones, while later owners still hold leases.
TEST(RestoredStore, NewLeaderWaitsForOwnersThatTheTableLacks)
{
  GatewayFixture fixture([](Exchange&) {}, 1, 2);
  GrantLog grants(fixture.Loop());
  fixture.SetCommandScript(
    [&](Exchange& aExchange) { grants.OnCommand(aExchange); });
  fixture.AddGateway("g2");
  fixture.RunFor(2 * kSecondMs);
  const auto before = grants.Owner();
  ASSERT_FALSE(before.empty());
  // The owner of the key drains, so that another one gets it.
  const auto movedMs = fixture.Loop().NowMs();
  fixture.Store().Put(
    "servers", before, Registration(fixture.Backend(1), "keyed", "draining"));
  ASSERT_TRUE(fixture.RunUntil([&] {
    const auto owner = grants.Owner();
    return !owner.empty() && owner != before;
  }));
  fixture.RunFor(200);
  // The copy is older than the move, and the leader ends with the outage.
  fixture.SetStoreDown(true);
  fixture.KillGateway();
  fixture.RunFor(100);
  fixture.Store().Restore(fixture.Loop().NowMs() - movedMs + 100);
  fixture.SetStoreDown(false);
  fixture.RunFor(500);
  fixture.RestartGateway();
  fixture.RunFor(5 * kSecondMs);
  EXPECT_EQ(grants.Conflicts(), 0);
  EXPECT_FALSE(grants.Owner().empty());
}

}
}

// What gateways tell each other of entries that name no server.

#include "common/Strings.hpp"
#include "gateway/PeerMesh.hpp"
#include "gossip_types.h"
#include "tests/ServiceFixture.hpp"

#include <set>
#include <stdexcept>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

/// A gateway that only listens to what the others tell it.
class OddGossipTest : public ServiceFixture
{
protected:
  OddGossipTest()
  {
    if (!listener_.Open(address_)) {
      throw std::runtime_error("cannot bind the listener");
    }
    fixture_.Store().Put("cactuspitch",
                         "instance.listener",
                         { { "peer", address_.ToText() },
                           { "bootId", 1 },
                           { "domain", "z" },
                           { "cpuPercent", 10 } });
  }
  static nlohmann::json Registration(const std::string& aService,
                                     const std::string& aDomain)
  {
    return {
      { "address", "127.0.0.1:1" },
      { "born", 1 },
      { "info",
        { { "service", aService }, { "zone", aDomain }, { "slots", 4 } } },
      { "status", { { "state", "ready" }, { "seq", 1 } } }
    };
  }

  Endpoint address_ = FreeEndpoint();
  int heard_ = 0;
  std::set<std::string> changed_;
  std::set<std::string> removed_;
  EventLog log_{ fixture_.Loop(), LogLevel::Error, STDERR_FILENO };
  PeerMesh listener_{
    fixture_.Loop(),
    log_,
    "listener",
    "z",
    [this](const wire::Gossip& aGossip, const Endpoint&, const Endpoint&) {
      ++heard_;
      for (const auto& change : aGossip.changes) {
        (change.removed ? removed_ : changed_).insert(change.id);
      }
    },
    [] { return 0; }
  };
};

// Guards against entries that no gateway uses in datagrams: the receivers drop
// a datagram that holds a name which is none, and with it the changes beside
// it.
TEST_F(OddGossipTest, AreNotToldOn)
{
  ASSERT_TRUE(Eventually([this] { return heard_ > 0; }));
  auto& store = fixture_.Store();
  const std::string large(70000, 'x');
  // Changes that follow a first one arrive together.
  fixture_.Register("p8", 0, 2);
  fixture_.RunFor(20);
  store.Put("servers", "a\r\nX: y", { { "note", "of another writer" } });
  store.Put("servers", "a\x7f", Registration("plain", "z"));
  store.Put("servers", large, Registration("plain", "z"));
  store.Put("servers", "odd-service", Registration("pl\nain", "z"));
  store.Put("servers", "odd-domain", Registration("plain", "z\r"));
  store.Put("servers", "large-service", Registration(large, "z"));
  store.Put("servers", "large-domain", Registration("plain", large));
  store.Put("servers", "a&b", { { "note", "of another writer" } });
  store.PutText(
    "servers", "a\xff", "{\"metadata\":{\"name\":\"a\xff\",\"revision\":7}}");
  store.Remove("servers", "a\x7f");
  fixture_.Register("p9", 0, 3);
  fixture_.RunFor(1000);
  EXPECT_EQ(changed_, (std::set<std::string>{ "p8", "p9" }));
  EXPECT_EQ(removed_, std::set<std::string>{});
  // A server that is known and whose entry is overwritten is in use no more.
  store.Put("servers", "p9", { { "note", "of another writer" } });
  fixture_.RunFor(1000);
  EXPECT_EQ(removed_, std::set<std::string>{ "p9" });
}

// Guards against a datagram of an earlier version that is dropped as a whole
// because of one change.
TEST_F(OddGossipTest, LeaveTheOtherChangesOfADatagram)
{
  ASSERT_TRUE(Eventually([this] { return heard_ > 0; }));
  const auto change = [](const std::string& aId, const std::string& aService) {
    wire::BackendChange entry;
    entry.id = aId;
    entry.serviceName = aService;
    return entry;
  };
  wire::Gossip gossip;
  gossip.instance = "g1";
  gossip.changes = { change("a\xff", "plain"),
                     change("p5", "plain"),
                     change("p6", "pl\nain"),
                     change("p7", "plain") };
  PeerMesh sender(fixture_.Loop(), log_, "g1", "z", {}, [] { return 0; });
  ASSERT_TRUE(sender.Open(FreeEndpoint()));
  sender.SendTo(address_, gossip);
  fixture_.RunFor(100);
  EXPECT_EQ(changed_, (std::set<std::string>{ "p5", "p7" }));
}

}
}

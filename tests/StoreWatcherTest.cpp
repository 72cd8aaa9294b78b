#include "gateway/StoreWatcher.hpp"

#include "platform/ObjectCodec.hpp"
#include "tests/GatewayFixture.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {
namespace {

/// A watcher of one kind and a store that responds to lists and leaves watches
/// open.
class StoreWatcherTest : public testing::Test
{
protected:
  void HandleRequest(ScriptedServer::Exchange& aExchange)
  {
    if (aExchange.head_.target_.find("watch=") != std::string::npos) {
      ++watches_;
      return;
    }
    ++lists_;
    const auto body = nlohmann::json{ { "items", nlohmann::json::array() },
                                      { "has-more", false },
                                      { "at", 10 + lists_ } };
    aExchange.write_(TextResponse(200, body.dump()));
  }
  EventLoop loop_;
  EventLog log_{ loop_, LogLevel::Error, STDERR_FILENO };
  HttpClient client_{ loop_ };
  platform::ObjectCodec objects_;
  int lists_ = 0;
  int watches_ = 0;
  ScriptedServer server_{ loop_, [this](auto& aExchange) {
                           HandleRequest(aExchange);
                         } };
  StoreClient store_{ loop_, log_, client_, objects_, server_.Address() };
};

// Guards against a gateway that resumes its watch and replays states that are
// older than what it and the others have received by gossip: a server that was
// shutting down appeared ready again (tas-south hunt-39c0-3, rule DRAIN).
TEST_F(StoreWatcherTest, ListsWhenItBecomesActiveAgain)
{
  StoreWatcher watcher(loop_,
                       log_,
                       store_,
                       "servers",
                       5000,
                       ResumeMode::List,
                       true,
                       { [](const std::vector<StoreObject>&) {},
                         [](const std::vector<ObjectEvent>&) {} });
  watcher.Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return watches_ == 1; }));
  watcher.SetActive(false);
  watcher.SetActive(true);
  EXPECT_TRUE(watcher.HasListed()) << "the gateway would not be ready";
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return watches_ == 2; }));
  EXPECT_EQ(lists_, 2);
}

// Guards against sending outdated states of one response to other gateways.
TEST(LatestEventPerObject, KeepsLastEventOfEachObject)
{
  const auto event = [](const char* aName, int64_t aRevision) {
    ObjectEvent result;
    result.object_.name_ = aName;
    result.object_.revision_ = aRevision;
    return result;
  };
  const auto latest = LatestEventPerObject(
    { event("a", 1), event("b", 2), event("a", 3), event("c", 4) });
  ASSERT_EQ(latest.size(), 3U);
  EXPECT_EQ(latest[0].object_.revision_, 2);
  EXPECT_EQ(latest[1].object_.revision_, 3);
  EXPECT_EQ(latest[2].object_.revision_, 4);
}

}
}

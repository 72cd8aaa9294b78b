#include "store/HttpObjectStore.hpp"

#include "common/HttpServer.hpp"
#include "common/Strings.hpp"
#include "standin/StandinStore.hpp"
#include "tests/ReservedPort.hpp"

#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr size_t kMaxBodyBytes = 1 << 20;

class HttpObjectStoreTest : public testing::Test
{
protected:
  HttpObjectStoreTest()
    : address_(port_.Address())
    , server_(clock_, address_)
    , store_(clock_, { address_, 200, 300 })
  {
    EXPECT_TRUE(server_.Start().ok());
  }
  ~HttpObjectStoreTest() override { server_.Stop(); }

  std::string Send(const std::string& aMethod,
                   const std::string& aTarget,
                   std::string_view aBody)
  {
    HttpConnection connection(clock_, address_);
    const auto response = connection.Exchange(
      { aMethod, aTarget, {}, aBody }, clock_.NowMs() + 2000, kMaxBodyBytes);
    return response.ok() ? response->body_ : response.status().ToString();
  }

  SteadyClock clock_;
  ReservedPort port_;
  std::string address_;
  StandinStore server_;
  HttpObjectStore store_;
};

// Guards against a conditional update that overwrites the update of another
// writer.
TEST_F(HttpObjectStoreTest, ConditionalUpdate)
{
  const auto first = store_.Put("group", "a.0", kMustNotExist, "one");
  ASSERT_TRUE(first.ok()) << first.status();
  EXPECT_TRUE(absl::IsFailedPrecondition(
    store_.Put("group", "a.0", kMustNotExist, "x").status()));
  const auto second = store_.Put("group", "a.0", *first, "two");
  ASSERT_TRUE(second.ok());
  EXPECT_GT(*second, *first);
  EXPECT_TRUE(absl::IsFailedPrecondition(
    store_.Put("group", "a.0", *first, "x").status()));
  EXPECT_EQ(store_.Get("group", "a.0")->value_, "two");
  EXPECT_TRUE(absl::IsNotFound(store_.Get("group", "b.0").status()));
  EXPECT_TRUE(store_.Delete("group", "a.0", *second).ok());
  EXPECT_TRUE(store_.List("group")->empty());
}

// Guards against names that change the meaning of a request.
TEST_F(HttpObjectStoreTest, NamesStandForThemselves)
{
  const std::vector<std::string> names = { "a&b", "a+b",    "a#b",     "a%b",
                                           "a b", "a/b",    "a?b",     "a%41b",
                                           "..",  "a\r\nb", "\xc3\xa9" };
  for (const auto& name : names) {
    const auto version = store_.Put("odd", name, kMustNotExist, name);
    ASSERT_TRUE(version.ok()) << name << version.status();
    EXPECT_EQ(store_.Get("odd", name)->value_, name);
  }
  const auto listed = store_.List("odd");
  ASSERT_TRUE(listed.ok());
  EXPECT_EQ(listed->size(), names.size());
  for (const auto& object : *listed) {
    EXPECT_EQ(object.value_, object.name_);
    EXPECT_TRUE(store_.Delete("odd", object.name_, object.version_).ok());
  }
  EXPECT_TRUE(store_.List("odd")->empty());
}

// Guards against one object of another writer that makes a whole list
// unreadable: no group, server or configuration would be known.
TEST(HttpObjectStore, OddObjectsLeaveTheOthersReadable)
{
  const SteadyClock clock;
  const ReservedPort port;
  std::string body;
  HttpServer server(
    { .listen_ = port.Address(), .threads_ = 4 },
    [&](HttpExchange& aExchange) { aExchange.Respond(200, {}, body); });
  ASSERT_TRUE(server.Start().ok());
  HttpObjectStore store(clock, { port.Address(), 500, 500 });
  const auto object = [](const std::string& aName, int aVersion) {
    return Concat(
      R"({"name":")", aName, R"(","version":)", aVersion, R"(,"value":"v"})");
  };
  int64_t revision = 0;
  for (const auto& odd :
       { std::string("7"),
         std::string("null"),
         std::string("{}"),
         std::string("?"),
         object("b\xff", 7),
         std::string(R"({"name":7,"version":7,"value":""})"),
         std::string(R"({"name":"b","value":""})"),
         std::string(R"({"name":"b","version":1e999})"),
         std::string(R"({"name":"b","version":7,"value":{}})"),
         Concat(std::string(100000, '['), std::string(100000, ']')) }) {
    body = Concat(R"({"objects":[)",
                  object("a", 5),
                  ",",
                  odd,
                  ",",
                  object("c", 6),
                  R"(],"revision":9})");
    const auto listed = store.List("server");
    ASSERT_TRUE(listed.ok()) << odd.substr(0, 99) << listed.status();
    ASSERT_EQ(listed->size(), 2U) << odd.substr(0, 99);
    EXPECT_EQ(listed->back().name_, "c");
    const auto watched = store.Watch("server", 4, 0, revision);
    ASSERT_TRUE(watched.ok()) << odd.substr(0, 99);
    EXPECT_EQ(watched->size(), 2U);
    EXPECT_EQ(revision, 9);
  }
  // Whether objects are missing is not known.
  for (const char* malformed : { "",
                                 "{}",
                                 R"({"objects":[]})",
                                 R"({"objects":{},"revision":9})",
                                 R"({"objects":[{,"revision":9})",
                                 R"({"objects":[],"revision":"9"})" }) {
    body = malformed;
    EXPECT_FALSE(store.List("server").ok()) << malformed;
  }
  // Watched again without a pause.
  body = Concat(R"({"objects":[)", object("a", 5), R"(],"revision":9})");
  EXPECT_FALSE(store.Watch("server", 9, 0, revision).ok());
  server.Stop();
}

// Guards against a watch that misses a change or reports it twice.
TEST_F(HttpObjectStoreTest, WatchReportsEachChangeOnce)
{
  int64_t revision = 0;
  ASSERT_TRUE(store_.Put("config", "fleet", kMustNotExist, "1").ok());
  EXPECT_EQ(store_.Watch("config", 0, 1000, revision)->size(), 1u);
  std::thread writer([&] {
    const int64_t version = store_.Get("config", "fleet")->version_;
    EXPECT_TRUE(store_.Put("config", "fleet", version, "2").ok());
  });
  const auto changed = store_.Watch("config", revision, 5000, revision);
  writer.join();
  ASSERT_EQ(changed->size(), 1u);
  EXPECT_EQ(changed->front().value_, "2");
  EXPECT_TRUE(store_.Watch("config", revision, 50, revision)->empty());
}

// Guards against reporting a write as failed when it took effect but its
// response was lost.
TEST_F(HttpObjectStoreTest, LostResponseIsUnknown)
{
  Send("POST", "/_fault", R"({"loseAnswers": 1})");
  EXPECT_TRUE(
    absl::IsUnknown(store_.Put("group", "a.0", kMustNotExist, "x").status()));
  EXPECT_EQ(store_.Get("group", "a.0")->value_, "x");
}

// Guards against calls without a timeout and wrong status codes while the store
// is down.
TEST_F(HttpObjectStoreTest, StoreFailuresAreClassified)
{
  const auto put = [this] {
    return store_.Put("group", "a.0", kMustNotExist, "x").status();
  };
  Send("POST", "/_fault", R"({"down": "answer"})");
  EXPECT_TRUE(absl::IsUnavailable(put()));
  Send("POST", "/_fault", R"({"down": "silent"})");
  EXPECT_TRUE(absl::IsUnknown(put()));
  EXPECT_TRUE(absl::IsDeadlineExceeded(store_.Get("group", "a.0").status()));
  Send("POST", "/_fault", R"({"down": "none"})");
  EXPECT_TRUE(put().ok());
  const ReservedPort unusedPort;
  HttpObjectStore refused(clock_, { unusedPort.Address(), 200, 300 });
  EXPECT_TRUE(absl::IsUnavailable(
    refused.Put("group", "a.0", kMustNotExist, "x").status()));
}

// Guards against a stand-in store without the replication lag of the real
// platform: a list may lag behind the writes.
TEST_F(HttpObjectStoreTest, ListLags)
{
  Send("POST", "/_fault", R"({"lagMs": {"server": 300}})");
  Send("PUT", "/_platform/server/s1", "{}");
  EXPECT_TRUE(store_.List("server")->empty());
  int64_t revision = 0;
  EXPECT_EQ(store_.Watch("server", 0, 5000, revision)->size(), 1u);
  EXPECT_EQ(store_.List("server")->size(), 1u);
}

}
}

#include "store/HttpObjectStore.hpp"

#include "standin/StandinStore.hpp"
#include "tests/ReservedPort.hpp"

#include <thread>

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

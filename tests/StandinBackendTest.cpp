#include "standin/StandinBackend.hpp"

#include "common/KeyHash.hpp"
#include "common/Strings.hpp"
#include "tests/ReservedPort.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using nlohmann::json;

constexpr TimeMs kOffsetMs = 1000000;

json MakeGrantCommand(Term aTerm,
                      int64_t aSequence,
                      TimeMs aUntilMs,
                      Epoch aEpoch)
{
  return {
    { "group", "ledger.0" },
    { "term", aTerm },
    { "sequence", aSequence },
    { "incarnation", "inc" },
    { "validUntilMs", aUntilMs },
    { "add",
      { { { "begin", 0 }, { "end", UINT64_MAX }, { "epoch", aEpoch } } } },
    { "full", true }
  };
}

// Guards against a stand-in that accepts commands or requests that a real
// server rejects, and so hides faults of the product.
TEST(BackendGrants, StaleCommandsAndRequestsAreRejected)
{
  BackendGrants grants("inc", true);
  EXPECT_EQ(grants.Begin(5, 1, 0), NotRunReason::NotOwner);
  EXPECT_TRUE(grants.Apply(MakeGrantCommand(2, 1, 100, 7), 0, 0));
  EXPECT_FALSE(grants.Apply(MakeGrantCommand(1, 9, 100, 8), 0, 0))
    << "lower term";
  EXPECT_FALSE(grants.Apply(MakeGrantCommand(2, 2, 50, 8), 50, 0))
    << "expired command";
  auto other = MakeGrantCommand(2, 2, 100, 8);
  other["incarnation"] = "gone";
  EXPECT_FALSE(grants.Apply(other, 0, 0));
  EXPECT_EQ(grants.Begin(5, 6, 0), NotRunReason::StaleEpoch);
  EXPECT_EQ(grants.Begin(5, 7, 100), NotRunReason::LeaseExpired);
  EXPECT_EQ(grants.Begin(5, 7, 99), std::nullopt);
  EXPECT_EQ(grants.Commit(5, 7, 100), NotRunReason::LeaseExpired);
  const json report = { { "term", 3 },
                        { "sequence", 0 },
                        { "incarnation", "" } };
  EXPECT_TRUE(grants.Apply(report, 0, 0));
  EXPECT_FALSE(grants.Apply(MakeGrantCommand(2, 5, 100, 7), 0, 0))
    << "fenced term";
}

// Guards against a revocation that is acknowledged while a request in the
// revoked slice can still take effect.
TEST(BackendGrants, RevokeWaitsForRunningRequests)
{
  BackendGrants grants("inc", true);
  ASSERT_TRUE(grants.Apply(MakeGrantCommand(1, 1, 1000, 7), 0, 0));
  ASSERT_EQ(grants.Begin(5, 7, 0), std::nullopt);
  json revoke = { { "term", 1 },
                  { "sequence", 2 },
                  { "incarnation", "inc" },
                  { "validUntilMs", 1000 },
                  { "remove", { { { "begin", 0 } } } } };
  std::atomic<bool> ended = false;
  std::thread request([&] {
    while (grants.Begin(6, 7, 0) == std::nullopt) {
      grants.End(6, 7);
    }
    EXPECT_EQ(grants.Commit(5, 7, 0), std::nullopt);
    ended = true;
    grants.End(5, 7);
  });
  EXPECT_TRUE(grants.Apply(revoke, 0, 10000));
  EXPECT_TRUE(ended);
  request.join();
  EXPECT_EQ(grants.Commit(5, 7, 0), NotRunReason::NotOwner);
}

class StandinBackendTest : public testing::Test
{
protected:
  StandinBackendTest()
    : backend_(clock_,
               { .id_ = "b1",
                 .service_ = "ledger",
                 .listen_ = port_.Address(),
                 .slots_ = 1,
                 .queue_ = 0,
                 .connections_ = 8,
                 .clockOffsetMs_ = kOffsetMs })
  {
    EXPECT_TRUE(backend_.Start().ok());
  }

  HttpResponse Call(const std::string& aMethod,
                    const std::string& aTarget,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody = {})
  {
    HttpConnection connection(clock_, port_.Address());
    const auto response = connection.Exchange(
      { aMethod, aTarget, aHeaders, aBody }, clock_.NowMs() + 3000, 1 << 20);
    EXPECT_TRUE(response.ok()) << response.status();
    return response.ok() ? *response : HttpResponse{};
  }
  void Grant()
  {
    const auto health =
      json::parse(Call("GET", "/_cactuspitch/health", {}).body_);
    auto command =
      MakeGrantCommand(1, 1, health["clockMs"].get<TimeMs>() + 5000, 7);
    command["incarnation"] = health["incarnation"];
    EXPECT_EQ(
      Call("POST", "/_cactuspitch/grant", {}, command.dump()).head_.status_,
      200);
  }

  SteadyClock clock_;
  ReservedPort port_;
  StandinBackend backend_;
};

// Guards against executions missing from the history, and against deadlines
// compared with a clock other than the server's own.
TEST_F(StandinBackendTest, RunsRequestsWithinGrantAndDeadline)
{
  Grant();
  const HttpHeaders headers = { { header::kSliceEpoch, "7" },
                                { header::kRequestId, "r1" } };
  EXPECT_EQ(Call("POST", "/ledger/k1", headers).head_.status_, 200);
  auto late = headers;
  late.emplace_back(header::kDeadlineClockMs,
                    std::to_string(clock_.NowMs() + kOffsetMs - 1));
  EXPECT_EQ(Call("POST", "/ledger/k1", late).head_.Header(header::kNotRun),
            "deadline");
  EXPECT_EQ(Call("GET", "/ledger/k1", {}).head_.Header(header::kNotRun),
            "not-owner");
  EXPECT_EQ(Call("GET", "/ledger/k1/blob?bytes=100000", headers).body_.size(),
            100000u);
  const auto history = Call("GET", "/_history", {}).body_;
  EXPECT_EQ(std::ranges::count(history, '\n'), 2);
  EXPECT_EQ(json::parse(history.substr(0, history.find('\n')))["id"], "r1");
}

// Guards against running a request that was cancelled or rejected as busy.
TEST_F(StandinBackendTest, CancelledAndShedRequestsAreNotRun)
{
  Grant();
  Call("POST", "/_fault", {}, R"({"serviceUs": 20000000})");
  const HttpHeaders headers = { { header::kSliceEpoch, "7" },
                                { header::kRequestId, "r1" } };
  std::thread first([&] {
    EXPECT_EQ(Call("POST", "/ledger/k1", headers).head_.Header(header::kNotRun),
              "deadline");
  });
  while (json::parse(Call("GET", "/_cactuspitch/health", {}).body_)["load"] <
         1.0) {
  }
  EXPECT_EQ(Call("POST", "/ledger/k1", headers).head_.Header(header::kNotRun),
            "busy");
  Call("POST", "/_cactuspitch/cancel?id=r1", {});
  first.join();
  EXPECT_TRUE(Call("GET", "/_history", {}).body_.empty());
}

}
}

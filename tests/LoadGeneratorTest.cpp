#include "standin/LoadGenerator.hpp"

#include "common/HttpServer.hpp"
#include "common/Strings.hpp"
#include "tests/ReservedPort.hpp"

#include <thread>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

std::string MakeResponseBody(const HttpExchange& aExchange)
{
  const auto path = aExchange.Path();
  return Concat(R"({"id":")",
                aExchange.Header(header::kRequestId),
                R"(","key":")",
                path.substr(path.rfind('/') + 1),
                R"("})");
}

class LoadGeneratorTest : public testing::Test
{
protected:
  LoadReport Run(HttpServer::Handler aHandler, double aRate = 500)
  {
    HttpServer server({ .listen_ = port_.Address(), .threads_ = 4 },
                      std::move(aHandler));
    EXPECT_TRUE(server.Start().ok());
    LoadOptions options;
    options.targets_ = { port_.Address() };
    options.services_ = { "ledger" };
    options.rate_ = aRate;
    options.durationMs_ = 200;
    options.connections_ = 1;
    options.keys_ = 10;
    return RunLoad(clock_, options);
  }

  SteadyClock clock_;
  ReservedPort port_;
};

// Guards against counting the response of another request as complete.
TEST_F(LoadGeneratorTest, MismatchedResponsesAreCounted)
{
  int count = 0;
  std::string previous;
  const auto report = Run([&](HttpExchange& aExchange) {
    const auto own = MakeResponseBody(aExchange);
    aExchange.Respond(200, {}, ++count % 10 == 0 ? previous : own);
    previous = own;
  });
  EXPECT_EQ(report.Requests(), 100);
  EXPECT_EQ(report.Count(LoadOutcome::Mismatched), 10);
  EXPECT_EQ(report.Count(LoadOutcome::Complete), 90);
}

// Guards against counting a truncated response as complete.
TEST_F(LoadGeneratorTest, TruncatedResponsesAreCounted)
{
  const auto report = Run([](HttpExchange& aExchange) {
    const auto text = MakeResponseBody(aExchange);
    aExchange.BeginResponse(200, {}, text.size() + 1);
    aExchange.Write(text);
  });
  EXPECT_EQ(report.Count(LoadOutcome::Complete), 0);
  EXPECT_GE(report.Count(LoadOutcome::Truncated), 100);
}

// Guards against coordinated omission: latencies measured from an actual send
// time that a stall has already delayed hide the stall.
TEST_F(LoadGeneratorTest, LatencyIsMeasuredFromIntendedSendTime)
{
  int count = 0;
  const auto report = Run([&](HttpExchange& aExchange) {
    if (++count == 1) {
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    aExchange.Respond(200, {}, MakeResponseBody(aExchange));
  });
  EXPECT_EQ(report.Requests(), 100);
  // The stall delays the first 75 requests, by 150 ms down to 0.
  EXPECT_GE(report.LatencyMs(0.7), 75);
}

// Guards against a retry before the time in X-Retry-After-Ms, and against a
// retry of a POST whose outcome is unknown.
TEST_F(LoadGeneratorTest, RetriesFollowTheResponse)
{
  std::map<std::string, std::pair<int, TimeMs>, std::less<>> seen;
  const auto report = Run([&](HttpExchange& aExchange) {
    const auto id = std::string(aExchange.Header(header::kRequestId));
    auto& [sends, last] = seen[id];
    const TimeMs now = clock_.NowMs();
    EXPECT_TRUE(sends == 0 || now - last >= 50);
    ++sends;
    last = now;
    if (aExchange.Method() == "POST") {
      aExchange.Respond(500, { { header::kOutcome, "unknown" } }, {});
    } else if (sends < 3) {
      aExchange.Respond(503,
                        { { header::kOutcome, "not-run" },
                          { header::kNotRun, "busy" },
                          { header::kRetryAfterMs, "50" } },
                        {});
    } else {
      aExchange.Respond(200, {}, MakeResponseBody(aExchange));
    }
    EXPECT_TRUE(aExchange.Method() == "GET" || sends == 1);
  });
  EXPECT_EQ(report.Count(LoadOutcome::Complete) +
              report.Count(LoadOutcome::Unknown),
            100);
  EXPECT_EQ(report.Count(LoadOutcome::NotRun),
            2 * report.Count(LoadOutcome::Complete));
  EXPECT_GT(report.LongestGapMs(), 50);
}

}
}

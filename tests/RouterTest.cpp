#include "RouterFixture.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Response = FakeBackend::Response;
using Request = FakeBackend::Request;
using AfterResponse = FakeBackend::AfterResponse;

std::string OutcomeOf(const HttpResponse& aResponse)
{
  return std::string(aResponse.head_.Header(header::kOutcome));
}

/// Backend server that sends a list of responses in order and then repeats the
/// last one.
class ScriptedBackend
{
public:
  explicit ScriptedBackend(
    std::vector<std::function<Response(FakeBackend&)>> aResponses)
    : responses_(std::move(aResponses))
    , backend_([this](const Request&) {
      const auto index = std::min(next_++, responses_.size() - 1);
      return responses_[index](backend_);
    })
  {
  }

  std::vector<std::function<Response(FakeBackend&)>> responses_;
  std::atomic<size_t> next_ = 0;
  FakeBackend backend_;
};

Response Ok(FakeBackend& aBackend)
{
  return aBackend.Ok("value");
}

Response Raw(std::string aBytes, AfterResponse aThen)
{
  return { std::move(aBytes), aThen };
}

// Guards against forwarding a request without the headers that the server
// checks, and against internal headers in the response to the caller.
TEST(Router, ForwardsProtocolHeaders)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_, 7);
  const auto response =
    fixture.Send("GET", "/svc/key/more?q=1", { { "X-Request-Id", "r1" } });
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->body_, "value");
  EXPECT_EQ(OutcomeOf(*response), "complete");
  EXPECT_EQ(response->head_.Header(header::kIncarnation), "");
  const auto sent = server.backend_.Requests().at(0);
  EXPECT_EQ(sent.Path(), "/svc/key/more?q=1");
  EXPECT_EQ(sent.Header("X-Slice-Epoch"), "7");
  EXPECT_EQ(sent.Header("X-Request-Id"), "r1");
  EXPECT_NE(sent.Header("X-Deadline-Clock-Ms"), "");
}

// Guards against sending the server a deadline that is later than the caller's,
// converted to the server's clock.
TEST(Router, DeadlineIsConvertedToServerClock)
{
  ScriptedBackend server({ Ok });
  server.backend_.SetClockMs(5000000);
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  ASSERT_TRUE(fixture.Get({ { "X-Deadline-Ms", "800" } }).ok());
  TimeMs deadline = 0;
  ASSERT_TRUE(ParseNumber(
    server.backend_.Requests().at(0).Header("X-Deadline-Clock-Ms"), deadline));
  EXPECT_LE(deadline, 5000800);
  EXPECT_GT(deadline, 5000600);
}

// Guards against opening a new connection for each request.
TEST(Router, ConnectionsAreReused)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(fixture.Get().ok());
  }
  EXPECT_EQ(server.backend_.Connections(), 1);
}

struct FailureCase
{
  const char* name_;
  std::function<Response(FakeBackend&)> failure_;
  /// Expected X-Outcome of a POST. A GET is retried and completes.
  const char* postOutcome_;
};

const FailureCase kFailures[] = {
  { "closed-without-answer",
    [](FakeBackend&) { return Raw("", AfterResponse::Close); },
    "unknown" },
  { "reset",
    [](FakeBackend&) { return Raw("", AfterResponse::Reset); },
    "unknown" },
  { "partial-head",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 200 OK\r\nA: ", AfterResponse::Close);
    },
    "unknown" },
  { "partial-body",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                 AfterResponse::Close);
    },
    "unknown" },
  { "partial-chunk",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "4\r\nhalf\r\n",
                 AfterResponse::Close);
    },
    "unknown" },
  { "malformed-answer",
    [](FakeBackend&) { return Raw("BOGUS\r\n\r\n", AfterResponse::Close); },
    "unknown" },
  { "status-000",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno",
                 AfterResponse::Close);
    },
    "unknown" },
  { "status-099",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nno",
                 AfterResponse::Close);
    },
    "unknown" },
  { "status-600",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nno",
                 AfterResponse::Close);
    },
    "unknown" },
  { "status-999",
    [](FakeBackend&) {
      return Raw("HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nno",
                 AfterResponse::Close);
    },
    "unknown" },
  { "busy",
    [](FakeBackend& aServer) { return aServer.NotRun("busy"); },
    "complete" },
  { "stale-epoch",
    [](FakeBackend& aServer) { return aServer.NotRun("stale-epoch"); },
    "complete" },
};

// Guards against failing a GET that could be retried, and against sending a
// POST twice after it may have been executed.
TEST(Router, FailureOfTheFirstAttempt)
{
  for (const bool isGet : { true, false }) {
    RouterFixture fixture;
    for (const auto& failure : kFailures) {
      ScriptedBackend server({ failure.failure_, Ok });
      fixture.SetOwner(server.backend_);
      const auto response = isGet ? fixture.Get() : fixture.Post(failure.name_);
      ASSERT_TRUE(response.ok()) << failure.name_ << response.status();
      const std::string expected = isGet ? "complete" : failure.postOutcome_;
      EXPECT_EQ(OutcomeOf(*response), expected)
        << failure.name_ << isGet << " "
        << response->head_.Header(header::kNotRun) << " " << response->body_;
      EXPECT_EQ(server.backend_.Requests().size(),
                expected == "complete" ? 2u : 1u)
        << failure.name_ << isGet;
      // All attempts of a request have the same request id.
      const auto sent = server.backend_.Requests();
      ASSERT_FALSE(sent.empty());
      EXPECT_EQ(sent.front().Header("X-Request-Id"),
                sent.back().Header("X-Request-Id"));
    }
  }
}

// Guards against a refusal of a request whose first attempt may have run, when
// the server refuses the retries.
TEST(Router, NoRefusalAfterAnAttemptThatMayHaveRun)
{
  ScriptedBackend server(
    { [](FakeBackend&) { return Raw("", AfterResponse::Close); },
      [](FakeBackend& aServer) { return aServer.NotRun("busy"); } });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const auto response = fixture.Get();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(OutcomeOf(*response), "unknown") << response->body_;
  EXPECT_GE(server.backend_.Requests().size(), 2U);
}

// Guards against delaying the response until the deadline after the last retry,
// and against a refusal without a retry time, after which callers would retry
// at the same time.
TEST(Router, GivesUpAtOnceWithARetryTime)
{
  ScriptedBackend server(
    { [](FakeBackend& aServer) { return aServer.NotRun("busy"); } });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const TimeMs start = fixture.clock_.NowMs();
  const auto response = fixture.Get({ { "X-Deadline-Ms", "5000" } });
  ASSERT_TRUE(response.ok());
  EXPECT_LT(fixture.clock_.NowMs() - start, 1000);
  EXPECT_EQ(response->head_.status_, 503);
  EXPECT_EQ(OutcomeOf(*response), "not-run");
  EXPECT_NE(response->head_.Header("Retry-After"), "");
  EXPECT_NE(response->head_.Header(header::kRetryAfterMs), "");
}

// Guards against a caller that gets no final response because the server does
// not respond.
TEST(Router, UnresponsiveServerTimesOutAtDeadline)
{
  ScriptedBackend server(
    { [](FakeBackend&) { return Raw("", AfterResponse::Hang); } });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  for (const bool isGet : { true, false }) {
    const TimeMs start = fixture.clock_.NowMs();
    const HttpHeaders deadline = { { "X-Deadline-Ms", "400" } };
    const auto response =
      isGet ? fixture.Get(deadline) : fixture.Post("id", deadline);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(OutcomeOf(*response), "unknown");
    EXPECT_LT(fixture.clock_.NowMs() - start, 500);
  }
}

// Guards against requests that fail while a slice moves to its standby server.
TEST(Router, ParksUntilKeyHasNewOwner)
{
  ScriptedBackend old(
    { [](FakeBackend& aServer) { return aServer.NotRun("not-owner"); } });
  ScriptedBackend next({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(old.backend_, 1);
  std::thread mover;
  fixture.tables_.OnRefresh([&] {
    fixture.ClearOwner(1);
    mover = std::thread([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      fixture.SetOwner(next.backend_, 2);
    });
  });
  const auto response = fixture.Post("id");
  mover.join();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(OutcomeOf(*response), "complete");
  EXPECT_EQ(next.backend_.Requests().at(0).Header("X-Slice-Epoch"), "2");
}

// Guards against waiting for an owner after the deadline.
TEST(Router, NoOwnerIsNotRunAtDeadline)
{
  RouterFixture fixture;
  const TimeMs start = fixture.clock_.NowMs();
  const auto response = fixture.Post("id", { { "X-Deadline-Ms", "200" } });
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(OutcomeOf(*response), "not-run");
  EXPECT_EQ(response->head_.Header(header::kNotRun), "no-owner");
  EXPECT_LT(fixture.clock_.NowMs() - start, 300);
}

// For a server that does not check the fence: guards against forwarding with a
// table that may be outdated, and against a deadline after the view lease.
TEST(Router, ViewLeaseLimitsServersWithoutFenceCheck)
{
  ScriptedBackend server({ Ok });
  server.backend_.SetClockMs(1000000);
  RouterFixture fixture;
  fixture.SetOwner(server.backend_, 1, false, fixture.clock_.NowMs() - 1);
  const HttpHeaders deadline = { { "X-Deadline-Ms", "300" } };
  const auto refused = fixture.Get(deadline);
  ASSERT_TRUE(refused.ok());
  EXPECT_EQ(refused->head_.Header(header::kNotRun), "view-lease");
  EXPECT_TRUE(server.backend_.Requests().empty());

  fixture.SetOwner(server.backend_, 1, false, fixture.clock_.NowMs() + 200);
  const auto response = fixture.Get(deadline);
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(OutcomeOf(*response), "complete");
  TimeMs sent = 0;
  ASSERT_TRUE(ParseNumber(
    server.backend_.Requests().at(0).Header("X-Deadline-Clock-Ms"), sent));
  EXPECT_LE(sent, 1000200);
}

// Guards against a server without the fence check whose clock runs 1% slow, so
// that it reaches the deadline after the router's view lease has expired.
TEST(Router, DeadlineAllowsForASlowClock)
{
  ScriptedBackend server({ Ok });
  server.backend_.SetClockMs(1000000);
  RouterFixture fixture;
  fixture.SetOwner(server.backend_, 1, false, fixture.clock_.NowMs() + 10000);
  ASSERT_TRUE(fixture.Get({ { "X-Deadline-Ms", "20000" } }).ok());
  TimeMs sent = 0;
  ASSERT_TRUE(ParseNumber(
    server.backend_.Requests().at(0).Header("X-Deadline-Clock-Ms"), sent));
  EXPECT_GT(sent, 1000000);
  EXPECT_LE(sent, 1000000 + 10000 * 99 / 100);
}

// Guards against using the clock offset of the previous process after a restart
// of a server that does not check the fence. It could put the deadline far into
// the future.
TEST(Router, ClockIsReadAgainAfterRestart)
{
  ScriptedBackend server({ Ok });
  server.backend_.SetClockMs(900000000);
  RouterFixture fixture;
  fixture.SetOwner(server.backend_, 1, false);
  ASSERT_TRUE(fixture.Get().ok());
  server.backend_.SetClockMs(1000);
  server.backend_.Restart("two");
  const auto response = fixture.Get();
  ASSERT_TRUE(response.ok());
  TimeMs sent = 0;
  ASSERT_TRUE(ParseNumber(
    server.backend_.Requests().at(1).Header("X-Deadline-Clock-Ms"), sent));
  EXPECT_LE(sent, 1000 + 2000);
}

// Guards against executing a duplicate of a non-idempotent request.
TEST(Router, DuplicateIdIsNotForwarded)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  ASSERT_EQ(OutcomeOf(*fixture.Post("same")), "complete");
  const auto duplicate = fixture.Post("same");
  ASSERT_TRUE(duplicate.ok());
  EXPECT_EQ(duplicate->head_.status_, 409);
  EXPECT_EQ(OutcomeOf(*duplicate), "unknown");
  EXPECT_NE(duplicate->body_.find("completed"), std::string::npos);
  EXPECT_EQ(server.backend_.Requests().size(), 1u);
}

// Guards against executing one request id twice when duplicates arrive
// concurrently.
TEST(Router, ConcurrentDuplicatesExecuteOnce)
{
  ScriptedBackend server({ [](FakeBackend& aServer) {
    auto response = aServer.Ok("value");
    response.delayMs_ = 20;
    return response;
  } });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  std::atomic<int> complete = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] {
      const auto response = fixture.Post("same");
      complete += response.ok() && OutcomeOf(*response) == "complete" ? 1 : 0;
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(complete, 1);
  EXPECT_EQ(server.backend_.Requests().size(), 1u);
}

// Guards against forwarding a POST whose id no replica recorded.
TEST(Router, NoReachableReplicaMeansNotRun)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const ReservedPort unusedPort;
  fixture.tables_.SetPeers({ unusedPort.Address() });
  const auto response = fixture.Post("id");
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(response->head_.Header(header::kNotRun), "ledger");
  EXPECT_TRUE(server.backend_.Requests().empty());
}

// Guards against forwarding a truncated response so that it looks complete.
TEST(Router, TruncatedLargeResponseIsNeverComplete)
{
  const std::string part(200000, 'x');
  for (const bool chunked : { false, true }) {
    ScriptedBackend server({ [&](FakeBackend&) {
      return Raw(chunked ? Concat("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n30d40\r\n",
                                  part,
                                  "\r\n")
                         : Concat("HTTP/1.1 200 OK\r\nContent-Length: "
                                  "400000\r\n\r\n",
                                  part),
                 AfterResponse::Close);
    } });
    RouterFixture fixture;
    fixture.SetOwner(server.backend_);
    const auto response = fixture.Get();
    EXPECT_FALSE(response.ok()) << chunked;
    EXPECT_EQ(server.backend_.Requests().size(), 1u);
  }
}

// Guards against corrupting large responses that are streamed through the
// bounded buffer.
TEST(Router, LargeResponsesAreForwardedUnchanged)
{
  std::string body(3000000, '\0');
  for (size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i * i % 26);
  }
  ScriptedBackend server(
    { [&](FakeBackend& aServer) { return aServer.Ok(body); } });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const auto response = fixture.Get();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_TRUE(response->body_ == body);
  EXPECT_EQ(OutcomeOf(*response), "complete");
}

// Guards against a HEAD request that waits for a body or drops Content-Length.
TEST(Router, HeadKeepsContentLength)
{
  ScriptedBackend server({ [](FakeBackend&) {
    return Raw("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n",
               AfterResponse::Keep);
  } });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const auto response = fixture.Send("HEAD", "/svc/key");
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->head_.contentLength_, 1234u);
  EXPECT_NE(response->head_.Header("Connection"), "close");
  EXPECT_EQ(OutcomeOf(*response), "complete");
}

/// Status of the router's response to raw bytes; 0 without a response.
int StatusOfRawRequest(const RouterFixture& aFixture, const std::string& aBytes)
{
  boost::asio::ip::tcp::iostream stream;
  stream.expires_after(std::chrono::seconds(3));
  const auto address = aFixture.http_.Address();
  const auto colon = address.rfind(':');
  stream.connect(address.substr(0, colon), address.substr(colon + 1));
  stream << aBytes << std::flush;
  std::string version;
  int status = 0;
  stream >> version >> status;
  return status;
}

// Guards against request smuggling: bytes that the router and a backend server
// parse differently must be rejected.
TEST(Router, AmbiguousRequestsAreRefused)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const auto status = [&fixture](const std::string& aPath,
                                 const std::string& aHeader) {
    return StatusOfRawRequest(
      fixture, Concat("GET ", aPath, " HTTP/1.1\r\n", aHeader, "\r\n"));
  };
  const std::string host = "Host: h\r\n";
  EXPECT_EQ(status("/svc/key", ""), 400);
  EXPECT_EQ(status("/svc/key", "Accept: a\r\n"), 400);
  EXPECT_EQ(status("/svc/key", host + host), 400);
  EXPECT_EQ(status("/svc/key", host + "A: b\r\n c\r\n"), 400);
  EXPECT_EQ(status("/svc/key", host + "A: b\r\n\tc\r\nB: d\r\n"), 400);
  EXPECT_EQ(status("/svc/key", " A: b\r\n" + host), 400);
  EXPECT_EQ(status("/svc/key%00", host), 400);
  EXPECT_EQ(status("/svc/a%00b", host), 400);
  EXPECT_EQ(status("/svc/key/a%00b", host), 400);
  std::string many = host;
  for (int i = 0; i < 100; ++i) {
    AppendTo(many, "A", i, ": b\r\n");
  }
  EXPECT_EQ(status("/svc/key", many), 431);
  EXPECT_EQ(status("/svc/a%2Fb", host), 400);
  EXPECT_TRUE(server.backend_.Requests().empty());
  EXPECT_EQ(status("/svc/a%20b", host), 200);
  EXPECT_EQ(server.backend_.Requests().at(0).Path(), "/svc/a%20b");
}

// Guards against responses without X-Outcome or with a wrong status for
// requests that cannot be forwarded.
TEST(Router, BadInputIsRefusedWithAnOutcome)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const std::string large((1 << 20) + 1, 'b');
  const HttpHeaders id = { { "X-Request-Id", "i" } };
  const auto status = [&](const char* aMethod,
                          const std::string& aPath,
                          const HttpHeaders& aHeaders,
                          const std::string& aBody) {
    const auto response = fixture.Send(aMethod, aPath, aHeaders, aBody);
    EXPECT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(OutcomeOf(*response), "not-run");
    return response->head_.status_;
  };
  const HttpHeaders tooLong = { { "X-Long", std::string(40000, 'h') } };
  EXPECT_GE(status("GET", "/svc/key", tooLong, ""), 400);
  EXPECT_EQ(status("GET", "/svc", {}, ""), 400);
  EXPECT_EQ(status("GET", "/nobody/key", {}, ""), 404);
  EXPECT_EQ(status("GET", "/svc/" + std::string(300, 'k'), {}, ""), 414);
  EXPECT_EQ(status("POST", "/svc/key", {}, "b"), 400);
  EXPECT_EQ(status("POST", "/svc/key", id, large), 413);
  EXPECT_EQ(status("GET", "/svc/key", { { "X-Deadline-Ms", "x" } }, ""), 400);
  EXPECT_TRUE(server.backend_.Requests().empty());
}

}
}

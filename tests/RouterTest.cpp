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

/// Backend server whose n-th request gets the n-th answer, the last for ever.
class ScriptedBackend
{
public:
  explicit ScriptedBackend(
    std::vector<std::function<Response(FakeBackend&)>> aAnswers)
    : answers_(std::move(aAnswers))
    , backend_([this](const Request&) {
      const auto index = std::min(next_++, answers_.size() - 1);
      return answers_[index](backend_);
    })
  {
  }

  std::vector<std::function<Response(FakeBackend&)>> answers_;
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

// Guards against a request that reaches the server without what it checks, and
// against internal headers that reach a caller.
TEST(Router, ForwardsWithTheProtocolHeaders)
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

// Guards against a deadline in the server's clock that lies after the one of
// the caller.
TEST(Router, DeadlineIsInTheClockOfTheServer)
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

// Guards against a new connection for each request.
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
  /// What a POST gets; a GET is retried and completes.
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
  { "busy",
    [](FakeBackend& aServer) { return aServer.NotRun("busy"); },
    "complete" },
  { "stale-epoch",
    [](FakeBackend& aServer) { return aServer.NotRun("stale-epoch"); },
    "complete" },
};

// Guards against a GET that is given up although it could be retried, and
// against a POST that is sent twice after it may have run.
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
      // The answer names the id of its request, also after a retry.
      const auto sent = server.backend_.Requests();
      ASSERT_FALSE(sent.empty());
      EXPECT_EQ(sent.front().Header("X-Request-Id"),
                sent.back().Header("X-Request-Id"));
    }
  }
}

// Guards against an answer held back until the deadline after the router has
// given up, and against callers that come back all at once.
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

// Guards against a caller without a final answer when the server is silent.
TEST(Router, SilentServerEndsByTheDeadline)
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

// Guards against requests that fail while a slice moves to its standby.
TEST(Router, ParksUntilTheKeyHasANewOwner)
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

// Guards against waiting for an owner beyond the deadline.
TEST(Router, NoOwnerIsNotRunByTheDeadline)
{
  RouterFixture fixture;
  const TimeMs start = fixture.clock_.NowMs();
  const auto response = fixture.Post("id", { { "X-Deadline-Ms", "200" } });
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(OutcomeOf(*response), "not-run");
  EXPECT_EQ(response->head_.Header(header::kNotRun), "no-owner");
  EXPECT_LT(fixture.clock_.NowMs() - start, 300);
}

// Guards against forwarding to a server that does not check the fence under a
// table that may be out of date, and against a deadline after the view lease.
TEST(Router, ViewLeaseBoundsServersThatDoNotCheck)
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

// Guards against a server without the fence check whose clock is 1% slow and
// reaches the deadline after the router's view lease has ended.
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

// Guards against a clock of the previous process that puts the deadline of a
// restarted server, which does not check the fence, far into the future.
TEST(Router, ClockIsLearnedAgainAfterARestart)
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

// Guards against a repeat of a non-idempotent request that runs again.
TEST(Router, RepeatedIdIsNotForwarded)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  ASSERT_EQ(OutcomeOf(*fixture.Post("same")), "complete");
  const auto repeat = fixture.Post("same");
  ASSERT_TRUE(repeat.ok());
  EXPECT_EQ(repeat->head_.status_, 409);
  EXPECT_EQ(OutcomeOf(*repeat), "unknown");
  EXPECT_NE(repeat->body_.find("completed"), std::string::npos);
  EXPECT_EQ(server.backend_.Requests().size(), 1u);
}

// Guards against two runs of one id that arrives on many connections at once.
TEST(Router, ConcurrentRepeatsRunOnce)
{
  ScriptedBackend server({ [](FakeBackend& aServer) {
    auto answer = aServer.Ok("value");
    answer.delayMs_ = 20;
    return answer;
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

// Guards against a POST that is forwarded although no holder recorded its id.
TEST(Router, NoHolderMeansNotRun)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const ReservedPort nobody;
  fixture.tables_.SetPeers({ nobody.Address() });
  const auto response = fixture.Post("id");
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(response->head_.Header(header::kNotRun), "ledger");
  EXPECT_TRUE(server.backend_.Requests().empty());
}

// Guards against a truncated answer of a server that looks complete.
TEST(Router, TruncatedLargeAnswerIsNeverComplete)
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

// Guards against large answers that are damaged on their way through the
// bounded buffer.
TEST(Router, LargeAnswersPassUnchanged)
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

// Guards against a HEAD that waits for a body or loses the length.
TEST(Router, HeadKeepsTheLength)
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

/// The status that the router gives to these bytes, 0 without an answer.
int StatusOfBytes(const RouterFixture& aFixture, const std::string& aBytes)
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

// Guards against requests that routers and backend servers read differently,
// so that a part of one is taken for another caller's request.
TEST(Router, AmbiguousBytesAreRefused)
{
  ScriptedBackend server({ Ok });
  RouterFixture fixture;
  fixture.SetOwner(server.backend_);
  const auto status = [&fixture](const std::string& aPath,
                                 const std::string& aHeader) {
    return StatusOfBytes(
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

// Guards against unclear answers to input that cannot be forwarded.
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

#include "net/HttpClient.hpp"

#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <functional>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

// Guards against an unbounded response that exhausts memory until its timeout:
// with a Content-Length, in chunks, and up to the end of the connection.
TEST(HttpClient, UnboundedResponsesAreAborted)
{
  constexpr size_t kLimit = 100000;
  constexpr size_t kBurst = 1 << 20;
  constexpr TimeMs kTimeoutMs = 2000;
  const std::string zeros(kBurst, '0');
  struct Case
  {
    const char* fields_;
    std::string burst_;
  };
  const Case cases[] = {
    { "Content-Length: 1000000000000\r\n", zeros },
    { "Transfer-Encoding: chunked\r\n", "100000\r\n" + zeros + "\r\n" },
    { "Connection: close\r\n", zeros },
  };
  for (const auto& entry : cases) {
    EventLoop loop;
    std::function<void()> writeMore;
    Timer timer(loop, [&] { writeMore(); });
    ScriptedServer server(loop, [&](ScriptedServer::Exchange& aExchange) {
      aExchange.write_(std::string("HTTP/1.1 200 OK\r\n") + entry.fields_ +
                       "\r\n");
      writeMore = [&, write = aExchange.write_] {
        write(entry.burst_);
        timer.Start(1);
      };
      timer.Start(0);
    });
    HttpClient client(loop);
    CallRequest request;
    request.method_ = "GET";
    request.target_ = "/";
    request.timeoutMs_ = kTimeoutMs;
    request.maxResponseBytes_ = kLimit;
    std::optional<CallResult> result;
    const auto beginMs = SteadyClock().NowMs();
    client.Call(server.Address(), request, [&](CallResult aResult) {
      result = std::move(aResult);
    });
    ASSERT_TRUE(RunLoopUntil(loop, [&] { return result.has_value(); }));
    EXPECT_LT(SteadyClock().NowMs() - beginMs, kTimeoutMs / 2) << entry.fields_;
    EXPECT_EQ(result->outcome_, CallOutcome::NoResponse);
    EXPECT_EQ(result->cause_, "answer too large");
    EXPECT_TRUE(
      RunLoopUntil(loop, [&] { return server.ClosedByClient() == 1; }));
  }
}

// Guards against an interim response that is taken for the final one, which
// then answers the next call on the connection, and against interim responses
// without end.
TEST(HttpClient, InterimResponsesAreSkipped)
{
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  struct Case
  {
    int interims_;
    CallOutcome outcome_;
  };
  for (const auto& row : { Case{ 2, CallOutcome::Completed },
                           Case{ 1000, CallOutcome::NoResponse } }) {
    EventLoop loop;
    ScriptedServer server(loop, [&](ScriptedServer::Exchange& aExchange) {
      std::string text;
      for (int index = 0; index < row.interims_; ++index) {
        text += interim;
      }
      aExchange.write_(text + TextResponse(200, aExchange.head_.target_));
    });
    HttpClient client(loop);
    for (const char* target : { "/first", "/second" }) {
      CallRequest request;
      request.method_ = "GET";
      request.target_ = target;
      std::optional<CallResult> result;
      client.Call(server.Address(), request, [&](CallResult aResult) {
        result = std::move(aResult);
      });
      ASSERT_TRUE(RunLoopUntil(loop, [&] { return result.has_value(); }));
      EXPECT_EQ(result->outcome_, row.outcome_) << row.interims_;
      EXPECT_TRUE(row.outcome_ != CallOutcome::Completed ||
                  result->body_ == target);
    }
  }
}

// Guards against a request on a new connection whose sender must not send it
// any more once the connection has been established, and against the condition
// being applied to an open connection.
TEST(HttpClient, RequestIsWithheldOnANewConnection)
{
  EventLoop loop;
  ScriptedServer server(loop, [&](ScriptedServer::Exchange& aExchange) {
    aExchange.write_(TextResponse(200, ""));
  });
  HttpClient client(loop);
  bool maySend = true;
  const auto call = [&] {
    CallRequest request;
    request.method_ = "POST";
    request.target_ = "/";
    request.maySendOnNew_ = [&] { return std::exchange(maySend, false); };
    std::optional<CallOutcome> outcome;
    client.Call(server.Address(), request, [&](const CallResult& aResult) {
      outcome = aResult.outcome_;
    });
    RunLoopUntil(loop, [&] { return outcome.has_value(); });
    return outcome;
  };
  EXPECT_EQ(call(), CallOutcome::Completed);
  EXPECT_EQ(call(), CallOutcome::Completed);
  client.CloseIdle(server.Address());
  EXPECT_EQ(call(), CallOutcome::NotSent);
  EXPECT_EQ(server.Requests(), 2);
}

// Guards against a late copy of a response that is taken for the response of
// the next call on the connection, from servers that repeat the id of a call
// and from servers that don't.
TEST(HttpClient, LateCopiesAnswerNoOtherCall)
{
  struct Case
  {
    bool repeatsId_;
    bool copyHasId_;
    int connections_;
    CallOutcome second_;
  };
  for (const auto& row : { Case{ true, true, 1, CallOutcome::NoResponse },
                           Case{ true, false, 1, CallOutcome::NoResponse },
                           Case{ false, false, 2, CallOutcome::Completed } }) {
    EventLoop loop;
    const auto response = [](std::string_view aId, std::string_view aBody) {
      return Concat("HTTP/1.1 200 X\r\n",
                    aId.empty() ? "" : Concat("Id: ", aId, "\r\n"),
                    "Content-Length: ",
                    aBody.size(),
                    "\r\n\r\n",
                    aBody);
    };
    std::string first;
    ScriptedServer server(loop, [&](ScriptedServer::Exchange& aExchange) {
      const auto id = aExchange.head_.Field("Id");
      if (aExchange.requestsBefore_ > 0) {
        aExchange.write_(response(row.copyHasId_ ? first : "", "/first"));
        return;
      }
      first = id;
      aExchange.write_(
        response(row.repeatsId_ ? id : "", aExchange.head_.target_));
    });
    HttpClient client(loop);
    std::vector<CallResult> results;
    for (const char* target : { "/first", "/second" }) {
      CallRequest request;
      request.method_ = "POST";
      request.target_ = target;
      request.idField_ = "Id";
      const auto before = results.size();
      client.Call(server.Address(), request, [&](CallResult aResult) {
        results.push_back(std::move(aResult));
      });
      ASSERT_TRUE(RunLoopUntil(loop, [&] { return results.size() > before; }));
    }
    EXPECT_EQ(results[0].body_, "/first");
    EXPECT_EQ(results[1].outcome_, row.second_);
    EXPECT_NE(results[1].body_, "/first");
    EXPECT_EQ(server.Accepted(), row.connections_);
  }
}

// Guards against a leader without the store that can't renew leases at servers
// that don't repeat the id, and against connections that pile up at these.
TEST(HttpClient, ReuseOnlyNeedsNoIds)
{
  EventLoop loop;
  ScriptedServer server(loop, [&](ScriptedServer::Exchange& aExchange) {
    aExchange.write_(TextResponse(200, ""));
  });
  HttpClient client(loop);
  const auto call = [&](ConnectionPolicy aPolicy) {
    CallRequest request;
    request.method_ = "POST";
    request.target_ = "/";
    request.idField_ = "Id";
    request.connectionPolicy_ = aPolicy;
    std::optional<CallOutcome> outcome;
    client.Call(server.Address(), request, [&](const CallResult& aResult) {
      outcome = aResult.outcome_;
    });
    RunLoopUntil(loop, [&] { return outcome.has_value(); });
    return outcome;
  };
  EXPECT_EQ(call(ConnectionPolicy::ReuseOnly), CallOutcome::NotSent);
  // As many connections are kept as calls to a server run at a time.
  constexpr int kKept = 3;
  for (int count = 1; count <= kKept + 2; ++count) {
    EXPECT_EQ(call(ConnectionPolicy::ReuseOrNew), CallOutcome::Completed);
    EXPECT_EQ(call(ConnectionPolicy::ReuseOnly), CallOutcome::Completed);
    EXPECT_EQ(server.Accepted(), count);
  }
  EXPECT_TRUE(RunLoopUntil(loop, [&] { return server.ClosedByClient() == 2; }));
  int completed = 0;
  for (int index = 0; index < kKept; ++index) {
    CallRequest request;
    request.method_ = "POST";
    request.target_ = "/";
    request.idField_ = "Id";
    request.connectionPolicy_ = ConnectionPolicy::ReuseOnly;
    client.Call(server.Address(), request, [&](const CallResult& aResult) {
      completed += aResult.outcome_ == CallOutcome::Completed ? 1 : 0;
    });
  }
  EXPECT_TRUE(RunLoopUntil(loop, [&] { return completed == kKept; }));
}

}
}

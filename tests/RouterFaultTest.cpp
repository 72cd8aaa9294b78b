#include "RouterFixture.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

using Response = FakeBackend::Response;
using Request = FakeBackend::Request;
using AfterResponse = FakeBackend::AfterResponse;

std::string OutcomeOf(const HttpResponse& aResponse)
{
  return std::string(aResponse.head_.Header(header::kOutcome));
}

void Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

template<typename Predicate>
bool Eventually(Predicate&& aPredicate)
{
  for (int i = 0; i < 200; ++i) {
    if (aPredicate()) {
      return true;
    }
    Sleep(10);
  }
  return false;
}

/// Server that crashes when it executes the request "poison".
class CrashingServer
{
public:
  CrashingServer()
    : backend_([this](const Request& aRequest) {
      if (aRequest.Path().find("poison") == std::string::npos) {
        return backend_.Ok("value");
      }
      ++poisoned_;
      backend_.Crash();
      return Response{ "", AfterResponse::Reset };
    })
  {
  }
  std::atomic<int> poisoned_ = 0;
  FakeBackend backend_;
};

// Guards against a request that crashes one backend server after another, and
// against a quarantine of requests that were in flight beside it.
TEST(RouterFault, CrashingRequestCrashesTwoServers)
{
  std::vector<std::unique_ptr<CrashingServer>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<CrashingServer>());
  }
  RouterFixture fixture;
  fixture.SetOwner(servers[0]->backend_);
  std::atomic<bool> done = false;
  std::thread takeover([&] {
    size_t owner = 0;
    while (!done) {
      Sleep(10);
      if (servers[owner]->poisoned_ > 0 && owner + 1 < servers.size()) {
        ++owner;
        fixture.SetOwner(servers[owner]->backend_,
                         static_cast<Epoch>(owner + 1));
      }
    }
  });
  int quarantined = 0;
  for (int repeat = 0; repeat < 6; ++repeat) {
    const auto response =
      fixture.Send("GET", "/svc/poison", { { "X-Deadline-Ms", "1000" } });
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_NE(OutcomeOf(*response), "complete");
    quarantined += response->head_.Header(header::kNotRun) == "quarantined";
  }
  done = true;
  takeover.join();
  EXPECT_GE(quarantined, 1);
  int crashes = 0;
  for (const auto& server : servers) {
    crashes += server->poisoned_;
  }
  EXPECT_EQ(crashes, 2);
  EXPECT_EQ(OutcomeOf(*fixture.Get()), "complete");
}

// Guards against treating a connection reset by a running server as a crash.
TEST(RouterFault, ResetByRunningServerCreatesNoSuspect)
{
  FakeBackend* self = nullptr;
  std::atomic<int> requests = 0;
  FakeBackend backend([&](const Request&) {
    return ++requests == 1 ? Response{ "", AfterResponse::Reset }
                           : self->Ok("value");
  });
  self = &backend;
  RouterFixture fixture;
  fixture.SetOwner(backend);
  EXPECT_EQ(OutcomeOf(*fixture.Get()), "complete");
  EXPECT_FALSE(fixture.router_->Context().quarantine_.HasSuspects());
}

// Guards against waiting until the deadline on an unresponsive connection while
// the server responds on others, and against treating the server as failed.
TEST(RouterFault, UnresponsiveConnectionIsReplaced)
{
  FakeBackend* self = nullptr;
  std::atomic<bool> hung = false;
  FakeBackend backend([&](const Request& aRequest) {
    if (aRequest.Path() == "/svc/slow" && !hung.exchange(true)) {
      return Response{ "", AfterResponse::Hang };
    }
    return self->Ok("value");
  });
  self = &backend;
  RouterFixture fixture;
  fixture.SetOwner(backend);
  ASSERT_TRUE(fixture.Get().ok());
  std::atomic<bool> done = false;
  std::thread others([&] {
    while (!done) {
      EXPECT_TRUE(fixture.Get().ok());
      Sleep(20);
    }
  });
  const TimeMs start = fixture.clock_.NowMs();
  const auto response =
    fixture.Send("GET", "/svc/slow", { { "X-Deadline-Ms", "5000" } });
  const TimeMs taken = fixture.clock_.NowMs() - start;
  done = true;
  others.join();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(OutcomeOf(*response), "complete");
  EXPECT_GE(taken, 250);
  EXPECT_LT(taken, 700);
  // The retry has the same request id, so a cancellation would cancel it.
  EXPECT_TRUE(backend.Cancelled().empty());
}

// Guards against treating a server that is slow on all connections as a broken
// connection; retries would double its load.
TEST(RouterFault, SlowServerIsNotUnresponsive)
{
  FakeBackend* self = nullptr;
  FakeBackend backend([&](const Request&) {
    auto response = self->Ok("value");
    response.delayMs_ = 500;
    return response;
  });
  self = &backend;
  RouterFixture fixture;
  fixture.SetOwner(backend);
  const auto response = fixture.Get();
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(OutcomeOf(*response), "complete");
  EXPECT_EQ(backend.Requests().size(), 1u);
}

/// Sends a GET request, does not read the response and closes after aOpenMs.
void AbandonRequest(int aPort, int aOpenMs)
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  const std::string request =
    "GET /svc/key HTTP/1.1\r\nHost: a\r\nX-Request-Id: gone\r\n\r\n";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  Sleep(aOpenMs);
  close(fd);
}

// Guards against a server that keeps executing the request of a caller that has
// disconnected.
TEST(RouterFault, CallerDisconnectCancelsRequest)
{
  FakeBackend* self = nullptr;
  const std::string large(32 << 20, 'x');
  FakeBackend backend([&](const Request&) { return self->Ok(large); });
  self = &backend;
  RouterFixture fixture;
  fixture.SetOwner(backend);
  AbandonRequest(fixture.http_.Port(), 100);
  EXPECT_TRUE(Eventually([&] {
    const auto cancelled = backend.Cancelled();
    return std::ranges::find(cancelled, "gone") != cancelled.end();
  }));
}

// Guards against a caller that does not read and blocks its thread and backend
// connection forever.
TEST(RouterFault, SlowCallerIsDisconnected)
{
  FakeBackend* self = nullptr;
  const std::string large(32 << 20, 'x');
  FakeBackend backend([&](const Request&) { return self->Ok(large); });
  self = &backend;
  RouterFixture fixture; // disconnects a caller that does not read for 2 s
  fixture.SetOwner(backend);
  std::thread slow([&] { AbandonRequest(fixture.http_.Port(), 4000); });
  Sleep(3500);
  EXPECT_EQ(fixture.router_->Context()
              .registry_.Servers()
              .All()
              .at(0)
              ->Pool()
              .OpenConnections(),
            0);
  slow.join();
}

// Guards against a graceful stop that aborts a request in flight, or that
// leaves the readiness check succeeding while the router stops.
TEST(RouterFault, StopFinishesRequestsInFlight)
{
  FakeBackend* self = nullptr;
  FakeBackend backend([&](const Request&) {
    auto response = self->Ok("value");
    response.delayMs_ = 600;
    return response;
  });
  self = &backend;
  RouterFixture fixture;
  fixture.SetOwner(backend);
  EXPECT_EQ(fixture.Send("GET", "/_ready")->head_.status_, 200);
  std::vector<std::thread> callers;
  std::atomic<int> complete = 0;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&] {
      const auto response = fixture.Get();
      complete += response.ok() && OutcomeOf(*response) == "complete";
    });
  }
  Sleep(100);
  std::thread stopper([&] { EXPECT_TRUE(fixture.router_->StopGracefully()); });
  Sleep(50);
  EXPECT_EQ(fixture.Send("GET", "/_ready")->head_.status_, 503);
  for (auto& caller : callers) {
    caller.join();
  }
  stopper.join();
  EXPECT_EQ(complete, 4);
}

// Guards against callers that all wait for an overloaded server: requests
// beyond the queue limit are refused without waiting.
TEST(RouterFault, ExcessLoadIsRefusedEarly)
{
  FakeBackend* self = nullptr;
  FakeBackend backend([&](const Request&) {
    auto response = self->Ok("value");
    response.delayMs_ = 400;
    return response;
  });
  self = &backend;
  RouterFixture fixture;
  fixture.SetOwner(backend); // 8 slots
  std::atomic<int> refused = 0;
  std::atomic<int> late = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 14; ++i) {
    callers.emplace_back([&] {
      for (int n = 0; n < 4; ++n) {
        const TimeMs start = fixture.clock_.NowMs();
        const auto response = fixture.Get({ { "X-Deadline-Ms", "500" } });
        ASSERT_TRUE(response.ok()) << response.status();
        refused += OutcomeOf(*response) == "not-run";
        late += fixture.clock_.NowMs() - start > 600;
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(late, 0);
}

/// Two routers that list each other as peers.
struct RouterPair
{
  RouterPair()
  {
    const std::vector<std::string> peers = { one_.rpc_.Address(),
                                             two_.rpc_.Address() };
    one_.tables_.SetPeers(peers);
    two_.tables_.SetPeers(peers);
  }
  RouterFixture one_;
  RouterFixture two_;
};

// Guards against executing a duplicate that arrives at another router,
// including after the router that forwarded the first request has stopped.
TEST(RouterFault, RepeatIsRecognisedByAnotherRouter)
{
  FakeBackend* self = nullptr;
  FakeBackend backend([&](const Request&) { return self->Ok("value"); });
  self = &backend;
  RouterPair routers;
  routers.one_.SetOwner(backend);
  routers.two_.SetOwner(backend);
  EXPECT_EQ(OutcomeOf(*routers.one_.Post("a")), "complete");
  EXPECT_EQ(routers.two_.Post("a")->head_.status_, 409);
  EXPECT_EQ(OutcomeOf(*routers.one_.Post("b")), "complete");
  EXPECT_TRUE(routers.one_.router_->StopGracefully());
  EXPECT_EQ(routers.two_.Post("b")->head_.status_, 409);
  // New ids are accepted with the one replica that is left.
  EXPECT_EQ(OutcomeOf(*routers.two_.Post("c")), "complete");
  EXPECT_EQ(backend.Requests().size(), 3u);
}

// Guards against a quarantine that reaches other instances too late, and
// against one that reappears after an operator has released it.
TEST(RouterFault, QuarantineReachesTheOtherRouter)
{
  constexpr uint64_t kFingerprint = 77;
  RouterPair routers;
  auto& one = routers.one_.router_->Context().quarantine_;
  auto& two = routers.two_.router_->Context().quarantine_;
  one.OnCrash("server-1", { kFingerprint });
  one.OnCrash("server-2", { kFingerprint });
  const auto isRefused = [&] {
    return two.TryBegin(kFingerprint, "server-3").verdict_ ==
           SuspectVerdict::Refuse;
  };
  const TimeMs start = routers.one_.clock_.NowMs();
  EXPECT_TRUE(Eventually(isRefused));
  EXPECT_LT(routers.one_.clock_.NowMs() - start, 2000);
  two.Release(kFingerprint);
  EXPECT_TRUE(Eventually([&] {
    return one.TryBegin(kFingerprint, "server-3").verdict_ !=
           SuspectVerdict::Refuse;
  }));
  EXPECT_FALSE(isRefused());
}

}
}

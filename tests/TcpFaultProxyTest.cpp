#include "standin/TcpFaultProxy.hpp"

#include "common/HttpServer.hpp"
#include "tests/ReservedPort.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

class TcpFaultProxyTest : public testing::Test
{
protected:
  TcpFaultProxyTest()
    : server_({ .listen_ = target_.Address(), .threads_ = 4 },
              [this](HttpExchange& aExchange) {
                ++requests_;
                aExchange.Respond(200, {}, "ok");
              })
    , proxy_(listen_.Address(), target_.Address())
    , connection_(clock_, listen_.Address())
  {
    EXPECT_TRUE(server_.Start().ok());
    EXPECT_TRUE(proxy_.Start().ok());
  }

  absl::Status Call(HttpConnection& aConnection, TimeMs aTimeoutMs = 3000)
  {
    return aConnection
      .Exchange({ "GET", "/", {}, {} }, clock_.NowMs() + aTimeoutMs, 100)
      .status();
  }

  SteadyClock clock_;
  ReservedPort target_;
  ReservedPort listen_;
  std::atomic<int> requests_ = 0;
  HttpServer server_;
  TcpFaultProxy proxy_;
  HttpConnection connection_;
};

// Guards against a simulated partition that closes connections: in a real one
// packets are lost without notice.
TEST_F(TcpFaultProxyTest, DropIsSilentAndReversible)
{
  ASSERT_TRUE(Call(connection_).ok());
  proxy_.SetMode(ProxyMode::DropToServer);
  EXPECT_TRUE(absl::IsDeadlineExceeded(Call(connection_, 200)));
  EXPECT_EQ(requests_, 1);
  proxy_.SetMode(ProxyMode::DropToClient);
  EXPECT_TRUE(absl::IsDeadlineExceeded(Call(connection_, 200)));
  EXPECT_GE(requests_, 2);
  proxy_.SetMode(ProxyMode::Pass);
  EXPECT_TRUE(Call(connection_).ok());
}

// Guards against a stall that also affects connections opened after it.
TEST_F(TcpFaultProxyTest, OpenConnectionsStallWhileNewOnesWork)
{
  ASSERT_TRUE(Call(connection_).ok());
  proxy_.StallOpenConnections();
  HttpConnection second(clock_, listen_.Address());
  EXPECT_TRUE(absl::IsDeadlineExceeded(Call(connection_, 200)));
  EXPECT_TRUE(Call(second).ok());
}

// Guards against refused connections that time out instead of failing at once.
TEST_F(TcpFaultProxyTest, RefuseModeRejectsConnectionsAtOnce)
{
  ASSERT_TRUE(Call(connection_).ok());
  proxy_.SetMode(ProxyMode::Refuse);
  while (connection_.IsReusable()) {
  }
  EXPECT_TRUE(absl::IsUnavailable(Call(connection_)));
}

}
}

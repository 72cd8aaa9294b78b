#include "common/HttpServer.hpp"
#include "common/Strings.hpp"

#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kTimeoutMs = 2000;
constexpr size_t kMaxBodyBytes = 1 << 20;

/// Listening loopback socket on a free port that never responds.
class UnresponsiveListener
{
public:
  UnresponsiveListener()
    : fd_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    bind(fd_, generic, sizeof(address));
    listen(fd_, 8);
    socklen_t size = sizeof(address);
    getsockname(fd_, generic, &size);
    port_ = ntohs(address.sin_port);
  }
  ~UnresponsiveListener() { close(fd_); }

  std::string Address() const { return Concat("127.0.0.1:", port_); }
  int Port() const { return port_; }

  /// Accepts one connection, sends aText and waits until the peer closes it.
  std::thread RespondOnce(std::string aText)
  {
    return std::thread([this, text = std::move(aText)] {
      const int client = accept(fd_, nullptr, nullptr);
      send(client, text.data(), text.size(), MSG_NOSIGNAL);
      char byte = 0;
      while (recv(client, &byte, 1, 0) > 0) {
      }
      close(client);
    });
  }

private:
  int fd_;
  int port_ = 0;
};

int FreePort()
{
  return UnresponsiveListener().Port();
}

class HttpTest : public testing::Test
{
protected:
  HttpTest()
    : address_(Concat("127.0.0.1:", FreePort()))
    , server_({ .listen_ = address_, .threads_ = 4 },
              [](HttpExchange& aExchange) {
                const auto body = aExchange.ReadBody(kMaxBodyBytes);
                aExchange.Respond(
                  200, {}, Concat(aExchange.Path(), ":", *body));
              })
  {
    EXPECT_TRUE(server_.Start().ok());
  }

  /// Sends raw bytes and returns the response, read until the server closes the
  /// connection or sends nothing for 1 s.
  std::string SendRaw(std::string_view aText) const
  {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval timeout{ .tv_sec = 1, .tv_usec = 0 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    int port = 0;
    ParseNumber(std::string_view(address_).substr(10), port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    send(fd, aText.data(), aText.size(), MSG_NOSIGNAL);
    std::string response;
    char buffer[4096];
    ssize_t got = 0;
    while ((got = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
      response.append(buffer, static_cast<size_t>(got));
    }
    const bool closed = got == 0;
    close(fd);
    return Concat(response, closed ? "|closed" : "|open");
  }

  SteadyClock clock_;
  std::string address_;
  HttpServer server_;
};

// Guards against a connection that cannot be reused for a second exchange.
TEST_F(HttpTest, ConnectionIsReused)
{
  HttpConnection connection(clock_, address_);
  for (const char* path : { "/one", "/two", "/three" }) {
    const auto response = connection.Exchange(
      { "POST", path, {}, "data" }, clock_.NowMs() + kTimeoutMs, kMaxBodyBytes);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body_, Concat(path, ":data"));
    EXPECT_TRUE(connection.IsReusable());
  }
}

// Guards against request smuggling: the server must reject ambiguous framing
// and close the connection, so that no further bytes are parsed as a request.
TEST_F(HttpTest, AmbiguousFramingIsRefused)
{
  const std::string tail = "Host: a\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n";
  for (const char* headers : {
         "Content-Length: 5\r\nContent-Length: 6\r\n",
         "Content-Length: 5\r\nContent-Length: 5\r\n",
         "Content-Length: +5\r\n",
         "Content-Length: 5, 5\r\n",
         "Content-Length: 0x5\r\n",
         "Content-Length: -1\r\n",
         "Content-Length: 99999999999999999999\r\n",
         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\n",
         "Transfer-Encoding: identity\r\n",
       }) {
    const auto response =
      SendRaw(Concat("POST /a HTTP/1.1\r\n", headers, tail));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 4")) << headers << response;
    EXPECT_TRUE(response.ends_with("|closed")) << headers << response;
    EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos)
      << headers << response;
  }
}

// Guards against a wait without timeout for a peer that accepts the connection
// and never responds.
TEST_F(HttpTest, UnresponsivePeerTimesOut)
{
  const UnresponsiveListener listener;
  HttpConnection connection(clock_, listener.Address());
  const TimeMs start = clock_.NowMs();
  const auto response =
    connection.Exchange({ "GET", "/", {}, "" }, start + 200, kMaxBodyBytes);
  EXPECT_EQ(response.status().code(), absl::StatusCode::kDeadlineExceeded);
  EXPECT_EQ(connection.Stage(), ExchangeStage::AwaitingHead);
  EXPECT_FALSE(connection.IsReusable());
}

// Guards against a wait without timeout for a body that stalls.
TEST_F(HttpTest, StalledBodyTimesOut)
{
  UnresponsiveListener listener;
  auto peer =
    listener.RespondOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  {
    HttpConnection connection(clock_, listener.Address());
    const auto response = connection.Exchange(
      { "GET", "/", {}, "" }, clock_.NowMs() + 300, kMaxBodyBytes);
    EXPECT_EQ(response.status().code(), absl::StatusCode::kDeadlineExceeded);
    EXPECT_EQ(connection.Stage(), ExchangeStage::ReadingBody);
  }
  peer.join();
}

// Guards against a cancelled request that blocks its thread until the deadline.
TEST_F(HttpTest, CancelInterruptsWait)
{
  const UnresponsiveListener listener;
  CancelSignal cancel;
  HttpConnection connection(clock_, listener.Address());
  std::thread canceller([&] { cancel.Cancel(); });
  const auto response = connection.Exchange(
    { "GET", "/", {}, "" }, clock_.NowMs() + 60000, kMaxBodyBytes, &cancel);
  canceller.join();
  EXPECT_EQ(response.status().code(), absl::StatusCode::kCancelled);
}

// Guards against reporting a refused connection as an unknown outcome.
TEST_F(HttpTest, RefusedConnectionIsUnavailable)
{
  HttpConnection connection(clock_, Concat("127.0.0.1:", FreePort()));
  const auto response = connection.Exchange(
    { "GET", "/", {}, "" }, clock_.NowMs() + kTimeoutMs, kMaxBodyBytes);
  EXPECT_EQ(response.status().code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(connection.Stage(), ExchangeStage::Connecting);
}

}
}

#pragma once

#include "HttpConnection.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

struct mg_connection;
struct mg_request_info;

namespace cactuspitch {

/// One request on a CivetWeb connection and its response. HttpServer has
/// checked the framing: at most one Content-Length and no Transfer-Encoding.
class HttpExchange
{
public:
  HttpExchange(mg_connection* aConnection, const mg_request_info& aInfo);

  std::string_view Method() const;
  /// Path of the request, not decoded.
  std::string_view Path() const;
  /// Segments of the path that are not empty, each percent-decoded, so that an
  /// encoded slash is a part of its segment.
  std::vector<std::string> DecodedSegments() const;
  /// Query string without the question mark; empty when absent.
  std::string_view Query() const;
  /// Decoded value of a query parameter; empty when absent.
  std::string QueryValue(const std::string& aName) const;
  /// Value of a header, whose name is case-insensitive; empty when absent.
  std::string_view Header(std::string_view aName) const;
  std::string RemoteAddress() const;
  HttpHeaders Headers() const;
  uint64_t ContentLength() const { return contentLength_; }

  /// Reads the whole body. OutOfRange when it exceeds aMaxBytes, DataLoss when
  /// it ends early; both close the connection after the response.
  absl::StatusOr<std::string> ReadBody(size_t aMaxBytes);
  /// Reads and discards up to aMaxBytes of the body. A caller that is still
  /// sending when its connection is closed cannot read an error response.
  void DiscardBody(uint64_t aMaxBytes);

  /// Sends a whole response. False when the caller has disconnected.
  bool Respond(int aStatus,
               const HttpHeaders& aHeaders,
               std::string_view aBody);
  /// Starts a response of known length; Write() sends the body.
  bool BeginResponse(int aStatus,
                     const HttpHeaders& aHeaders,
                     uint64_t aLength);
  /// Starts a response of unknown length in chunked encoding.
  bool BeginChunked(int aStatus, const HttpHeaders& aHeaders);
  bool Write(std::string_view aPart);
  /// Ends a chunked response. Without this call the response is truncated.
  bool EndChunked();
  /// Closes the connection after this exchange, even if the response is
  /// incomplete.
  void CloseAfterResponse();
  /// Closes the connection without a response.
  void Abort();
  bool HasStarted() const { return started_; }

private:
  friend class HttpServer;
  bool SendHead(int aStatus,
                const HttpHeaders& aHeaders,
                std::string_view aFraming,
                std::string_view aBody);

  mg_connection* connection_;
  const mg_request_info& info_;
  uint64_t contentLength_ = 0;
  uint64_t declaredBytes_ = 0;
  uint64_t writtenBytes_ = 0;
  uint64_t bodyBytesRead_ = 0;
  int status_ = 0;
  bool started_ = false;
  bool chunked_ = false;
  bool ended_ = false;
  bool closeAfterResponse_ = false;
};

struct HttpServerOptions
{
  std::string listen_; ///< IP:port
  /// Limit of open connections; each uses a thread.
  int threads_ = 64;
  int64_t requestTimeoutMs_ = 30000;
  int64_t keepAliveTimeoutMs_ = 60000;
  /// Headers of responses that the server sends without calling the handler,
  /// for example to malformed requests.
  HttpHeaders errorResponseHeaders_ = {};
  /// Called on the thread of a connection before its first request; may be
  /// empty.
  std::function<void()> onConnect_ = {};
};

/// HTTP server on CivetWeb. Before it calls the handler, it rejects malformed
/// framing with status 400, too many header lines with 431 and a chunked
/// request body with 411, and closes the connection.
class HttpServer
{
public:
  using Handler = std::function<void(HttpExchange&)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  absl::Status Start();
  /// Closes all connections. Call WaitIdle() first for a graceful stop.
  void Stop();
  /// From this call on, each response closes its connection.
  void BeginDrain();
  /// Waits until no request is in flight. False on timeout.
  bool WaitIdle(TimeMs aTimeoutMs) const;
  int InFlight() const { return inFlight_.load(std::memory_order_relaxed); }
  /// Number of open connections that a thread serves.
  int Connections() const
  {
    return connections_.load(std::memory_order_relaxed);
  }

private:
  static int OnRequest(mg_connection* aConnection, void* aServer);
  static int OnConnect(const mg_connection* aConnection, void** aData);
  static void OnClosed(const mg_connection* aConnection);
  static int OnError(mg_connection* aConnection,
                     int aStatus,
                     const char* aText);
  int Handle(mg_connection* aConnection);

  HttpServerOptions options_;
  Handler handler_;
  void* context_ = nullptr;
  std::atomic<int> inFlight_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<bool> draining_ = false;
};

/// Reason phrase of a status code; empty when unknown.
std::string_view HttpReason(int aStatus);

}

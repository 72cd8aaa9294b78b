#pragma once

#include "CancelSignal.hpp"
#include "Clock.hpp"
#include "EnumNames.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest
{
  std::string method_;
  std::string target_;
  HttpHeaders headers_;
  std::string_view body_;
};

struct HttpResponseHead
{
  int status_ = 0;
  HttpHeaders headers_;
  std::optional<uint64_t> contentLength_;
  bool hasBody_ = false;

  /// Value of a header, whose name is case-insensitive; empty when absent.
  std::string_view Header(std::string_view aName) const;
};

struct HttpResponse
{
  HttpResponseHead head_;
  std::string body_;
};

/// Progress of an exchange, from which follows whether the request may have
/// been executed.
enum class ExchangeStage : uint8_t
{
  Idle,         ///< nothing sent
  Connecting,   ///< nothing sent
  Writing,      ///< the request was not sent completely
  AwaitingHead, ///< the whole request was passed to the kernel
  ReadingBody,
  Done,
  Count
};

template<>
struct EnumNames<ExchangeStage>
{
  static constexpr std::string_view kNames[] = {
    "idle", "connecting", "writing", "awaiting-head", "reading-body", "done",
  };
};

/// HTTP/1.1 client connection with keep-alive. Every call has a deadline and
/// can be cancelled. Errors: Unavailable (connection refused),
/// DeadlineExceeded, Cancelled, DataLoss (the response is malformed or
/// truncated), Unknown (any other socket error).
class HttpConnection
{
public:
  HttpConnection(const Clock& aClock, std::string aAddress);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  absl::Status Connect(TimeMs aDeadlineMs,
                       const CancelSignal* aCancel = nullptr);
  absl::Status Write(const HttpRequest& aRequest,
                     TimeMs aDeadlineMs,
                     const CancelSignal* aCancel = nullptr);
  absl::StatusOr<HttpResponseHead> ReadHead(
    TimeMs aDeadlineMs,
    const CancelSignal* aCancel = nullptr);
  /// Reads a part of the body. Returns the bytes read; 0 when the body is
  /// complete.
  absl::StatusOr<size_t> ReadBody(char* aData,
                                  size_t aSize,
                                  TimeMs aDeadlineMs,
                                  const CancelSignal* aCancel = nullptr);
  /// Executes a whole exchange. Connects unless Connect() was just called or
  /// the connection is reusable. DataLoss when the body exceeds aMaxBodyBytes.
  absl::StatusOr<HttpResponse> Exchange(const HttpRequest& aRequest,
                                        TimeMs aDeadlineMs,
                                        size_t aMaxBodyBytes,
                                        const CancelSignal* aCancel = nullptr);

  ExchangeStage Stage() const;
  /// True after a complete exchange when the server keeps the connection open.
  bool IsReusable() const;
  /// Like IsReusable() without checking the socket, for use right after an
  /// exchange.
  bool IsComplete() const;
  bool IsOpen() const;
  void Close();
  const std::string& Address() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}

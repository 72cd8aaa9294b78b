#include "HttpServer.hpp"

#include "Strings.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <span>
#include <thread>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>
#include <civetweb.h>

namespace cactuspitch {

namespace detail {

constexpr int kBadRequest = 400;
constexpr int kLengthRequired = 411;
constexpr int kHeaderTooLarge = 431;
/// Longest Content-Length value that is accepted.
constexpr size_t kMaxLengthDigits = 18;

struct Framing
{
  int errorStatus_ = 0; ///< HTTP status; 0 when the framing is valid
  const char* reason_ = "";
  uint64_t contentLength_ = 0;
};

std::span<const mg_header> HeaderSpan(const mg_request_info& aInfo)
{
  return { aInfo.http_headers, static_cast<size_t>(aInfo.num_headers) };
}

bool IsLength(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxLengthDigits &&
         std::ranges::all_of(aText, absl::ascii_isdigit);
}

/// False when CivetWeb did not parse all header lines. It stops at a line that
/// begins with white space and drops the rest, including a Content-Length. Its
/// strings point into the received header, where NUL replaces each line end, so
/// the byte after the last value tells whether the empty line was reached.
bool IsHeaderComplete(const mg_request_info& aInfo)
{
  const auto headers = HeaderSpan(aInfo);
  if (headers.empty()) {
    return true;
  }
  constexpr ptrdiff_t kLineEndBytes = 2;
  const char* versionEnd = aInfo.http_version + std::strlen(aInfo.http_version);
  const char* next = headers.back().value;
  next += std::strlen(next) + 1;
  if (*next == '\0') {
    ++next;
  }
  return headers.front().name - versionEnd <= kLineEndBytes &&
         (*next == '\r' || *next == '\n');
}

/// CivetWeb passes requests with conflicting or malformed framing to the
/// handler. Forwarding these on a reused connection would allow request
/// smuggling: responses could go to the wrong caller.
Framing CheckFraming(const mg_request_info& aInfo)
{
  Framing framing;
  int lengths = 0;
  int hosts = 0;
  if (aInfo.num_headers >= MG_MAX_HEADERS) {
    return { kHeaderTooLarge, "too many header lines", 0 };
  }
  if (!IsHeaderComplete(aInfo)) {
    return { kBadRequest, "folded or malformed header line", 0 };
  }
  for (const auto& header : HeaderSpan(aInfo)) {
    const std::string_view name = header.name;
    hosts += EqualsIgnoreCase(name, "Host") ? 1 : 0;
    if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
      return { kLengthRequired, "request body requires Content-Length", 0 };
    }
    if (!EqualsIgnoreCase(name, "Content-Length")) {
      continue;
    }
    if (++lengths > 1) {
      return { kBadRequest, "more than one Content-Length", 0 };
    }
    const auto value = ToStd(absl::StripAsciiWhitespace(header.value));
    if (!IsLength(value) || !ParseNumber(value, framing.contentLength_)) {
      return { kBadRequest, "Content-Length is not a number", 0 };
    }
  }
  const bool spaceInName =
    std::ranges::any_of(HeaderSpan(aInfo), [](const mg_header& aHeader) {
      const std::string_view name = aHeader.name;
      return name.empty() || std::ranges::any_of(name, absl::ascii_isspace);
    });
  if (spaceInName) {
    return { kBadRequest, "malformed header name", 0 };
  }
  const bool needsHost = std::string_view(aInfo.http_version) != "1.0";
  if (hosts > 1 || (needsHost && hosts == 0)) {
    return { kBadRequest, "request must have exactly one Host header", 0 };
  }
  return framing;
}

}

std::string_view HttpReason(int aStatus)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aStatus)));
  return { reason.data(), reason.size() };
}

HttpExchange::HttpExchange(mg_connection* aConnection,
                           const mg_request_info& aInfo)
  : connection_(aConnection)
  , info_(aInfo)
{
}

std::string_view HttpExchange::Method() const
{
  return info_.request_method;
}

std::string_view HttpExchange::Path() const
{
  return info_.request_uri ? info_.request_uri : "";
}

std::vector<std::string> HttpExchange::DecodedSegments() const
{
  std::vector<std::string> segments =
    absl::StrSplit(ToAbsl(Path()), '/', absl::SkipEmpty());
  for (auto& segment : segments) {
    std::string decoded(segment.size() + 1, '\0');
    const int size = mg_url_decode(segment.data(),
                                   static_cast<int>(segment.size()),
                                   decoded.data(),
                                   static_cast<int>(decoded.size()),
                                   0);
    decoded.resize(size > 0 ? static_cast<size_t>(size) : 0);
    segment = std::move(decoded);
  }
  return segments;
}

std::string_view HttpExchange::Query() const
{
  return info_.query_string ? info_.query_string : "";
}

std::string HttpExchange::QueryValue(const std::string& aName) const
{
  const auto query = Query();
  std::string value(query.size() + 1, '\0');
  const int size = mg_get_var(
    query.data(), query.size(), aName.c_str(), value.data(), value.size());
  value.resize(size > 0 ? static_cast<size_t>(size) : 0);
  return value;
}

std::string_view HttpExchange::Header(std::string_view aName) const
{
  const auto headers = detail::HeaderSpan(info_);
  const auto found =
    std::ranges::find_if(headers, [aName](const mg_header& aHeader) {
      return EqualsIgnoreCase(aHeader.name, aName);
    });
  return found == headers.end() ? std::string_view()
                                : std::string_view(found->value);
}

std::string HttpExchange::RemoteAddress() const
{
  return Concat(info_.remote_addr, ":", info_.remote_port);
}

HttpHeaders HttpExchange::Headers() const
{
  HttpHeaders headers;
  for (const auto& header : detail::HeaderSpan(info_)) {
    headers.emplace_back(header.name, header.value);
  }
  return headers;
}

absl::StatusOr<std::string> HttpExchange::ReadBody(size_t aMaxBytes)
{
  if (contentLength_ > aMaxBytes) {
    CloseAfterResponse();
    return absl::OutOfRangeError("request body is too large");
  }
  std::string body(contentLength_, '\0');
  while (bodyBytesRead_ < contentLength_) {
    const int got = mg_read(connection_,
                            body.data() + bodyBytesRead_,
                            contentLength_ - bodyBytesRead_);
    if (got <= 0) {
      CloseAfterResponse();
      return absl::DataLossError("request body ended early");
    }
    bodyBytesRead_ += static_cast<uint64_t>(got);
  }
  return body;
}

void HttpExchange::DiscardBody(uint64_t aMaxBytes)
{
  constexpr size_t kPartBytes = 16 * 1024;
  char part[kPartBytes];
  const auto end = std::min(contentLength_, bodyBytesRead_ + aMaxBytes);
  while (bodyBytesRead_ < end) {
    const auto wanted = std::min<uint64_t>(kPartBytes, end - bodyBytesRead_);
    const int got = mg_read(connection_, part, wanted);
    if (got <= 0) {
      return;
    }
    bodyBytesRead_ += static_cast<uint64_t>(got);
  }
}

bool HttpExchange::SendHead(int aStatus,
                            const HttpHeaders& aHeaders,
                            std::string_view aFraming,
                            std::string_view aBody)
{
  if (bodyBytesRead_ < contentLength_) {
    CloseAfterResponse();
  }
  started_ = true;
  status_ = aStatus;
  // Sends head and body in one write, so that a small response fits in one TCP
  // segment.
  auto text = Concat("HTTP/1.1 ", aStatus, " ", HttpReason(aStatus), "\r\n");
  for (const auto& [name, value] : aHeaders) {
    AppendTo(text, name, ": ", value, "\r\n");
  }
  AppendTo(text,
           aFraming,
           closeAfterResponse_ ? "Connection: close\r\n\r\n" : "\r\n",
           aBody);
  return mg_write(connection_, text.data(), text.size()) ==
         static_cast<int>(text.size());
}

bool HttpExchange::Respond(int aStatus,
                           const HttpHeaders& aHeaders,
                           std::string_view aBody)
{
  declaredBytes_ = writtenBytes_ = aBody.size();
  ended_ = true;
  const bool isHead = Method() == "HEAD";
  return SendHead(aStatus,
                  aHeaders,
                  Concat("Content-Length: ", aBody.size(), "\r\n"),
                  isHead ? std::string_view() : aBody);
}

bool HttpExchange::BeginResponse(int aStatus,
                                 const HttpHeaders& aHeaders,
                                 uint64_t aLength)
{
  declaredBytes_ = aLength;
  return SendHead(
    aStatus, aHeaders, Concat("Content-Length: ", aLength, "\r\n"), {});
}

bool HttpExchange::BeginChunked(int aStatus, const HttpHeaders& aHeaders)
{
  chunked_ = true;
  return SendHead(aStatus, aHeaders, "Transfer-Encoding: chunked\r\n", {});
}

bool HttpExchange::Write(std::string_view aPart)
{
  if (aPart.empty()) {
    return true;
  }
  writtenBytes_ += aPart.size();
  if (chunked_) {
    return mg_send_chunk(connection_,
                         aPart.data(),
                         static_cast<unsigned>(aPart.size())) > 0;
  }
  return mg_write(connection_, aPart.data(), aPart.size()) ==
         static_cast<int>(aPart.size());
}

bool HttpExchange::EndChunked()
{
  ended_ = true;
  return mg_send_chunk(connection_, "", 0) > 0;
}

void HttpExchange::CloseAfterResponse()
{
  closeAfterResponse_ = true;
  mg_disable_connection_keep_alive(connection_);
}

void HttpExchange::Abort()
{
  // CivetWeb treats a non-zero status as a handled request.
  constexpr int kNoResponse = 444;
  status_ = kNoResponse;
  started_ = true;
  ended_ = true;
  CloseAfterResponse();
}

HttpServer::HttpServer(HttpServerOptions aOptions, Handler aHandler)
  : options_(std::move(aOptions))
  , handler_(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

absl::Status HttpServer::Start()
{
  const auto threads = std::to_string(options_.threads_);
  const auto requestTimeout = std::to_string(options_.requestTimeoutMs_);
  const auto keepAliveTimeout = std::to_string(options_.keepAliveTimeoutMs_);
  const char* settings[] = {
    "listening_ports",
    options_.listen_.c_str(),
    "num_threads",
    threads.c_str(),
    "request_timeout_ms",
    requestTimeout.c_str(),
    "keep_alive_timeout_ms",
    keepAliveTimeout.c_str(),
    "enable_keep_alive",
    "yes",
    "tcp_nodelay",
    "1",
    // Decoding in place would truncate the path at "%00".
    "decode_url",
    "no",
    nullptr
  };
  mg_callbacks callbacks{};
  // Without this callback, CivetWeb logs to standard error.
  callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
  callbacks.init_connection = &HttpServer::OnConnect;
  callbacks.connection_closed = &HttpServer::OnClosed;
  callbacks.http_error = &HttpServer::OnError;
  mg_init_library(0);
  char text[256] = "";
  mg_error_data error{};
  error.text = text;
  error.text_buffer_size = sizeof(text);
  mg_init_data init{};
  init.callbacks = &callbacks;
  init.user_data = this;
  init.configuration_options = settings;
  auto* context = mg_start2(&init, &error);
  if (!context) {
    return absl::UnavailableError(
      Concat("cannot listen on ", options_.listen_, ": ", text));
  }
  context_ = context;
  // Without an authorization handler, CivetWeb looks for a password file at
  // each request.
  mg_set_auth_handler(
    context, "**", [](mg_connection*, void*) { return 1; }, nullptr);
  mg_set_request_handler(context, "**", &HttpServer::OnRequest, this);
  return absl::OkStatus();
}

void HttpServer::Stop()
{
  if (context_) {
    mg_stop(static_cast<mg_context*>(context_));
    context_ = nullptr;
    mg_exit_library();
  }
}

void HttpServer::BeginDrain()
{
  draining_ = true;
}

bool HttpServer::WaitIdle(TimeMs aTimeoutMs) const
{
  constexpr auto kPollInterval = std::chrono::milliseconds(5);
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aTimeoutMs);
  while (InFlight() > 0) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

int HttpServer::OnConnect(const mg_connection* aConnection, void** aData)
{
  *aData = nullptr;
  auto* server =
    static_cast<HttpServer*>(mg_get_user_data(mg_get_context(aConnection)));
  server->connections_.fetch_add(1, std::memory_order_relaxed);
  if (server->options_.onConnect_) {
    server->options_.onConnect_();
  }
  return 0;
}

void HttpServer::OnClosed(const mg_connection* aConnection)
{
  auto* server =
    static_cast<HttpServer*>(mg_get_user_data(mg_get_context(aConnection)));
  server->connections_.fetch_sub(1, std::memory_order_relaxed);
}

int HttpServer::OnError(mg_connection* aConnection,
                        int aStatus,
                        const char* aText)
{
  const auto* server = static_cast<const HttpServer*>(
    mg_get_user_data(mg_get_context(aConnection)));
  const auto body = Concat(aText ? aText : "", "\n");
  auto response =
    Concat("HTTP/1.1 ", aStatus, " ", HttpReason(aStatus), "\r\n");
  for (const auto& [name, value] : server->options_.errorResponseHeaders_) {
    AppendTo(response, name, ": ", value, "\r\n");
  }
  AppendTo(response,
           "Connection: close\r\nContent-Length: ",
           body.size(),
           "\r\n\r\n",
           body);
  mg_disable_connection_keep_alive(aConnection);
  mg_write(aConnection, response.data(), response.size());
  return 0;
}

int HttpServer::OnRequest(mg_connection* aConnection, void* aServer)
{
  return static_cast<HttpServer*>(aServer)->Handle(aConnection);
}

int HttpServer::Handle(mg_connection* aConnection)
{
  inFlight_.fetch_add(1, std::memory_order_relaxed);
  const auto& info = *mg_get_request_info(aConnection);
  HttpExchange exchange(aConnection, info);
  if (draining_.load(std::memory_order_relaxed)) {
    exchange.CloseAfterResponse();
  }
  const auto framing = detail::CheckFraming(info);
  if (framing.errorStatus_ != 0) {
    exchange.CloseAfterResponse();
    exchange.Respond(framing.errorStatus_,
                     options_.errorResponseHeaders_,
                     Concat(framing.reason_, "\n"));
  } else {
    exchange.contentLength_ = framing.contentLength_;
    handler_(exchange);
    const bool truncated =
      !exchange.ended_ && exchange.Method() != "HEAD" &&
      (exchange.chunked_ || exchange.writtenBytes_ < exchange.declaredBytes_);
    if (!exchange.started_) {
      constexpr int kInternalError = 500;
      exchange.Respond(kInternalError, {}, "handler sent no response\n");
    } else if (truncated || exchange.bodyBytesRead_ < framing.contentLength_) {
      exchange.CloseAfterResponse();
    }
  }
  inFlight_.fetch_sub(1, std::memory_order_relaxed);
  return exchange.status_;
}

}

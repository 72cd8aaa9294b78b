#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Start line and fields of an HTTP/1.1 message.
struct HttpHead
{
  std::string method_; ///< requests
  std::string target_; ///< requests
  int status_ = 0;     ///< responses
  std::string reason_; ///< responses
  bool isHttp10_ = false;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::optional<uint64_t> contentLength_;
  bool chunked_ = false;

  /// Value of the first field of that name, or empty when there is none.
  std::string_view Field(std::string_view aName) const;
  bool HasField(std::string_view aName) const;
  /// True when the comma-separated list in a field of that name contains
  /// aToken.
  bool HasToken(std::string_view aName, std::string_view aToken) const;
  bool KeepsAlive() const;
  /// True for an interim (1xx) response, which has no body and precedes the
  /// final one.
  bool IsInterim() const { return status_ >= 100 && status_ < 200; }
};

/// True for hop-by-hop fields. The fields that the Connection field names are
/// hop-by-hop as well, but aren't checked here.
bool IsHopByHopField(std::string_view aName);
/// Returns the fields to forward: all but the hop-by-hop fields and those that
/// Connection names.
std::vector<std::pair<std::string, std::string>> EndToEndFields(
  const HttpHead& aHead);

enum class HttpMessageType : uint8_t
{
  Request,
  Response
};

enum class ParseState : uint8_t
{
  NeedInput,
  Body, ///< body bytes were appended
  Done,
  Failed
};

/// Incremental parser of one message (Boost.Beast). Strict about framing:
/// rejects a message whose length two parsers could read differently.
class HttpParser
{
public:
  explicit HttpParser(HttpMessageType aType, size_t aMaxHeadBytes);
  ~HttpParser();
  HttpParser(HttpParser&&) noexcept;
  HttpParser& operator=(HttpParser&&) noexcept;

  /// Responses only: the request was HEAD, so no body follows.
  void ExpectNoBody();
  /// Consumes bytes from the front of aInput and appends body bytes to aBody.
  ParseState Parse(std::string& aInput, std::string& aBody);
  /// Responses only: the peer closed the stream in order. Returns true when
  /// this completes the message.
  bool FinishAtEof();

  bool HasHead() const;
  /// True once bytes of the message were received.
  bool HasStarted() const;
  HttpHead& Head();
  /// True when the body ends only with the connection.
  bool IsCloseDelimited() const;
  bool IsTooLarge() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}

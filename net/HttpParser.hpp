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
  int status_ = 0;     ///< answers
  std::string reason_; ///< answers
  bool isHttp10_ = false;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::optional<uint64_t> contentLength_;
  bool chunked_ = false;

  /// First field of that name, empty when there is none.
  std::string_view Field(std::string_view aName) const;
  bool HasField(std::string_view aName) const;
  /// True when a comma separated field holds aToken.
  bool HasToken(std::string_view aName, std::string_view aToken) const;
  bool KeepsAlive() const;
};

/// True for fields that concern one connection only, besides those that the
/// Connection field names.
bool IsHopByHopField(std::string_view aName);
/// Fields to forward: without hop-by-hop fields and those that Connection
/// names.
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

/// Incremental parser of one message (Boost.Beast). Strict about framing: a
/// message whose length two parties could read differently is refused.
class HttpParser
{
public:
  explicit HttpParser(HttpMessageType aType, size_t aMaxHeadBytes);
  ~HttpParser();
  HttpParser(HttpParser&&) noexcept;
  HttpParser& operator=(HttpParser&&) noexcept;

  /// Answers only: the request was HEAD, so no body follows.
  void ExpectNoBody();
  /// Consumes bytes from the front of aInput and appends body bytes to aBody.
  ParseState Parse(std::string& aInput, std::string& aBody);
  /// Answers only: the stream ended in order; true when that completes it.
  bool FinishAtEof();

  bool HasHead() const;
  /// True once bytes of the message were seen.
  bool HasStarted() const;
  HttpHead& Head();
  /// True when only the end of the connection ends the body.
  bool IsCloseDelimited() const;
  bool IsTooLarge() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}

#include "net/HttpParser.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace cactuspitch {

namespace detail {

namespace http = boost::beast::http;
using BeastView = boost::beast::string_view;
using boost::beast::error_code;

std::string_view View(BeastView aText)
{
  return { aText.data(), aText.size() };
}

std::string_view Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/// Calls aVisit with each element of a comma-separated list until it returns
/// true.
template<typename Visit>
bool AnyElement(std::string_view aList, Visit aVisit)
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    if (aVisit(Trim(aList.substr(0, comma)))) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

/// Beast accepts any three digits.
bool IsValidStatus(int aStatus)
{
  return aStatus >= 100 && aStatus < 600;
}

/// Collects a message into an HttpHead and a body buffer.
template<bool isRequest>
class Collector final : public http::basic_parser<isRequest>
{
public:
  HttpHead head_;
  std::string* body_ = nullptr;
  bool headDone_ = false;

private:
  void on_request_impl(http::verb,
                       BeastView aMethod,
                       BeastView aTarget,
                       int aVersion,
                       error_code&) override
  {
    head_.method_ = View(aMethod);
    head_.target_ = View(aTarget);
    head_.isHttp10_ = aVersion < 11;
  }
  void on_response_impl(int aCode,
                        BeastView aReason,
                        int aVersion,
                        error_code& aError) override
  {
    if (!IsValidStatus(aCode)) {
      aError = http::error::bad_status;
      return;
    }
    head_.status_ = aCode;
    head_.reason_ = View(aReason);
    head_.isHttp10_ = aVersion < 11;
  }
  void on_field_impl(http::field aField,
                     BeastView aName,
                     BeastView aValue,
                     error_code& aError) override
  {
    if (aField == http::field::transfer_encoding &&
        !EqualsIgnoreCase(View(aValue), "chunked")) {
      aError = http::error::bad_transfer_encoding;
      return;
    }
    head_.fields_.emplace_back(View(aName), View(aValue));
  }
  void on_header_impl(error_code& aError) override
  {
    head_.chunked_ = this->chunked();
    const bool hasLength = head_.HasField("Content-Length");
    if (hasLength && head_.HasField("Transfer-Encoding")) {
      aError = http::error::bad_transfer_encoding;
      return;
    }
    if (hasLength && this->content_length()) {
      head_.contentLength_ = *this->content_length();
    }
    headDone_ = true;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override
  {
  }
  std::size_t on_body_impl(BeastView aBody, error_code&) override
  {
    body_->append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, BeastView, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 BeastView aBody,
                                 error_code&) override
  {
    body_->append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl(error_code&) override {}
};

}

std::string_view HttpHead::Field(std::string_view aName) const
{
  const auto found = std::ranges::find_if(fields_, [&](const auto& aField) {
    return EqualsIgnoreCase(aField.first, aName);
  });
  return found == fields_.end() ? std::string_view() : found->second;
}

bool HttpHead::HasField(std::string_view aName) const
{
  return std::ranges::any_of(fields_, [&](const auto& aField) {
    return EqualsIgnoreCase(aField.first, aName);
  });
}

bool HttpHead::HasToken(std::string_view aName, std::string_view aToken) const
{
  return std::ranges::any_of(fields_, [&](const auto& aField) {
    return EqualsIgnoreCase(aField.first, aName) &&
           detail::AnyElement(aField.second, [&](std::string_view aElement) {
             return EqualsIgnoreCase(aElement, aToken);
           });
  });
}

bool HttpHead::KeepsAlive() const
{
  if (isHttp10_) {
    return HasToken("Connection", "keep-alive");
  }
  return !HasToken("Connection", "close");
}

bool IsHopByHopField(std::string_view aName)
{
  static constexpr std::array<std::string_view, 9> kNames = {
    "Connection",     "Keep-Alive", "Proxy-Connection",    "TE",
    "Trailer",        "Upgrade",    "Proxy-Authorization", "Transfer-Encoding",
    "Content-Length",
  };
  return std::ranges::any_of(kNames, [&](std::string_view aHop) {
    return EqualsIgnoreCase(aHop, aName);
  });
}

std::vector<std::pair<std::string, std::string>> EndToEndFields(
  const HttpHead& aHead)
{
  std::vector<std::pair<std::string, std::string>> result;
  result.reserve(aHead.fields_.size());
  std::ranges::copy_if(
    aHead.fields_, std::back_inserter(result), [&](const auto& aField) {
      return !IsHopByHopField(aField.first) &&
             !aHead.HasToken("Connection", aField.first);
    });
  return result;
}

struct HttpParser::Impl
{
  explicit Impl(size_t aMaxHeadBytes)
    : maxHeadBytes_(aMaxHeadBytes)
  {
  }
  virtual ~Impl() = default;
  virtual ParseState Parse(std::string& aInput, std::string& aBody) = 0;
  virtual bool Finish() = 0;
  virtual HttpHead& Head() = 0;
  virtual bool HasHead() const = 0;
  virtual bool NeedsEof() const = 0;
  virtual void SkipBody() = 0;

  size_t maxHeadBytes_;

  bool started_ = false;
  bool tooLarge_ = false;
};

namespace detail {

/// True for folded field lines and for line ends without CR, which parsers read
/// differently.
bool HasAmbiguousLine(std::string_view aHead)
{
  for (auto end = aHead.find('\n'); end != std::string_view::npos;
       end = aHead.find('\n', end + 1)) {
    if (end == 0 || aHead[end - 1] != '\r') {
      return true;
    }
    if (end + 1 < aHead.size() &&
        (aHead[end + 1] == ' ' || aHead[end + 1] == '\t')) {
      return true;
    }
  }
  return false;
}

template<bool isRequest, typename Base>
struct BeastParser final : Base
{
  using Base::Base;

  explicit BeastParser(size_t aMaxHeadBytes)
    : Base(aMaxHeadBytes)
  {
    parser_.eager(true);
    // Without a limit, Beast 1.74 rejects every message that has a length.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    // The limit is checked here, before Beast sees the head.
    parser_.header_limit(static_cast<std::uint32_t>(aMaxHeadBytes * 2));
  }
  ParseState Parse(std::string& aInput, std::string& aBody) override
  {
    if (aInput.empty()) {
      return parser_.is_done() ? ParseState::Done : ParseState::NeedInput;
    }
    this->started_ = true;
    if (!parser_.headDone_) {
      const auto end = aInput.find("\r\n\r\n");
      const auto headBytes = std::min(end, aInput.size());
      if (headBytes > this->maxHeadBytes_) {
        this->tooLarge_ = true;
        return ParseState::Failed;
      }
      if (HasAmbiguousLine(std::string_view(aInput).substr(0, headBytes))) {
        return ParseState::Failed;
      }
      if (end == std::string::npos) {
        return ParseState::NeedInput;
      }
    }
    const auto bodyBefore = aBody.size();
    parser_.body_ = &aBody;
    error_code error;
    size_t consumed = 0;
    while (consumed < aInput.size() && !parser_.is_done()) {
      const auto count =
        parser_.put(boost::asio::const_buffer(aInput.data() + consumed,
                                              aInput.size() - consumed),
                    error);
      consumed += count;
      if (error == http::error::need_more) {
        error = {};
        if (count == 0) {
          break;
        }
      }
      if (error) {
        return ParseState::Failed;
      }
    }
    aInput.erase(0, consumed);
    if (parser_.is_done()) {
      return ParseState::Done;
    }
    // The unparsed rest is a chunk header or a trailer; neither may grow
    // without limit.
    if (aInput.size() > this->maxHeadBytes_) {
      this->tooLarge_ = true;
      return ParseState::Failed;
    }
    return aBody.size() > bodyBefore ? ParseState::Body : ParseState::NeedInput;
  }
  bool Finish() override
  {
    error_code error;
    parser_.put_eof(error);
    return !error && parser_.is_done();
  }
  HttpHead& Head() override { return parser_.head_; }
  bool HasHead() const override { return parser_.headDone_; }
  bool NeedsEof() const override
  {
    return parser_.headDone_ && parser_.need_eof();
  }
  void SkipBody() override { parser_.skip(true); }

  Collector<isRequest> parser_;
};

}

HttpParser::HttpParser(HttpMessageType aType, size_t aMaxHeadBytes)
{
  if (aType == HttpMessageType::Request) {
    impl_ = std::make_unique<detail::BeastParser<true, Impl>>(aMaxHeadBytes);
  } else {
    impl_ = std::make_unique<detail::BeastParser<false, Impl>>(aMaxHeadBytes);
  }
}

HttpParser::~HttpParser() = default;
HttpParser::HttpParser(HttpParser&&) noexcept = default;
HttpParser& HttpParser::operator=(HttpParser&&) noexcept = default;

void HttpParser::ExpectNoBody()
{
  impl_->SkipBody();
}

ParseState HttpParser::Parse(std::string& aInput, std::string& aBody)
{
  return impl_->Parse(aInput, aBody);
}

bool HttpParser::FinishAtEof()
{
  return impl_->HasHead() && impl_->Finish();
}

bool HttpParser::HasHead() const
{
  return impl_->HasHead();
}

bool HttpParser::HasStarted() const
{
  return impl_->started_;
}

HttpHead& HttpParser::Head()
{
  return impl_->Head();
}

bool HttpParser::IsCloseDelimited() const
{
  return impl_->NeedsEof();
}

bool HttpParser::IsTooLarge() const
{
  return impl_->tooLarge_;
}

}

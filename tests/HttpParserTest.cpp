#include "net/HttpParser.hpp"

#include "common/Strings.hpp"

#include <array>
#include <cstdio>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr size_t kMaxHead = 1024;

struct Parsed
{
  ParseState state_;
  std::string body_;
  std::string remainder_;
  HttpHead head_;
};

/// Parses the text in segments of the given sizes, then the remainder.
Parsed ParseInSegments(HttpMessageType aType,
                       const std::string& aText,
                       const std::vector<size_t>& aSizes)
{
  HttpParser parser(aType, kMaxHead);
  Parsed result;
  std::string input;
  size_t position = 0;
  const auto feed = [&](size_t aCount) {
    input += aText.substr(position, aCount);
    position = std::min(position + aCount, aText.size());
    result.state_ = parser.Parse(input, result.body_);
    return result.state_ != ParseState::Done &&
           result.state_ != ParseState::Failed;
  };
  bool needsInput = true;
  for (size_t index = 0; needsInput && index < aSizes.size(); ++index) {
    needsInput = feed(aSizes[index]);
  }
  if (needsInput) {
    feed(aText.size());
  }
  result.remainder_ = input + aText.substr(position);
  result.head_ = parser.Head();
  return result;
}

Parsed ParseRequest(const std::string& aText)
{
  return ParseInSegments(HttpMessageType::Request, aText, {});
}

// Guards against requests whose end two servers could see at different places:
// the end of a forwarded request could then be taken for the next request.
TEST(HttpParser, RejectsAmbiguousFraming)
{
  const std::vector<std::string> heads = {
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 5x\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "X-Folded: a\r\n b\r\n",
    "X-Bare: a\nContent-Length: 5\r\n",
    "Bad Name: a\r\n",
  };
  for (const auto& head : heads) {
    EXPECT_EQ(
      ParseRequest("POST / HTTP/1.1\r\nHost: h\r\n" + head + "\r\nhello")
        .state_,
      ParseState::Failed)
      << head;
  }
}

// Guards against a head that exhausts memory.
TEST(HttpParser, RejectsLargeHead)
{
  HttpParser parser(HttpMessageType::Request, kMaxHead);
  std::string input = "GET / HTTP/1.1\r\nX: " + std::string(2 * kMaxHead, 'a');
  std::string body;
  EXPECT_EQ(parser.Parse(input, body), ParseState::Failed);
  EXPECT_TRUE(parser.IsTooLarge());
}

// Guards against losing the next pipelined request.
TEST(HttpParser, LeavesTheNextMessage)
{
  const auto parsed = ParseRequest(
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /b");
  EXPECT_EQ(parsed.state_, ParseState::Done);
  EXPECT_EQ(parsed.body_, "hello");
  EXPECT_EQ(parsed.remainder_, "GET /b");
}

// Guards against a close-delimited response that counts as complete although
// its connection broke, and against one that ended in order and counts as lost.
TEST(HttpParser, CloseDelimitedResponseEndsWithTheStream)
{
  HttpParser parser(HttpMessageType::Response, kMaxHead);
  std::string input = "HTTP/1.1 200 OK\r\n\r\npart";
  std::string body;
  EXPECT_NE(parser.Parse(input, body), ParseState::Done);
  EXPECT_TRUE(parser.IsCloseDelimited());
  EXPECT_TRUE(parser.FinishAtEof());
  EXPECT_EQ(body, "part");
}

// Guards against passing on a status that is none, or taking it for that of an
// interim response.
TEST(HttpParser, RejectsInvalidStatus)
{
  const auto parse = [](std::string_view aStatus) {
    return ParseInSegments(
             HttpMessageType::Response,
             Concat("HTTP/1.1 ", aStatus, " X\r\nContent-Length: 2\r\n\r\nok"),
             {})
      .state_;
  };
  for (const auto* status : { "000",
                              "001",
                              "099",
                              "600",
                              "999",
                              "1000",
                              "-01",
                              "-200",
                              "+200",
                              "20",
                              "2 0",
                              "0x1",
                              "" }) {
    EXPECT_EQ(parse(status), ParseState::Failed) << status;
  }
  for (const auto* status : { "100", "199", "200", "204", "299", "599" }) {
    EXPECT_EQ(parse(status), ParseState::Done) << status;
  }
}

// Guards against a truncated response that counts as complete.
TEST(HttpParser, TruncatedResponseIsNotComplete)
{
  HttpParser parser(HttpMessageType::Response, kMaxHead);
  std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  std::string body;
  EXPECT_NE(parser.Parse(input, body), ParseState::Done);
  EXPECT_FALSE(parser.IsCloseDelimited());
  EXPECT_FALSE(parser.FinishAtEof());
}

// Guards against forwarding hop-by-hop fields.
TEST(HttpParser, DropsHopByHopFields)
{
  auto parsed = ParseRequest("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, "
                             "X-Private\r\nX-Private: 1\r\nX-Kept: 2\r\n\r\n");
  const auto fields = EndToEndFields(parsed.head_);
  ASSERT_EQ(fields.size(), 2U);
  EXPECT_EQ(fields[1].first, "X-Kept");
  EXPECT_FALSE(parsed.head_.KeepsAlive());
}

// Guards against results that depend on how the network segments the bytes.
RC_GTEST_PROP(HttpParserProperty, ResultIsIndependentOfSegmentation, ())
{
  const auto chunk =
    *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  const bool chunked = *rc::gen::arbitrary<bool>();
  std::string text = "POST /x HTTP/1.1\r\nHost: h\r\n";
  if (chunked && !chunk.empty()) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", chunk.size());
    text += std::string("Transfer-Encoding: chunked\r\n\r\n") + size.data() +
            "\r\n" + chunk + "\r\n0\r\n\r\n";
  } else {
    text +=
      "Content-Length: " + std::to_string(chunk.size()) + "\r\n\r\n" + chunk;
  }
  text += "GET /next";
  const auto sizes =
    *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 20));
  const auto parsed = ParseInSegments(HttpMessageType::Request, text, sizes);
  RC_ASSERT(parsed.state_ == ParseState::Done);
  RC_ASSERT(parsed.body_ == chunk);
  RC_ASSERT(parsed.remainder_ == "GET /next");
}

// Guards against a crash or an endless loop on bytes that are no HTTP message.
RC_GTEST_PROP(HttpParserProperty, SurvivesArbitraryBytes, ())
{
  const auto text = *rc::gen::arbitrary<std::string>();
  const auto type =
    *rc::gen::element(HttpMessageType::Request, HttpMessageType::Response);
  const auto prefix = *rc::gen::element<std::string>(
    "",
    "GET / HTTP/1.1\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto sizes =
    *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 9));
  ParseInSegments(type, prefix + text, sizes);
}

}
}

#include "ctl/RequestExplanation.hpp"

#include "ctl/CommandLine.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

std::vector<LogLine> ParseLines(std::initializer_list<const char*> aTexts)
{
  std::vector<LogLine> lines;
  for (const char* text : aTexts) {
    if (auto line = ParseLogLine(text, "file")) {
      lines.push_back(std::move(*line));
    }
  }
  return lines;
}

bool ContainsEvent(const RequestExplanation& aExplanation,
                   std::string_view aEvent)
{
  return std::ranges::any_of(aExplanation.lines_, [&](const LogLine& aLine) {
    return aLine.event_ == aEvent;
  });
}

// Guards against a parser that ends a value at a space or an escaped quote
// inside of it, or that misses a line because a log collector put a prefix in
// front of it.
TEST(LogLine, ReadsQuotedFields)
{
  const auto line = ParseLogLine(
    R"(front-a ts=120 level=info event=leader-ended cause="say \"no\" x" n="5")",
    "file");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->source_, "front-a");
  EXPECT_EQ(line->timeMs_, 120);
  EXPECT_EQ(line->event_, "leader-ended");
  EXPECT_EQ(line->Field("cause"), "say \"no\" x");
  EXPECT_EQ(line->Field("n"), "5");
  EXPECT_EQ(line->Field("absent"), "");
  EXPECT_FALSE(ParseLogLine("nothing to see", "file"));
  EXPECT_FALSE(ParseLogLine("ts=x event=a", "file"));
}

// Guards against an explanation that misses related lines of other processes or
// includes lines that have nothing to do with the request.
TEST(RequestExplanation, CollectsRelatedLines)
{
  const auto lines = ParseLines({
    R"(a ts=1000 level=info event=store-lost)",
    R"(b ts=1000 level=info event=store-lost)",
    R"(b ts=8000 level=info event=leader-elected term="3")",
    R"(b ts=9000 level=info event=keys-moved service="s" first="10" last="20" to="s2")",
    R"(b ts=9100 level=info event=keys-moved service="s" first="30" last="40" to="s2")",
    R"(b ts=9100 level=info event=keys-moved service="t" first="10" last="20" to="t2")",
    R"(b ts=9200 level=info event=backend-down backend="s1")",
    R"(b ts=9200 level=info event=backend-down backend="s9")",
    R"(a ts=9300 level=info event=store-regained)",
    R"(a ts=9500 level=info event=attempt-failed id="r" cause="reset" backend="s1")",
    R"(a ts=9600 level=info event=request-failed id="r" status="503" cause="key-moving" service="s" key="15" held_ms="300")",
    R"(a ts=9600 level=info event=request-failed id="other" cause="reset")",
    R"(b ts=20000 level=info event=leader-ended)",
  });
  const auto explanation = ExplainRequest(lines, "r");
  ASSERT_TRUE(explanation.found_);
  EXPECT_EQ(explanation.cause_, "key-moving");
  EXPECT_NE(explanation.meaning_.find("owner"), std::string::npos);
  EXPECT_EQ(explanation.lines_.size(), 6U) << ToText(explanation);
  EXPECT_TRUE(ContainsEvent(explanation, "leader-elected"));
  EXPECT_TRUE(ContainsEvent(explanation, "keys-moved"));
  EXPECT_TRUE(ContainsEvent(explanation, "backend-down"));
  EXPECT_TRUE(ContainsEvent(explanation, "store-regained"));
  EXPECT_FALSE(ContainsEvent(explanation, "store-lost"));
  EXPECT_TRUE(
    std::ranges::is_sorted(explanation.lines_, {}, &LogLine::timeMs_));
  EXPECT_NE(ToText(explanation).find("-1500 ms b leader-elected"),
            std::string::npos)
    << ToText(explanation);
}

// Guards against explaining a rejection that follows a notice of a backend
// server as a lost connection, and against leaving out the log lines of the
// notices.
TEST(RequestExplanation, IncludesServerNotices)
{
  const auto lines = ParseLines({
    R"(a ts=9000 level=info event=backend-paused backend="s1" service="s" for_ms="3000")",
    R"(a ts=9010 level=info event=backend-paused backend="t1" service="t" for_ms="3000")",
    R"(b ts=9020 level=info event=backend-paused backend="s2" service="s" for_ms="3000")",
    R"(b ts=9030 level=info event=backend-leaving backend="s3" service="s")",
    R"(a ts=9500 level=info event=request-failed id="r" status="503" cause="all-paused" service="s")",
    R"(a ts=9600 level=info event=request-failed id="k" status="503" cause="owner-paused" service="s" key="7")",
    R"(a ts=9700 level=info event=request-failed id="d" status="503" cause="owner-share" service="s" key="7")",
    R"(a ts=9800 level=info event=request-failed id="e" status="503" cause="stopping" service="s")",
    R"(a ts=9900 level=info event=request-failed id="m" status="400" cause="malformed-request")",
    R"(a ts=9910 level=info event=request-failed id="u" status="503" cause="memory-short" service="s")",
    R"(a ts=9920 level=info event=request-failed id="x" status="502" cause="stopped-in-progress" service="s")",
  });
  const auto explanation = ExplainRequest(lines, "r");
  EXPECT_NE(explanation.meaning_.find("pause"), std::string::npos)
    << explanation.meaning_;
  // Only the gateway that received a pause applies it, so the pause that the
  // other gateway received is unrelated.
  EXPECT_EQ(explanation.lines_.size(), 3U) << ToText(explanation);
  EXPECT_TRUE(ContainsEvent(explanation, "backend-paused"));
  EXPECT_TRUE(ContainsEvent(explanation, "backend-leaving"));
  EXPECT_NE(ExplainRequest(lines, "x").meaning_.find("may have run"),
            std::string::npos);
  for (const char* id : { "k", "d", "e", "m", "u" }) {
    const auto meaning = ExplainRequest(lines, id).meaning_;
    EXPECT_EQ(meaning.find("may have run"), std::string::npos) << meaning;
  }
}

// Guards against explaining an id that no line has, and against requiring the
// address of an admin process for a subcommand that does not call one.
TEST(RequestExplanation, UnknownIdAndCommandLine)
{
  EXPECT_FALSE(ExplainRequest(ParseLines({ "a ts=1 event=x" }), "r").found_);
  Findings findings;
  const char* arguments[] = { "ctl", "explain", "--id", "r", "--log", "f" };
  EXPECT_TRUE(ParseCommandLine(6, const_cast<char**>(arguments), {}, findings))
    << findings.ToText();
}

}
}

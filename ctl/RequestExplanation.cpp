#include "RequestExplanation.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <span>

namespace cactuspitch {

namespace detail {

/// State changes this long before a request may explain it: a lost owner is
/// replaced within 5 s.
constexpr int64_t kWindowBeforeMs = 5000;
constexpr int64_t kWindowAfterMs = 1000;

struct CauseMeaning
{
  std::string_view cause_;
  const char* meaning_;
};

constexpr std::array kMeanings = {
  CauseMeaning{ "no-config", "the gateway had no configuration yet" },
  CauseMeaning{ "no-route", "no route of the configuration matches" },
  CauseMeaning{ "missing-field", "the request lacks Host or its id" },
  CauseMeaning{ "body-too-large", "the body exceeds the configured limit" },
  CauseMeaning{ "request-incomplete", "the caller did not send all of it" },
  CauseMeaning{ "malformed-request", "its head or body cannot be read" },
  CauseMeaning{ "stopping",
                "the gateway was stopping and had not sent it on; it did not "
                "run" },
  CauseMeaning{ "no-backend", "no server of the service is registered" },
  CauseMeaning{ "overload",
                "no server would have answered in time; it did not run" },
  CauseMeaning{ "no-owner",
                "nobody owned the key: look for the leader's lines and for the "
                "store" },
  CauseMeaning{ "key-moving", "the owner of the key was being changed" },
  CauseMeaning{ "owner-overload",
                "the owner of the key would have answered too late; look for "
                "keys-balanced" },
  CauseMeaning{ "owner-share",
                "this gateway's part of what the owner of the key can run was "
                "used up; it did not run" },
  CauseMeaning{ "owner-paused",
                "the owner of the key had refused and asked for a pause; it "
                "did not run" },
  CauseMeaning{ "all-paused",
                "all servers of the service had refused and asked for a pause; "
                "it did not run" },
  CauseMeaning{ "quarantined",
                "requests like it crashed backend servers; it did not run" },
  CauseMeaning{ "backend-shed", "the servers refused it; it did not run" },
  CauseMeaning{ "misdirected",
                "another server had the address, or the owner had changed" },
  CauseMeaning{ "backend-unreachable",
                "no connection could be opened; it did not run" },
  CauseMeaning{ "deadline-unsent", "it waited until its deadline unsent" },
  CauseMeaning{ "deadline",
                "a server had it until the deadline; it may have run" },
  CauseMeaning{ "unsealed-answer",
                "the answer was not confirmed by the server; it may have run" },
  CauseMeaning{ "attempts-exhausted",
                "an earlier attempt may have run, later ones did not" },
  CauseMeaning{ "broken-answer", "the server ended within its answer" },
  CauseMeaning{ "deadline-in-answer", "the deadline passed within the answer" },
  CauseMeaning{ "caller-left", "the caller closed its connection" },
  CauseMeaning{ "answered", "a backend server's own answer" },
};
/// Other causes are ends of connections.
constexpr const char* kConnectionMeaning =
  "the connection to the server ended without an answer; it may have run";

/// Lines about a server that tell why requests of its service are refused.
constexpr std::string_view kServerNoticeEvents[] = {
  "backend-paused",
  "backend-pause-malformed"
};
constexpr std::string_view kAnyProcessEvents[] = { "leader-elected",
                                                   "leader-ended",
                                                   "earlier-leaders-ended" };
constexpr std::string_view kSameProcessEvents[] = {
  "store-lost",        "store-regained",    "store-watch-changed",
  "history-gone",      "config-applied",    "config-rejected",
  "ready-changed",     "drain-started",     "gateway-started",
  "gateway-stopped",   "settings-reloaded", "settings-rejected",
  "backend-unreadable"
};

int64_t ParseNumberOr(std::string_view aText, int64_t aDefault)
{
  int64_t number = 0;
  return ParseNumber(aText, number) ? number : aDefault;
}

bool Contains(std::span<const std::string_view> aEvents,
              std::string_view aEvent)
{
  return std::ranges::find(aEvents, aEvent) != aEvents.end();
}

/// What is looked for around a request.
struct RequestContext
{
  std::set<std::string, std::less<>> sources_;
  std::set<std::string, std::less<>> backends_;
  std::string service_;
  int64_t key_ = -1;
  int64_t firstMs_ = INT64_MAX;
  int64_t lastMs_ = INT64_MIN;

  void Add(const LogLine& aLine)
  {
    sources_.insert(aLine.source_);
    if (const auto backend = aLine.Field("backend"); !backend.empty()) {
      backends_.emplace(backend);
    }
    if (const auto service = aLine.Field("service"); !service.empty()) {
      service_ = service;
    }
    key_ = std::max(key_, ParseNumberOr(aLine.Field("key"), -1));
    // A request's line is written at its end.
    const auto heldMs = ParseNumberOr(aLine.Field("held_ms"), 0);
    firstMs_ = std::min(firstMs_, aLine.timeMs_ - heldMs);
    lastMs_ = std::max(lastMs_, aLine.timeMs_);
  }

  bool IsRelated(const LogLine& aLine) const
  {
    if (aLine.timeMs_ < firstMs_ - kWindowBeforeMs ||
        aLine.timeMs_ > lastMs_ + kWindowAfterMs ||
        !aLine.Field("id").empty()) {
      return false;
    }
    if (Contains(kAnyProcessEvents, aLine.event_)) {
      return true;
    }
    if (Contains(kSameProcessEvents, aLine.event_)) {
      return sources_.contains(aLine.source_);
    }
    const auto first = ParseNumberOr(aLine.Field("first"), -1);
    const bool holdsKey = key_ >= 0 && first >= 0 && first <= key_ &&
                          key_ <= ParseNumberOr(aLine.Field("last"), -1);
    const auto service = aLine.Field("service");
    const bool isNotice = aLine.event_ == "backend-leaving" ||
                          (Contains(kServerNoticeEvents, aLine.event_) &&
                           sources_.contains(aLine.source_));
    if (isNotice && !service.empty() && service == service_) {
      return true;
    }
    return (holdsKey && (service.empty() || service == service_)) ||
           backends_.contains(aLine.Field("backend"));
  }
};

std::string MeaningOf(std::string_view aCause)
{
  const auto* found =
    std::ranges::find(kMeanings, aCause, &CauseMeaning::cause_);
  return found == kMeanings.end() ? kConnectionMeaning : found->meaning_;
}

}

RequestExplanation ExplainRequest(const std::vector<LogLine>& aLines,
                                  std::string_view aRequestId)
{
  RequestExplanation result;
  detail::RequestContext context;
  for (const auto& line : aLines) {
    if (line.Field("id") != aRequestId) {
      continue;
    }
    result.found_ = true;
    result.lines_.push_back(line);
    context.Add(line);
    if (line.event_ == "request-failed" || line.event_ == "request-served") {
      result.cause_ = line.Field("cause");
    }
  }
  if (!result.found_) {
    return result;
  }
  result.meaning_ = detail::MeaningOf(result.cause_);
  std::ranges::copy_if(
    aLines, std::back_inserter(result.lines_), [&](const LogLine& aLine) {
      return context.IsRelated(aLine);
    });
  std::ranges::stable_sort(result.lines_, {}, &LogLine::timeMs_);
  return result;
}

std::string ToText(const RequestExplanation& aExplanation)
{
  const auto& lines = aExplanation.lines_;
  const auto own = std::ranges::find_if(
    lines, [](const LogLine& aLine) { return !aLine.Field("id").empty(); });
  if (own == lines.end()) {
    return "no line names this request\n";
  }
  auto text =
    Concat("cause ", aExplanation.cause_, ": ", aExplanation.meaning_, "\n");
  for (const auto& line : lines) {
    const auto offsetMs = line.timeMs_ - own->timeMs_;
    AppendTo(text,
             offsetMs < 0 ? "" : "+",
             offsetMs,
             " ms ",
             line.source_,
             " ",
             line.event_);
    for (const auto& [name, value] : line.fields_) {
      AppendTo(text, " ", name, "=", value);
    }
    text += "\n";
  }
  return text;
}

}

#include "RequestExplanation.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <span>

namespace cactuspitch {

namespace detail {

/// State changes up to 5 s before a request may explain its failure, since a
/// failed owner is replaced within 5 s.
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
  CauseMeaning{ "missing-field", "the request lacks the Host field or its id" },
  CauseMeaning{ "body-too-large", "the body exceeds the configured limit" },
  CauseMeaning{ "request-incomplete",
                "the caller did not send the whole request" },
  CauseMeaning{ "malformed-request",
                "the head or body of the request cannot be parsed" },
  CauseMeaning{ "stopping",
                "the gateway was stopping and had not forwarded the request; "
                "it did not run" },
  CauseMeaning{ "stopped-in-progress",
                "the gateway had to exit while a server was at work on the "
                "request; it may have run" },
  CauseMeaning{ "memory-short",
                "the bodies of other requests used up the memory of the "
                "gateway; the request did not run" },
  CauseMeaning{ "no-backend",
                "no backend server of the service is registered" },
  CauseMeaning{ "overload",
                "no server would have responded in time; the request did not "
                "run" },
  CauseMeaning{ "no-owner",
                "the key had no owner; look for the events of the leader and "
                "of the store" },
  CauseMeaning{ "key-moving", "the key was being moved to another owner" },
  CauseMeaning{ "owner-overload",
                "the owner of the key would have responded too late; look for "
                "keys-balanced events" },
  CauseMeaning{ "owner-share",
                "this gateway had used up its share of the capacity of the "
                "key's owner; the request did not run" },
  CauseMeaning{ "owner-paused",
                "the owner of the key had rejected a request and asked for a "
                "pause; the request did not run" },
  CauseMeaning{ "all-paused",
                "all servers of the service had rejected a request and asked "
                "for a pause; the request did not run" },
  CauseMeaning{ "owner-limited",
                "the owner of the key had named a request limit, which the "
                "gateways together had used up; the request did not run" },
  CauseMeaning{ "all-limited",
                "all servers of the service had named request limits, which "
                "the gateways together had used up; the request did not run" },
  CauseMeaning{ "owner-cold",
                "the owner of the key was cold and had the requests that it "
                "bears in a second; the request did not run" },
  CauseMeaning{ "all-cold",
                "the servers of the service that take requests were cold and "
                "had those that they bear in a second; the request did not "
                "run" },
  CauseMeaning{ "evacuated",
                "all servers of the service are in failure domains that the "
                "operator has evacuated; the request did not run" },
  CauseMeaning{ "quarantined",
                "similar requests crashed backend servers; the request did "
                "not run" },
  CauseMeaning{ "backend-shed",
                "the servers rejected the request; it did not run" },
  CauseMeaning{ "misdirected",
                "another server was using the address, or the owner of the key "
                "had changed" },
  CauseMeaning{ "backend-unreachable",
                "no connection to a server could be opened; the request did "
                "not run" },
  CauseMeaning{ "deadline-unsent",
                "the deadline passed before the request was sent to a server" },
  CauseMeaning{ "deadline",
                "the deadline passed while a server had the request; it may "
                "have run" },
  CauseMeaning{ "ambiguous-answer",
                "the server's status says that the request did not run, but "
                "the server gave no such guarantee (or the reverse); the "
                "request may have run" },
  CauseMeaning{ "unsealed-answer",
                "the server did not confirm the response; the request may "
                "have run" },
  CauseMeaning{ "attempts-exhausted",
                "an earlier attempt may have run; the later attempts did not" },
  CauseMeaning{ "broken-answer",
                "the connection to the server ended before the response was "
                "complete" },
  CauseMeaning{ "deadline-in-answer",
                "the deadline passed before the response was complete" },
  CauseMeaning{ "caller-left", "the caller closed its connection" },
  CauseMeaning{ "answered", "the response came from a backend server" },
};
/// For causes not listed above: they say how a connection ended.
constexpr const char* kConnectionMeaning =
  "the connection to the server ended before a response; the request may have "
  "run";

/// Events about a server that explain why requests of its service are rejected;
/// related when logged by a process that handled the request.
constexpr std::string_view kServerNoticeEvents[] = {
  "backend-paused",
  "backend-pause-malformed",
  "backend-limit-named",
  "backend-limit-malformed"
};
/// Related to the request whichever process logged them.
constexpr std::string_view kAnyProcessEvents[] = { "leader-elected",
                                                   "leader-ended",
                                                   "grant-scope",
                                                   "earlier-leaders-ended" };
/// Related to the request when logged by a process that handled it.
constexpr std::string_view kSameProcessEvents[] = {
  "store-lost",        "store-regained",     "store-watch-changed",
  "store-restored",    "key-table-restored", "history-gone",
  "config-applied",    "config-rejected",    "ready-changed",
  "drain-started",     "gateway-started",    "gateway-stopped",
  "settings-reloaded", "settings-rejected",  "backend-unreadable"
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

/// Processes, backend servers, service, key and time of a request, by which
/// related log lines are selected.
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
    // A request is logged when it ends, held_ms after it arrived.
    const auto elapsedMs = ParseNumberOr(aLine.Field("held_ms"), 0);
    firstMs_ = std::min(firstMs_, aLine.timeMs_ - elapsedMs);
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
    const bool containsKey = key_ >= 0 && first >= 0 && first <= key_ &&
                             key_ <= ParseNumberOr(aLine.Field("last"), -1);
    const auto service = aLine.Field("service");
    const bool isNotice = aLine.event_ == "backend-leaving" ||
                          (Contains(kServerNoticeEvents, aLine.event_) &&
                           sources_.contains(aLine.source_));
    if (isNotice && !service.empty() && service == service_) {
      return true;
    }
    return (containsKey && (service.empty() || service == service_)) ||
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
  const auto firstLine = std::ranges::find_if(
    lines, [](const LogLine& aLine) { return !aLine.Field("id").empty(); });
  if (firstLine == lines.end()) {
    return "no line names this request\n";
  }
  auto text =
    Concat("cause ", aExplanation.cause_, ": ", aExplanation.meaning_, "\n");
  for (const auto& line : lines) {
    const auto offsetMs = line.timeMs_ - firstLine->timeMs_;
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

#include "HeaderRules.hpp"

#include "common/Strings.hpp"
#include "common/Types.hpp"

#include <algorithm>
#include <span>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace cactuspitch {

namespace detail {

constexpr std::string_view kConnection = "Connection";

/// Framing and hop-by-hop headers; both sides are framed anew.
constexpr std::string_view kHopByHop[] = {
  kConnection,           "Keep-Alive", "Proxy-Authenticate",
  "Proxy-Authorization", "TE",         "Trailer",
  "Transfer-Encoding",   "Upgrade",    "Proxy-Connection",
  "Content-Length",
};

constexpr std::string_view kNotForServer[] = {
  "Host",
  "Expect",
  header::kOutcome,
  header::kNotRun,
  header::kRetryAfterMs,
  header::kRequestId,
  header::kDeadlineMs,
  header::kDeadlineClockMs,
  header::kSliceEpoch,
  header::kClockMs,
  header::kIncarnation,
};

constexpr std::string_view kNotForCaller[] = {
  header::kOutcome,    header::kNotRun,          header::kRetryAfterMs,
  header::kDeadlineMs, header::kDeadlineClockMs, header::kSliceEpoch,
  header::kClockMs,    header::kIncarnation,
};

bool IsOneOf(std::string_view aName, std::span<const std::string_view> aNames)
{
  return std::ranges::any_of(aNames, [aName](std::string_view aOther) {
    return aName.size() == aOther.size() && EqualsIgnoreCase(aName, aOther);
  });
}

bool IsNamedByConnection(const HttpHeaders& aHeaders, std::string_view aName)
{
  return std::ranges::any_of(aHeaders, [aName](const auto& aHeader) {
    if (!EqualsIgnoreCase(aHeader.first, kConnection)) {
      return false;
    }
    const std::vector<absl::string_view> tokens =
      absl::StrSplit(aHeader.second, ',');
    return std::ranges::any_of(tokens, [aName](absl::string_view aToken) {
      return EqualsIgnoreCase(ToStd(absl::StripAsciiWhitespace(aToken)), aName);
    });
  });
}

bool HasConnectionHeader(const HttpHeaders& aHeaders)
{
  return std::ranges::any_of(aHeaders, [](const auto& aHeader) {
    return EqualsIgnoreCase(aHeader.first, kConnection);
  });
}

}

HttpHeaders HeaderRules::ForServer(const HttpHeaders& aHeaders)
{
  constexpr size_t kAddedHeaders = 3;
  const bool hasConnection = detail::HasConnectionHeader(aHeaders);
  HttpHeaders kept;
  kept.reserve(aHeaders.size() + kAddedHeaders);
  for (const auto& entry : aHeaders) {
    const auto& name = entry.first;
    if (!detail::IsOneOf(name, detail::kHopByHop) &&
        !detail::IsOneOf(name, detail::kNotForServer) &&
        !(hasConnection && detail::IsNamedByConnection(aHeaders, name))) {
      kept.push_back(entry);
    }
  }
  return kept;
}

HttpHeaders HeaderRules::ForCaller(const HttpHeaders& aHeaders)
{
  const bool hasConnection = detail::HasConnectionHeader(aHeaders);
  HttpHeaders kept;
  kept.reserve(aHeaders.size() + 1);
  for (const auto& entry : aHeaders) {
    const auto& name = entry.first;
    if (!detail::IsOneOf(name, detail::kHopByHop) &&
        !detail::IsOneOf(name, detail::kNotForCaller) &&
        !(hasConnection && detail::IsNamedByConnection(aHeaders, name))) {
      kept.push_back(entry);
    }
  }
  return kept;
}

}

#include "HeaderFilter.hpp"

#include "common/Strings.hpp"
#include "common/Types.hpp"

#include <algorithm>
#include <span>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace cactuspitch {

namespace detail {

constexpr std::string_view kConnection = "Connection";

/// Hop-by-hop headers and Content-Length. The router writes its own framing
/// headers on both connections.
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

/// Removes hop-by-hop headers, the headers that a Connection header lists, and
/// the headers in aInternal.
void Remove(HttpHeaders& aHeaders, std::span<const std::string_view> aInternal)
{
  const bool hasConnection =
    std::ranges::any_of(aHeaders, [](const auto& aHeader) {
      return EqualsIgnoreCase(aHeader.first, kConnection);
    });
  if (hasConnection) {
    const auto all = aHeaders;
    std::erase_if(aHeaders, [&](const auto& aHeader) {
      return IsNamedByConnection(all, aHeader.first);
    });
  }
  std::erase_if(aHeaders, [aInternal](const auto& aHeader) {
    return IsOneOf(aHeader.first, kHopByHop) ||
           IsOneOf(aHeader.first, aInternal);
  });
}

}

HttpHeaders HeaderFilter::ForServer(HttpHeaders aHeaders)
{
  detail::Remove(aHeaders, detail::kNotForServer);
  return aHeaders;
}

HttpHeaders HeaderFilter::ForCaller(HttpHeaders aHeaders)
{
  detail::Remove(aHeaders, detail::kNotForCaller);
  return aHeaders;
}

}

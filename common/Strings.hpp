#pragma once

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace cactuspitch {

// Debian builds Abseil with its own string_view type, which does not convert
// to and from std::string_view. These helpers convert explicitly.

inline absl::string_view ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

inline std::string_view ToStd(absl::string_view aText)
{
  return { aText.data(), aText.size() };
}

namespace detail {

template<typename T>
decltype(auto) StrCatArgument(const T& aValue)
{
  if constexpr (std::is_same_v<T, std::string_view>) {
    return ToAbsl(aValue);
  } else {
    return (aValue);
  }
}

}

/// Like absl::StrCat; also accepts std::string_view.
template<typename... Args>
std::string Concat(const Args&... aArgs)
{
  return absl::StrCat(detail::StrCatArgument(aArgs)...);
}

/// Like absl::StrAppend; also accepts std::string_view.
template<typename... Args>
void AppendTo(std::string& aText, const Args&... aArgs)
{
  absl::StrAppend(&aText, detail::StrCatArgument(aArgs)...);
}

inline bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(ToAbsl(aLeft), ToAbsl(aRight));
}

/// True if the text holds a byte that would end or corrupt a header field.
inline bool HasControlCharacter(std::string_view aText)
{
  return std::ranges::any_of(aText, [](char aByte) {
    return absl::ascii_iscntrl(static_cast<unsigned char>(aByte));
  });
}

/// Parses the whole text as a number. On failure returns false and leaves
/// aResult unchanged.
template<typename Number>
bool ParseNumber(std::string_view aText, Number& aResult)
{
  Number value{};
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || last != end) {
    return false;
  }
  aResult = value;
  return true;
}

}

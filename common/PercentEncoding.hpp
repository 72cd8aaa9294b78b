#pragma once

#include <string>
#include <string_view>

#include <absl/strings/ascii.h>

namespace cactuspitch {

/// Escapes all bytes that are not unreserved in a URI (RFC 3986), so that the
/// text stands for itself as a path segment and as a value in a query.
inline std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreservedPunctuation = "-._~";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 0xF;
  std::string encoded;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (absl::ascii_isalnum(byte) ||
        kUnreservedPunctuation.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> kHighShift];
      encoded += kDigits[byte & kLowMask];
    }
  }
  return encoded;
}

}

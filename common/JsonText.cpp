#include "common/JsonText.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view StripWhitespace(std::string_view aText)
{
  const auto first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

/// Position after the string that begins at aStart; npos if it does not end.
size_t SkipString(std::string_view aText, size_t aStart)
{
  for (size_t at = aStart + 1; at < aText.size(); ++at) {
    if (aText[at] == '\\') {
      ++at;
    } else if (aText[at] == '"') {
      return at + 1;
    }
  }
  return std::string_view::npos;
}

/// Deepest nesting of brackets, -1 if they don't match.
int Depth(std::string_view aText)
{
  int depth = 0;
  int deepest = 0;
  for (size_t at = 0; at < aText.size();) {
    const char character = aText[at];
    if (character == '"') {
      at = SkipString(aText, at);
      if (at == std::string_view::npos) {
        return -1;
      }
      continue;
    }
    if (character == '[' || character == '{') {
      deepest = std::max(deepest, ++depth);
    } else if (character == ']' || character == '}') {
      --depth;
    }
    ++at;
  }
  return depth == 0 ? deepest : -1;
}

/// Splits the contents of the outermost brackets at its commas.
std::optional<std::vector<std::string_view>>
SplitBracketed(std::string_view aText, char aOpen, char aClose)
{
  const auto text = StripWhitespace(aText);
  if (text.size() < 2 || text.front() != aOpen || text.back() != aClose) {
    return std::nullopt;
  }
  const auto contents = text.substr(1, text.size() - 2);
  std::vector<std::string_view> parts;
  if (StripWhitespace(contents).empty()) {
    return parts;
  }
  int depth = 0;
  size_t start = 0;
  for (size_t at = 0; at < contents.size();) {
    const char character = contents[at];
    if (character == '"') {
      at = SkipString(contents, at);
      if (at == std::string_view::npos) {
        return std::nullopt;
      }
      continue;
    }
    if (character == '[' || character == '{') {
      ++depth;
    } else if (character == ']' || character == '}') {
      if (--depth < 0) {
        return std::nullopt;
      }
    } else if (character == ',' && depth == 0) {
      parts.push_back(StripWhitespace(contents.substr(start, at - start)));
      start = at + 1;
    }
    ++at;
  }
  parts.push_back(StripWhitespace(contents.substr(start)));
  return depth == 0 ? std::optional(std::move(parts)) : std::nullopt;
}

}

std::optional<nlohmann::json> ParseJson(std::string_view aText)
{
  const int depth = detail::Depth(aText);
  if (depth < 0 || depth > kMaxJsonDepth) {
    return std::nullopt;
  }
  auto json = nlohmann::json::parse(aText, nullptr, false);
  return json.is_discarded() ? std::nullopt : std::optional(std::move(json));
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
  std::string_view aText)
{
  return detail::SplitBracketed(aText, '[', ']');
}

std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view aText)
{
  const auto parts = detail::SplitBracketed(aText, '{', '}');
  if (!parts) {
    return std::nullopt;
  }
  std::vector<JsonMember> members;
  for (const auto part : *parts) {
    const auto keyEnd =
      part.starts_with('"') ? detail::SkipString(part, 0) : part.npos;
    const auto colon = keyEnd == part.npos
                         ? part.npos
                         : part.find_first_not_of(detail::kWhitespace, keyEnd);
    if (colon == part.npos || part[colon] != ':') {
      return std::nullopt;
    }
    members.push_back({ part.substr(1, keyEnd - 2),
                        detail::StripWhitespace(part.substr(colon + 1)) });
  }
  return members;
}

}

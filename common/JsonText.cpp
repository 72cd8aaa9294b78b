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

/// Calls aVisit with the position of each character outside of strings, and the
/// number of brackets around it; an opening bracket counts itself. Returns
/// false if a string does not end or the brackets don't match.
template<typename Visit>
bool ScanStructure(std::string_view aText, Visit aVisit)
{
  int depth = 0;
  for (size_t at = 0; at < aText.size();) {
    const char character = aText[at];
    if (character == '"') {
      at = SkipString(aText, at);
      if (at == std::string_view::npos) {
        return false;
      }
      continue;
    }
    if (character == '[' || character == '{') {
      ++depth;
    } else if ((character == ']' || character == '}') && --depth < 0) {
      return false;
    }
    aVisit(at, depth);
    ++at;
  }
  return depth == 0;
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
  size_t start = 0;
  const bool matches = ScanStructure(contents, [&](size_t aAt, int aDepth) {
    if (contents[aAt] == ',' && aDepth == 0) {
      parts.push_back(StripWhitespace(contents.substr(start, aAt - start)));
      start = aAt + 1;
    }
  });
  parts.push_back(StripWhitespace(contents.substr(start)));
  return matches ? std::optional(std::move(parts)) : std::nullopt;
}

}

bool IsUtf8(std::string_view aText)
{
  const auto isAscii = [](char aByte) {
    return static_cast<unsigned char>(aByte) < 0x80;
  };
  if (std::ranges::all_of(aText, isAscii)) {
    return true;
  }
  // The writer drops invalid bytes, so that the text that is read back differs.
  const auto text =
    nlohmann::json(std::string(aText))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
  return nlohmann::json::parse(text) == std::string(aText);
}

std::string WriteJson(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<nlohmann::json> ParseJson(std::string_view aText)
{
  int deepest = 0;
  const bool matches = detail::ScanStructure(
    aText, [&](size_t, int aDepth) { deepest = std::max(deepest, aDepth); });
  if (!matches || deepest > kMaxJsonDepth) {
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

std::string_view MemberText(const std::vector<JsonMember>& aMembers,
                            std::string_view aName)
{
  const auto found =
    std::find_if(aMembers.rbegin(), aMembers.rend(), [&](const auto& aMember) {
      return aMember.key_ == aName;
    });
  return found == aMembers.rend() ? std::string_view() : found->value_;
}

}

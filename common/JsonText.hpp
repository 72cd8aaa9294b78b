#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Documents of other writers may be nested no deeper than this. Copying and
/// printing a JSON value recurses, so that deeper ones could exhaust the stack.
inline constexpr int kMaxJsonDepth = 64;

/// True if a JSON string can hold the text unchanged, that is, if it is valid
/// UTF-8.
bool IsUtf8(std::string_view aText);

struct JsonMember
{
  std::string_view key_; ///< as written, without the quotation marks
  std::string_view value_;
};

/// Writes a document. Strings come from other processes: bytes that are not
/// UTF-8 are replaced by U+FFFD, where dump() throws.
std::string WriteJson(const nlohmann::json& aJson);
/// Parses a document. Empty if it is malformed, has a number out of range or is
/// nested too deeply.
std::optional<nlohmann::json> ParseJson(std::string_view aText);
/// Splits the text of an object into its members without parsing them, so that
/// an unreadable member leaves the others readable. The members refer to aText.
/// Empty if it is no object.
std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view aText);
/// The same for the elements of an array.
std::optional<std::vector<std::string_view>> SplitJsonArray(
  std::string_view aText);
/// Text of the last member with that name; empty if there is none.
std::string_view MemberText(const std::vector<JsonMember>& aMembers,
                            std::string_view aName);

}

#include "LogLine.hpp"

#include "common/Strings.hpp"

#include <absl/strings/ascii.h>

namespace cactuspitch {

namespace detail {

/// Parses the `name=value` or `name="value"` that aText starts with and removes
/// it from aText. Returns false when no field is left.
bool ConsumeField(std::string_view& aText,
                  std::string& aName,
                  std::string& aValue)
{
  const auto equals = aText.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  aName = aText.substr(0, equals);
  aText.remove_prefix(equals + 1);
  aValue.clear();
  const bool quoted = aText.starts_with('"');
  if (quoted) {
    aText.remove_prefix(1);
  }
  const char end = quoted ? '"' : ' ';
  while (!aText.empty() && aText.front() != end) {
    if (quoted && aText.front() == '\\' && aText.size() > 1) {
      aText.remove_prefix(1);
    }
    aValue.push_back(aText.front());
    aText.remove_prefix(1);
  }
  const auto rest = aText.find_first_not_of("\" ");
  aText.remove_prefix(rest == std::string_view::npos ? aText.size() : rest);
  return true;
}

}

std::string_view LogLine::Field(std::string_view aName) const
{
  const auto found = fields_.find(aName);
  return found == fields_.end() ? std::string_view() : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view aText,
                                    std::string_view aSource)
{
  const auto start = aText.find("ts=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const auto prefix =
    ToStd(absl::StripAsciiWhitespace(ToAbsl(aText.substr(0, start))));
  LogLine line;
  line.source_ = prefix.empty() ? aSource : prefix;
  aText.remove_prefix(start);
  std::string name;
  std::string value;
  while (detail::ConsumeField(aText, name, value)) {
    if (name == "ts") {
      if (!ParseNumber(value, line.timeMs_)) {
        return std::nullopt;
      }
    } else if (name == "level") {
      line.level_ = value;
    } else if (name == "event") {
      line.event_ = value;
    } else {
      line.fields_[name] = value;
    }
  }
  return line.event_.empty() ? std::nullopt : std::optional(std::move(line));
}

}

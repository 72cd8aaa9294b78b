#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// One line of a gateway's log (gateway/EventLog.hpp).
struct LogLine
{
  std::string source_; ///< process that wrote it
  int64_t timeMs_ = 0;
  std::string level_;
  std::string event_;
  std::map<std::string, std::string, std::less<>> fields_;

  /// Value of a field; empty when absent.
  std::string_view Field(std::string_view aName) const;
};

/// Nothing for text that is no line of a gateway. Text in front of the time
/// stamp, as collectors of logs write it, names the source in place of aSource.
std::optional<LogLine> ParseLogLine(std::string_view aText,
                                    std::string_view aSource);

}

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// One parsed line of a gateway's log (gateway/EventLog.hpp).
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

/// Returns nothing when aText is not a line of a gateway's log. A prefix in
/// front of the timestamp, as log collectors add, replaces aSource as the
/// source.
std::optional<LogLine> ParseLogLine(std::string_view aText,
                                    std::string_view aSource);

}

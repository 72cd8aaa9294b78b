#pragma once

#include "EnumNames.hpp"
#include "Strings.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cactuspitch {

enum class LogLevel : uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
  Count
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr std::string_view kNames[] = { "debug",
                                                 "info",
                                                 "warning",
                                                 "error" };
};

/// Structured field of a log line, written as name="value".
struct LogField
{
  template<typename T>
  LogField(std::string_view aName, const T& aValue)
    : name_(aName)
    , value_(Concat(aValue))
  {
  }
  std::string name_;
  std::string value_;
};

/// Configures Boost.Log to write one line per event to standard error. Events
/// below aMinimum are dropped.
void InitLog(std::string_view aProgram, LogLevel aMinimum);

/// Writes one line with time, level, program, event and fields.
void Log(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

}

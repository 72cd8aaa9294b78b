#pragma once

#include "common/Clock.hpp"
#include "common/Log.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Structured log on standard output, one line per event:
///   ts=MS level=info event=NAME key="value" ...
/// A write never blocks: lines that the pipe does not accept are dropped and
/// counted.
/// Each event name has a token bucket, so that rare events are always written
/// and frequent ones are sampled; dropped lines are counted in `log-dropped`.
class EventLog
{
public:
  /// Lines per second of one event name, and the burst above that rate.
  static constexpr double kLinesPerSecond = 4;
  static constexpr double kBurstLines = 20;

  EventLog(const Clock& aClock, LogLevel aMinimum, int aFd);

  void SetMinimum(LogLevel aMinimum) { minimum_ = aMinimum; }
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {});
  /// True when the next line of the event would be written. Callers check it to
  /// avoid the cost of the fields.
  bool Allows(LogLevel aLevel, std::string_view aEvent);
  /// Logs the number of lines dropped since the last call.
  void ReportDropped();

private:
  struct Bucket
  {
    double tokens_ = kBurstLines;
    TimeMs refilledMs_ = 0;
    int64_t dropped_ = 0;
  };

  /// Returns the event's bucket if a line may be written. Otherwise returns
  /// null, and counts the line as dropped unless its level is below the
  /// minimum.
  Bucket* Admit(LogLevel aLevel, std::string_view aEvent);
  Bucket& Refill(std::string_view aEvent);
  void Emit(LogLevel aLevel,
            std::string_view aEvent,
            std::initializer_list<LogField> aFields);

  const Clock& clock_;
  LogLevel minimum_;
  int fd_;
  std::map<std::string, Bucket, std::less<>> buckets_;
  int64_t failedWrites_ = 0;
};

}

#pragma once

#include "common/Clock.hpp"
#include "common/Log.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Structured log on standard output, one line an event:
///   ts=MS level=info event=NAME key="value" ...
/// A write never blocks: what the pipe does not take is dropped and counted.
/// Each event name has a token bucket, so that rare events are always written
/// and frequent ones are sampled; dropped lines are counted in `log-dropped`.
class EventLog
{
public:
  /// Lines a second of one event name, and the burst above that.
  static constexpr double kLinesPerSecond = 4;
  static constexpr double kBurstLines = 20;

  EventLog(const Clock& aClock, LogLevel aMinimum, int aFd);

  void SetMinimum(LogLevel aMinimum) { minimum_ = aMinimum; }
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {});
  /// True when the next line of that event would be written: callers skip the
  /// cost of the fields otherwise.
  bool Allows(LogLevel aLevel, std::string_view aEvent);
  /// Reports the lines dropped since the last call.
  void ReportDropped();

private:
  struct Bucket
  {
    double tokens_ = kBurstLines;
    TimeMs refilledMs_ = 0;
    int64_t dropped_ = 0;
  };

  /// The event's bucket if a line may be written; counts it as dropped if not.
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

#include "gateway/EventLog.hpp"

#include "common/Strings.hpp"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

constexpr double kMsPerSecond = 1000;

int64_t WallClockMs()
{
  timeval now{};
  ::gettimeofday(&now, nullptr);
  return now.tv_sec * 1000LL + now.tv_usec / 1000;
}

}

EventLog::EventLog(const Clock& aClock, LogLevel aMinimum, int aFd)
  : clock_(aClock)
  , minimum_(aMinimum)
  , fd_(aFd)
{
  const int flags = ::fcntl(fd_, F_GETFL);
  if (flags >= 0) {
    ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  }
}

EventLog::Bucket& EventLog::Refill(std::string_view aEvent)
{
  auto found = buckets_.find(aEvent);
  if (found == buckets_.end()) {
    found = buckets_.emplace(std::string(aEvent), Bucket{}).first;
  }
  auto& bucket = found->second;
  const TimeMs nowMs = clock_.NowMs();
  if (bucket.refilledMs_ != 0) {
    const double seconds =
      static_cast<double>(nowMs - bucket.refilledMs_) / detail::kMsPerSecond;
    bucket.tokens_ =
      std::min(kBurstLines, bucket.tokens_ + seconds * kLinesPerSecond);
  }
  bucket.refilledMs_ = nowMs;
  return bucket;
}

EventLog::Bucket* EventLog::Admit(LogLevel aLevel, std::string_view aEvent)
{
  if (aLevel < minimum_) {
    return nullptr;
  }
  auto& bucket = Refill(aEvent);
  if (bucket.tokens_ >= 1) {
    return &bucket;
  }
  ++bucket.dropped_;
  return nullptr;
}

bool EventLog::Allows(LogLevel aLevel, std::string_view aEvent)
{
  return Admit(aLevel, aEvent) != nullptr;
}

void EventLog::Write(LogLevel aLevel,
                     std::string_view aEvent,
                     std::initializer_list<LogField> aFields)
{
  auto* bucket = Admit(aLevel, aEvent);
  if (bucket == nullptr) {
    return;
  }
  bucket->tokens_ -= 1;
  Emit(aLevel, aEvent, aFields);
}

void EventLog::Emit(LogLevel aLevel,
                    std::string_view aEvent,
                    std::initializer_list<LogField> aFields)
{
  auto line = Concat("ts=",
                     detail::WallClockMs(),
                     " level=",
                     EnumName(aLevel),
                     " event=",
                     aEvent);
  for (const auto& field : aFields) {
    AppendTo(line, " ", field.name_, "=\"", absl::CEscape(field.value_), "\"");
  }
  line += '\n';
  if (::write(fd_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    ++failedWrites_;
  }
}

void EventLog::ReportDropped()
{
  for (auto& [event, bucket] : buckets_) {
    if (bucket.dropped_ > 0) {
      Emit(LogLevel::Info,
           "log-dropped",
           { { "of", event }, { "lines", bucket.dropped_ } });
      bucket.dropped_ = 0;
    }
  }
  if (failedWrites_ > 0) {
    const auto count = std::exchange(failedWrites_, 0);
    Emit(LogLevel::Warning, "log-unwritten", { { "lines", count } });
  }
}

}

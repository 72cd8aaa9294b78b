#include "SloCollector.hpp"

#include "common/Log.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr int64_t kMsPerUnixMinute = 60000;
constexpr TimeMs kFailoverDelayMs = 40000;
constexpr TimeMs kSaveTimeoutMs = 8000;
/// Number of ranks whose processes may save. Processes of further ranks are
/// needed only if the list of instances has this many dead ones of lower rank.
constexpr int kMaxWriters = 8;

}

SloCollector::SloCollector(InstanceDirectory& aDirectory,
                           FleetClient& aFleet,
                           SloArchive& aArchive,
                           MetricsRegistry& aMetrics,
                           const Clock& aClock,
                           std::function<int64_t()> aUnixClock,
                           SloCollectorOptions aOptions)
  : directory_(aDirectory)
  , fleet_(aFleet)
  , archive_(aArchive)
  , saves_(aMetrics.GetCounter("cactuspitch_slo_saves_total"))
  , failures_(aMetrics.GetCounter("cactuspitch_slo_save_failures_total"))
  , clock_(aClock)
  , unixClock_(std::move(aUnixClock))
  , options_(std::move(aOptions))
{
}

SloCollector::~SloCollector()
{
  Stop();
}

void SloCollector::Start()
{
  thread_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    const auto interval = std::chrono::milliseconds(options_.intervalMs_);
    while (
      !stopCondition_.wait_for(lock, interval, [this] { return stopping_; })) {
      lock.unlock();
      RunOnce();
      lock.lock();
    }
  });
}

void SloCollector::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopCondition_.notify_all();
  thread_.join();
  // Saves the counts of the current minute on an orderly stop.
  RunOnce();
}

void SloCollector::RunOnce()
{
  if (ShouldSave()) {
    Collect();
  }
}

bool SloCollector::ShouldSave()
{
  const int rank = directory_.Rank("slo", options_.instance_);
  if (rank <= 0) {
    // Rank -1: the cached list does not contain this process yet. Such a
    // process does not save.
    return rank == 0;
  }
  if (rank >= detail::kMaxWriters) {
    return false;
  }
  const auto version = archive_.CurrentHourVersion(unixClock_());
  const auto nowMs = clock_.NowMs();
  if (!version.ok() || *version != lastVersion_) {
    lastVersion_ = version.value_or(lastVersion_);
    lastVersionChangeMs_ = nowMs;
    return false;
  }
  return nowMs - lastVersionChangeMs_ > rank * detail::kFailoverDelayMs;
}

void SloCollector::Collect()
{
  const auto nowMs = unixClock_();
  const auto minute = nowMs / detail::kMsPerUnixMinute;
  const auto since =
    std::max(savedMinute_ - kCloseDelayMinutes, minute - kMergeWindowMinutes);
  const auto deadlineMs = clock_.NowMs() + detail::kSaveTimeoutMs;
  const auto saved =
    archive_.Save(fleet_.FetchSloSamples(since), nowMs, deadlineMs);
  if (!saved.ok()) {
    failures_.Add();
    Log(LogLevel::Warning,
        "burn report counters not saved",
        { { "reason", saved.message() } });
    return;
  }
  saves_.Add();
  savedMinute_ = minute;
  const auto hour = minute / kMinutesPerHour;
  if (hour == compactedHour_) {
    return;
  }
  const auto compacted =
    archive_.Compact(nowMs, clock_.NowMs() + detail::kSaveTimeoutMs);
  if (compacted.ok()) {
    compactedHour_ = hour;
  }
}

}

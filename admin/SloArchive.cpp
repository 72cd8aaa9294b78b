#include "SloArchive.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <set>
#include <thread>

namespace cactuspitch {

namespace detail {

constexpr int64_t kMsPerMinute = 60000;
constexpr int64_t kMinuteHistoryHours = 7;
constexpr int64_t kHourRetentionHours = 48;
/// The store limits a value to 1 MB.
constexpr size_t kMaxBlockBytes = 900 * 1024;
constexpr auto kRetryDelay = std::chrono::milliseconds(5);

std::string HourName(int64_t aHour)
{
  return Concat("hour.", aHour);
}

std::string DayName(int64_t aDay)
{
  return Concat("day.", aDay);
}

int64_t MinuteOf(int64_t aUnixMs)
{
  return aUnixMs / kMsPerMinute;
}

/// Closes slots, the oldest first, until the serialized block is at most
/// kMaxBlockBytes long.
absl::StatusOr<std::string> SerializeWithinLimit(SloBlock& aBlock)
{
  auto text = aBlock.ToText();
  for (auto& [slot, counts] : aBlock.slots_) {
    if (text.size() <= kMaxBlockBytes) {
      return text;
    }
    if (!counts.isClosed_) {
      counts.Close();
      text = aBlock.ToText();
    }
  }
  if (text.size() > kMaxBlockBytes) {
    return absl::ResourceExhaustedError(
      "SLO counters of one object exceed 900 KB");
  }
  return text;
}

bool IsRetryable(const absl::Status& aStatus)
{
  return absl::IsUnavailable(aStatus) || absl::IsUnknown(aStatus) ||
         absl::IsDeadlineExceeded(aStatus) ||
         absl::IsFailedPrecondition(aStatus);
}

/// Merges those minutes of the samples that belong to aHour and that are not
/// older than kMergeWindowMinutes.
void MergeHour(SloBlock& aBlock,
               int64_t aHour,
               const std::vector<SloSample>& aSamples,
               int64_t aNowMinute)
{
  const auto hourBegin = aHour * kMinutesPerHour;
  // Older minutes may already have been merged into their day.
  const auto first = std::max(hourBegin, aNowMinute - kMergeWindowMinutes);
  for (const auto& sample : aSamples) {
    const auto source =
      aBlock.FindOrMakeSourceName(sample.instance_, sample.startMs_);
    const auto end = sample.minutes_.lower_bound(hourBegin + kMinutesPerHour);
    for (auto it = sample.minutes_.lower_bound(first); it != end; ++it) {
      aBlock.slots_[it->first].Merge(source, it->second);
    }
  }
}

}

SloArchive::SloArchive(ObjectStore& aStore, const Clock& aClock)
  : store_(aStore)
  , clock_(aClock)
{
}

absl::StatusOr<SloBlock> SloArchive::Read(const std::string& aName,
                                          int64_t& aVersion)
{
  const auto object = store_.Get(kSloKind, aName);
  if (absl::IsNotFound(object.status())) {
    aVersion = kMustNotExist;
    return SloBlock();
  }
  if (!object.ok()) {
    return object.status();
  }
  auto block = SloBlock::Parse(object->value_);
  if (!block) {
    return absl::DataLossError(Concat("slo/", aName, " is malformed"));
  }
  aVersion = object->version_;
  return *std::move(block);
}

absl::Status SloArchive::UpdateBlock(const std::string& aName,
                                     int64_t aNowMs,
                                     TimeMs aDeadlineMs,
                                     const BlockUpdate& aUpdate)
{
  absl::Status last =
    absl::DeadlineExceededError("deadline passed before the first attempt");
  while (clock_.NowMs() < aDeadlineMs) {
    int64_t version = 0;
    auto block = Read(aName, version);
    last = block.status();
    if (block.ok()) {
      const auto before = block->ToText();
      aUpdate(*block);
      if (block->ToText() == before) {
        return absl::OkStatus();
      }
      block->savedMs_ = aNowMs;
      const auto text = detail::SerializeWithinLimit(*block);
      if (!text.ok()) {
        return text.status();
      }
      last = store_.Put(kSloKind, aName, version, *text).status();
    }
    if (last.ok() || !detail::IsRetryable(last)) {
      return last;
    }
    std::this_thread::sleep_for(detail::kRetryDelay);
  }
  return last;
}

absl::Status SloArchive::Save(const std::vector<SloSample>& aSamples,
                              int64_t aNowMs,
                              TimeMs aDeadlineMs)
{
  const auto nowMinute = detail::MinuteOf(aNowMs);
  std::set<int64_t> hours = { nowMinute / kMinutesPerHour,
                              (nowMinute - kCloseDelayMinutes) /
                                kMinutesPerHour };
  for (const auto& sample : aSamples) {
    for (const auto& [minute, cells] : sample.minutes_) {
      hours.insert(minute / kMinutesPerHour);
    }
  }
  absl::Status result;
  for (const auto hour : hours) {
    result.Update(UpdateBlock(
      detail::HourName(hour), aNowMs, aDeadlineMs, [&](SloBlock& aBlock) {
        detail::MergeHour(aBlock, hour, aSamples, nowMinute);
        aBlock.CloseBefore(nowMinute - kCloseDelayMinutes);
      }));
  }
  return result;
}

absl::Status SloArchive::MergeHourIntoDay(const std::string& aName,
                                          int64_t aHour,
                                          const std::string& aText,
                                          int64_t aNowMs,
                                          TimeMs aDeadlineMs)
{
  if (mergedHours_.contains(aName)) {
    return absl::OkStatus();
  }
  auto hour = SloBlock::Parse(aText);
  if (!hour) {
    return absl::DataLossError(Concat("slo/", aName, " is malformed"));
  }
  hour->CloseBefore(INT64_MAX);
  SloMinuteCounts counts;
  counts.sources_["hour"] = hour->Total();
  counts.Close();
  const auto first = aHour * kMinutesPerHour;
  auto changed = UpdateBlock(
    detail::DayName(first / kMinutesPerDay),
    aNowMs,
    aDeadlineMs,
    [&](SloBlock& aBlock) { aBlock.slots_.try_emplace(first, counts); });
  if (changed.ok()) {
    mergedHours_.insert(aName);
  }
  return changed;
}

absl::Status SloArchive::Compact(int64_t aNowMs, TimeMs aDeadlineMs)
{
  const auto objects = store_.List(kSloKind);
  if (!objects.ok()) {
    return objects.status();
  }
  const auto nowMinute = detail::MinuteOf(aNowMs);
  const auto today = nowMinute / kMinutesPerDay;
  // Hours before this one receive no more counts, see detail::MergeHour.
  const auto openHour =
    (nowMinute - kMergeWindowMinutes - kCloseDelayMinutes) / kMinutesPerHour;
  absl::Status result;
  for (const auto& object : *objects) {
    const auto dot = object.name_.find('.');
    int64_t number = 0;
    if (dot == std::string::npos ||
        !ParseNumber(std::string_view(object.name_).substr(dot + 1), number)) {
      continue;
    }
    bool expired = number < today - kSloPeriodDays - 1;
    if (object.name_.starts_with("hour.")) {
      if (number >= openHour) {
        continue;
      }
      const auto merged = MergeHourIntoDay(
        object.name_, number, object.value_, aNowMs, aDeadlineMs);
      result.Update(merged);
      expired = merged.ok() && number < openHour - detail::kHourRetentionHours;
    }
    if (expired) {
      result.Update(store_.Delete(kSloKind, object.name_, object.version_));
    }
  }
  return result;
}

absl::StatusOr<SloBlock> SloArchive::ReadCached(const std::string& aName)
{
  {
    const std::lock_guard lock(mutex_);
    const auto found = immutableDays_.find(aName);
    if (found != immutableDays_.end()) {
      return found->second;
    }
  }
  int64_t version = 0;
  auto block = Read(aName, version);
  if (block.ok()) {
    const std::lock_guard lock(mutex_);
    immutableDays_[aName] = *block;
  }
  return block;
}

absl::StatusOr<SloHistory> SloArchive::Load(int64_t aNowMs)
{
  const auto nowMinute = detail::MinuteOf(aNowMs);
  const auto today = nowMinute / kMinutesPerDay;
  SloHistory history;
  for (auto day = today - kSloPeriodDays; day <= today; ++day) {
    const auto name = detail::DayName(day);
    int64_t version = 0;
    // Hours are deleted two days after they ended, so older days no longer
    // change.
    const auto block = day < today - 2 ? ReadCached(name) : Read(name, version);
    if (!block.ok()) {
      return block.status();
    }
    for (const auto& [slot, counts] : block->slots_) {
      history.hours_[slot] = counts.Total();
    }
  }
  const auto hour = nowMinute / kMinutesPerHour;
  for (auto number = hour - detail::kMinuteHistoryHours; number <= hour;
       ++number) {
    int64_t version = 0;
    const auto block = Read(detail::HourName(number), version);
    if (!block.ok()) {
      return block.status();
    }
    history.savedMs_ = std::max(history.savedMs_, block->savedMs_);
    for (const auto& [slot, counts] : block->slots_) {
      history.minutes_[slot] = counts.Total();
    }
    if (!block->slots_.empty()) {
      history.hours_[number * kMinutesPerHour] = block->Total();
    }
  }
  return history;
}

absl::StatusOr<int64_t> SloArchive::CurrentHourVersion(int64_t aNowMs)
{
  const auto hour = detail::MinuteOf(aNowMs) / kMinutesPerHour;
  const auto object = store_.Get(kSloKind, detail::HourName(hour));
  if (absl::IsNotFound(object.status())) {
    return kMustNotExist;
  }
  return object.ok() ? absl::StatusOr<int64_t>(object->version_)
                     : object.status();
}

}

#include "ConfigEditor.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

bool IsTransient(const absl::Status& aStatus)
{
  return absl::IsUnavailable(aStatus) || absl::IsUnknown(aStatus) ||
         absl::IsDeadlineExceeded(aStatus);
}

}

ConfigEditor::ConfigEditor(ObjectStore& aStore,
                           const Clock& aClock,
                           UnixClock aUnixClock,
                           std::string aWriter)
  : store_(aStore)
  , clock_(aClock)
  , unixClock_(std::move(aUnixClock))
  , writer_(std::move(aWriter))
{
}

absl::StatusOr<StoredDocument> ConfigEditor::Read()
{
  // Loaded before the read, since another thread may write a newer version
  // during it.
  const int64_t largest = largestVersion_.load();
  const auto object = store_.Get(kConfigKind, kConfigName);
  StoredDocument stored;
  if (object.ok()) {
    Findings findings;
    auto document = ParseFleetDocument(object->value_, findings);
    if (!document) {
      return absl::InvalidArgumentError(findings.ToText());
    }
    stored = { std::move(*document), object->version_ };
  } else if (!absl::IsNotFound(object.status())) {
    return object.status();
  }
  const int64_t version = stored.document_.version_;
  if (version < largest) {
    return absl::FailedPreconditionError(
      Concat("the store returned configuration version ",
             version,
             ", but version ",
             largest,
             " was in force before"));
  }
  ObserveVersion(version);
  return stored;
}

void ConfigEditor::ObserveVersion(int64_t aVersion)
{
  int64_t largest = largestVersion_.load();
  while (largest < aVersion &&
         !largestVersion_.compare_exchange_weak(largest, aVersion)) {
  }
}

std::string ConfigEditor::MakeChangeId(int64_t aNumber) const
{
  return Concat(writer_, "/", aNumber);
}

void ConfigEditor::WaitBeforeRetry(TimeMs aDeadlineMs) const
{
  // Random, so that editors that failed at the same time do not retry at the
  // same time.
  constexpr TimeMs kMinPauseMs = 5;
  constexpr TimeMs kMaxPauseMs = 40;
  thread_local std::minstd_rand random{ std::random_device{}() };
  const auto pause =
    std::uniform_int_distribution<TimeMs>(kMinPauseMs, kMaxPauseMs)(random);
  const auto left = std::max<TimeMs>(aDeadlineMs - clock_.NowMs(), 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(std::min(pause, left)));
}

ChangeResult ConfigEditor::MakeConflictResult(const FleetDocument& aDocument,
                                              const ConfigChange& aChange,
                                              bool aMayBeWritten) const
{
  ChangeResult result;
  result.id_ = aChange.id_;
  result.version_ = aDocument.version_;
  std::ranges::copy_if(aDocument.changes_,
                       std::back_inserter(result.since_),
                       [&](const ChangeRecord& aRecord) {
                         return aRecord.version_ > aChange.baseVersion_;
                       });
  result.isTruncated_ = aDocument.version_ - aChange.baseVersion_ >
                        static_cast<int64_t>(result.since_.size());
  // If a write of the change had an unknown outcome, the missing id proves that
  // it failed only when the recorded ids reach back to the base version.
  result.outcome_ = aMayBeWritten && result.isTruncated_
                      ? ChangeOutcome::Unknown
                      : ChangeOutcome::Conflict;
  result.error_ = Concat("based on version ",
                         aChange.baseVersion_,
                         ", but the newest is ",
                         aDocument.version_);
  return result;
}

ChangeResult ConfigEditor::Submit(ConfigChange aChange, TimeMs aDeadlineMs)
{
  const int64_t number = ++changeCount_;
  if (aChange.id_.empty()) {
    aChange.id_ = MakeChangeId(number);
  }
  const UnixMs nowMs = unixClock_();
  ChangeResult result;
  result.id_ = aChange.id_;
  bool mayBeWritten = false;
  for (; clock_.NowMs() < aDeadlineMs; WaitBeforeRetry(aDeadlineMs)) {
    const auto stored = Read();
    if (!stored.ok()) {
      result.error_ = std::string(ToStd(stored.status().message()));
      if (detail::IsTransient(stored.status())) {
        continue;
      }
      result.findings_.Add("store", "config/fleet", "", result.error_);
      result.outcome_ =
        mayBeWritten ? ChangeOutcome::Unknown : ChangeOutcome::Invalid;
      return result;
    }
    const auto& document = stored->document_;
    result.version_ = document.version_;
    if (const auto* record = document.FindChange(aChange.id_)) {
      result.outcome_ = ChangeOutcome::Accepted;
      result.version_ = record->version_;
      return result;
    }
    if (document.version_ != aChange.baseVersion_) {
      return MakeConflictResult(document, aChange, mayBeWritten);
    }
    auto next = ApplyChange(document, aChange, nowMs, result.findings_);
    if (!next) {
      result.outcome_ = ChangeOutcome::Invalid;
      return result;
    }
    next->writer_ = writer_;
    next->changeNumber_ = number;
    const auto text = WriteJson(ToJson(*next));
    if (text.size() > kMaxDocumentBytes) {
      result.findings_.Add("document",
                           "size",
                           Concat(text.size()),
                           Concat("at most ", kMaxDocumentBytes, " B"));
      result.outcome_ = ChangeOutcome::Invalid;
      return result;
    }
    // Every attempt expects the same store version. A write that is still in
    // transit after its response was lost therefore fails once another write
    // has succeeded.
    const auto put =
      store_.Put(kConfigKind, kConfigName, stored->storeVersion_, text);
    if (put.ok()) {
      ObserveVersion(next->version_);
      result.outcome_ = ChangeOutcome::Accepted;
      result.version_ = next->version_;
      return result;
    }
    result.error_ = std::string(ToStd(put.status().message()));
    mayBeWritten = mayBeWritten || absl::IsUnknown(put.status()) ||
                   absl::IsDeadlineExceeded(put.status());
    if (!detail::IsTransient(put.status()) &&
        !absl::IsFailedPrecondition(put.status())) {
      break;
    }
  }
  result.outcome_ =
    mayBeWritten ? ChangeOutcome::Unknown : ChangeOutcome::Unavailable;
  return result;
}

}

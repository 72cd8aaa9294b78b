#include "gateway/StoreWatcher.hpp"

#include "common/NameCheck.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Delay between the first change of a burst and the next watch, which then
/// returns the rest of the burst in one call. Well below the 2 s within which
/// changes must be in force.
constexpr TimeMs kBatchDelayMs = 200;
constexpr TimeMs kMinBackoffMs = 100;
constexpr TimeMs kMaxBackoffMs = 800;
/// Delay from a list that was cut short to the next one. Its pages cost calls.
constexpr TimeMs kRelistMs = 5000;
/// Malformed responses to a watch after which the objects are listed instead.
constexpr int kMaxMalformedWatches = 3;

bool IsRestored(const StoreResponse& aResponse)
{
  return aResponse.status_ == StoreStatus::Restored;
}

}

std::vector<ObjectEvent> LatestEventPerObject(
  const std::vector<ObjectEvent>& aEvents)
{
  std::set<std::string_view> seen;
  std::vector<ObjectEvent> latest;
  std::copy_if(aEvents.rbegin(),
               aEvents.rend(),
               std::back_inserter(latest),
               [&](const ObjectEvent& aEvent) {
                 return seen.insert(aEvent.object_.name_).second;
               });
  std::ranges::reverse(latest);
  return latest;
}

StoreWatcher::StoreWatcher(EventLoop& aLoop,
                           EventLog& aLog,
                           StoreClient& aStore,
                           std::string aKind,
                           TimeMs aWaitMs,
                           ResumeMode aResumeMode,
                           bool aActive,
                           Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , store_(aStore)
  , kind_(std::move(aKind))
  , waitMs_(aWaitMs)
  , resumeMode_(aResumeMode)
  , handlers_(std::move(aHandlers))
  , retryTimer_(aLoop,
                [this] {
                  if (synced_) {
                    WatchOn();
                  } else if (cursor_) {
                    ReadPage();
                  } else {
                    List(mode_);
                  }
                })
  , active_(aActive)
{
}

void StoreWatcher::Start()
{
  List(ReadMode::AllowStale);
}

void StoreWatcher::Relist()
{
  if (!active_ && synced_) {
    List(ReadMode::AllowStale);
  }
}

void StoreWatcher::SetActive(bool aActive)
{
  if (active_ == aActive) {
    return;
  }
  active_ = aActive;
  if (!aActive && synced_) {
    ++generation_;
    retryTimer_.Stop();
  } else if (aActive) {
    synced_ = IsInSync() && resumeMode_ == ResumeMode::Watch;
    const bool readsFurtherPages = cursor_ && cursor_->Pages() > 0;
    if (!readsFurtherPages) {
      Refresh();
    }
  }
}

void StoreWatcher::OnRestored()
{
  if (!everListed_ && !synced_) {
    // The first list is pending or will be retried.
    return;
  }
  synced_ = false;
  revision_ = 0;
  if (active_) {
    Refresh();
  }
}

void StoreWatcher::Refresh()
{
  if (!active_ && synced_) {
    return;
  }
  retryTimer_.Stop();
  if (IsInSync()) {
    Watch();
  } else {
    List(ReadMode::Latest);
  }
}

void StoreWatcher::List(ReadMode aMode)
{
  mode_ = aMode;
  synced_ = false;
  cursor_.emplace(loop_.NowMs());
  handlers_.onListBegins_();
  ReadPage();
}

void StoreWatcher::ReadPage()
{
  const auto generation = ++generation_;
  store_.Call(store_.Protocol().List(kind_, cursor_->After(), mode_),
              [this, generation](StoreResponse aResponse) {
                if (generation == generation_) {
                  OnPage(std::move(aResponse));
                }
              });
}

void StoreWatcher::OnPage(StoreResponse aResponse)
{
  if (aResponse.status_ != StoreStatus::Ok || !aResponse.list_.hasItems_) {
    OnPageFailed(aResponse);
    return;
  }
  failures_ = 0;
  const auto step = cursor_->OnPage(aResponse.list_, loop_.NowMs());
  auto& objects = aResponse.list_.items_;
  std::ranges::for_each(objects,
                        [this](const auto& aObject) { ReportFault(aObject); });
  std::erase_if(objects, [](const auto& aObject) { return !IsNamed(aObject); });
  handlers_.onPage_(objects);
  if (step == ListStep::ReadPage) {
    ReadPage();
  } else {
    EndList(step);
  }
}

void StoreWatcher::OnPageFailed(const StoreResponse& aResponse)
{
  if (detail::IsRestored(aResponse)) {
    // The pages so far are of the state before the restore.
    cursor_.reset();
    RetryLater();
    return;
  }
  const auto step = cursor_->OnFailure(loop_.NowMs());
  if (step == ListStep::ReadPage) {
    RetryLater();
  } else {
    EndList(step);
  }
}

void StoreWatcher::EndList(ListStep aStep)
{
  synced_ = true;
  complete_ = aStep == ListStep::Complete;
  everListed_ = everListed_ || complete_;
  // Only events show what changes behind the cut, so none is passed over.
  const bool replays = !complete_ && revision_ != 0;
  revision_ =
    replays ? std::min(revision_, cursor_->Revision()) : cursor_->Revision();
  listEndedMs_ = loop_.NowMs();
  malformedWatches_ = 0;
  ReportList();
  cursor_.reset();
  handlers_.onListEnds_(complete_);
  Watch();
}

void StoreWatcher::ReportList()
{
  if (std::exchange(reportedCut_, cursor_->Cut()) == cursor_->Cut()) {
    return;
  }
  log_.Write(complete_ ? LogLevel::Info : LogLevel::Warning,
             complete_ ? "store-list-complete" : "store-list-cut-short",
             { { "kind", kind_ },
               { "reason", EnumName(cursor_->Cut()) },
               { "pages", cursor_->Pages() },
               { "after", cursor_->After().substr(0, kMaxNameBytes) } });
}

void StoreWatcher::ReportFault(const StoreObject& aObject)
{
  const auto name = aObject.name_.substr(0, kMaxNameBytes);
  if (aObject.fault_ != ObjectFault::None &&
      reportedFaults_.Passes(name, loop_.NowMs())) {
    log_.Write(LogLevel::Warning,
               "store-entry-unreadable",
               { { "kind", kind_ },
                 { "name", name },
                 { "reason", EnumName(aObject.fault_) },
                 { "revision", RevisionNumber(aObject.revision_) } });
  }
}

void StoreWatcher::Watch()
{
  if (!active_) {
    return;
  }
  const auto generation = ++generation_;
  store_.Call(store_.Protocol().Watch(kind_, revision_, waitMs_),
              [this, generation](StoreResponse aResponse) {
                if (generation == generation_) {
                  OnWatched(std::move(aResponse));
                }
              });
}

void StoreWatcher::OnWatched(StoreResponse aResponse)
{
  if (aResponse.status_ == StoreStatus::HistoryCompacted ||
      detail::IsRestored(aResponse)) {
    log_.Write(LogLevel::Info,
               "history-gone",
               { { "kind", kind_ },
                 { "revision", RevisionNumber(revision_) },
                 { "era", RevisionEra(revision_) } });
    revision_ = 0;
    List(ReadMode::Latest);
    return;
  }
  const bool isOk = aResponse.status_ == StoreStatus::Ok;
  auto& events = aResponse.list_.events_;
  // A watch from the same revision returns the same events again.
  const bool isStuck =
    !events.empty() && aResponse.list_.revision_ <= revision_;
  if (aResponse.isMalformed_ ||
      (isOk && (isStuck || !aResponse.list_.hasEvents_))) {
    OnMalformedWatch();
    return;
  }
  if (!isOk) {
    RetryLater();
    return;
  }
  failures_ = 0;
  malformedWatches_ = 0;
  revision_ = std::max(revision_, aResponse.list_.revision_);
  if (events.empty()) {
    WatchOn();
    return;
  }
  std::ranges::for_each(
    events, [this](const auto& aEvent) { ReportFault(aEvent.object_); });
  std::erase_if(events,
                [](const auto& aEvent) { return !IsNamed(aEvent.object_); });
  if (!events.empty()) {
    handlers_.onEvents_(events);
  }
  retryTimer_.Start(detail::kBatchDelayMs);
}

void StoreWatcher::OnMalformedWatch()
{
  if (++malformedWatches_ < detail::kMaxMalformedWatches) {
    RetryLater();
    return;
  }
  // The list shows the state behind the events that cannot be read.
  malformedWatches_ = 0;
  const auto malformedFrom = std::exchange(revision_, 0);
  if (reportedWatches_.Passes({}, loop_.NowMs())) {
    log_.Write(
      LogLevel::Warning,
      "store-watch-malformed",
      { { "kind", kind_ }, { "revision", RevisionNumber(malformedFrom) } });
  }
  List(ReadMode::Latest);
}

void StoreWatcher::WatchOn()
{
  const bool isRelistDue =
    !complete_ && loop_.NowMs() - listEndedMs_ >= detail::kRelistMs;
  if (active_ && isRelistDue) {
    List(ReadMode::Latest);
  } else {
    Watch();
  }
}

TimeMs StoreWatcher::BackoffMs()
{
  const TimeMs limitMs = std::min(
    detail::kMaxBackoffMs, detail::kMinBackoffMs << std::min(failures_, 4));
  return limitMs / 2 + store_.Jitter(limitMs / 2);
}

void StoreWatcher::RetryLater()
{
  ++failures_;
  retryTimer_.Start(BackoffMs());
}

}

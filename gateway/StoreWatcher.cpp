#include "gateway/StoreWatcher.hpp"

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
  : log_(aLog)
  , store_(aStore)
  , kind_(std::move(aKind))
  , waitMs_(aWaitMs)
  , resumeMode_(aResumeMode)
  , handlers_(std::move(aHandlers))
  , retryTimer_(aLoop,
                [this] {
                  if (synced_) {
                    Watch();
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
    synced_ = synced_ && resumeMode_ == ResumeMode::Watch;
    Refresh();
  }
}

void StoreWatcher::OnRestored()
{
  if (!everListed_) {
    // The first list is pending or will be retried.
    return;
  }
  synced_ = false;
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
  if (synced_) {
    Watch();
  } else {
    List(ReadMode::Latest);
  }
}

void StoreWatcher::List(ReadMode aMode)
{
  const auto generation = ++generation_;
  mode_ = aMode;
  listed_.clear();
  listRevision_ = 0;
  store_.Call(store_.Protocol().List(kind_, {}, aMode),
              [this, generation](const StoreResponse& aResponse) {
                if (generation == generation_) {
                  OnListed(aResponse);
                }
              });
}

void StoreWatcher::OnListed(const StoreResponse& aResponse)
{
  if (aResponse.status_ != StoreStatus::Ok) {
    RetryLater();
    return;
  }
  // Changes made while several pages are listed arrive with the watch.
  if (listRevision_ == 0) {
    listRevision_ = aResponse.list_.revision_;
  }
  std::ranges::copy_if(
    aResponse.list_.items_, std::back_inserter(listed_), IsNamed);
  if (aResponse.list_.hasMore_ && !listed_.empty()) {
    const auto generation = generation_;
    store_.Call(store_.Protocol().List(kind_, listed_.back().name_, mode_),
                [this, generation](const StoreResponse& aPage) {
                  if (generation == generation_) {
                    OnListed(aPage);
                  }
                });
    return;
  }
  failures_ = 0;
  synced_ = true;
  everListed_ = true;
  revision_ = listRevision_;
  const auto listed = std::exchange(listed_, {});
  handlers_.onList_(listed);
  Watch();
}

void StoreWatcher::Watch()
{
  if (!active_) {
    return;
  }
  const auto generation = ++generation_;
  store_.Call(store_.Protocol().Watch(kind_, revision_, waitMs_),
              [this, generation](const StoreResponse& aResponse) {
                if (generation == generation_) {
                  OnWatched(aResponse);
                }
              });
}

void StoreWatcher::OnWatched(const StoreResponse& aResponse)
{
  if (aResponse.status_ == StoreStatus::HistoryCompacted ||
      aResponse.status_ == StoreStatus::Restored) {
    log_.Write(LogLevel::Info,
               "history-gone",
               { { "kind", kind_ },
                 { "revision", RevisionNumber(revision_) },
                 { "era", RevisionEra(revision_) } });
    synced_ = false;
    List(ReadMode::Latest);
    return;
  }
  if (aResponse.status_ != StoreStatus::Ok) {
    RetryLater();
    return;
  }
  failures_ = 0;
  revision_ = std::max(revision_, aResponse.list_.revision_);
  std::vector<ObjectEvent> events;
  std::ranges::copy_if(
    aResponse.list_.events_,
    std::back_inserter(events),
    [](const auto& aEvent) { return IsNamed(aEvent.object_); });
  if (!events.empty()) {
    handlers_.onEvents_(events);
  }
  if (aResponse.list_.events_.empty()) {
    Watch();
  } else {
    retryTimer_.Start(detail::kBatchDelayMs);
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

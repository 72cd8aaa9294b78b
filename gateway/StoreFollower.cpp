#include "gateway/StoreFollower.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Changes come in bursts; what follows the first is fetched in one call. Well
/// below the 2 s in which changes must be in force.
constexpr TimeMs kGatherMs = 200;
constexpr TimeMs kMinBackoffMs = 100;
constexpr TimeMs kMaxBackoffMs = 800;

}

std::vector<ObjectEvent> LatestEvents(const std::vector<ObjectEvent>& aEvents)
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

StoreFollower::StoreFollower(EventLoop& aLoop,
                             EventLog& aLog,
                             StoreLink& aStore,
                             std::string aKind,
                             TimeMs aWaitMs,
                             Resume aResume,
                             bool aActive,
                             Handlers aHandlers)
  : log_(aLog)
  , store_(aStore)
  , kind_(std::move(aKind))
  , waitMs_(aWaitMs)
  , resume_(aResume)
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

void StoreFollower::Start()
{
  List(ReadMode::MayBeOld);
}

void StoreFollower::ReadAgain()
{
  if (!active_ && synced_) {
    List(ReadMode::MayBeOld);
  }
}

void StoreFollower::SetActive(bool aActive)
{
  if (active_ == aActive) {
    return;
  }
  active_ = aActive;
  if (!aActive && synced_) {
    ++round_;
    retryTimer_.Stop();
  } else if (aActive) {
    synced_ = synced_ && resume_ == Resume::Watch;
    Refresh();
  }
}

void StoreFollower::Refresh()
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

void StoreFollower::List(ReadMode aMode)
{
  const auto round = ++round_;
  mode_ = aMode;
  listed_.clear();
  listRevision_ = 0;
  store_.Call(store_.Protocol().List(kind_, {}, aMode),
              [this, round](const StoreAnswer& aAnswer) {
                if (round == round_) {
                  OnListed(aAnswer);
                }
              });
}

void StoreFollower::OnListed(const StoreAnswer& aAnswer)
{
  if (aAnswer.status_ != StoreStatus::Ok) {
    RetryLater();
    return;
  }
  // Changes during a list of several pages follow in the watch.
  if (listRevision_ == 0) {
    listRevision_ = aAnswer.list_.revision_;
  }
  std::ranges::copy(aAnswer.list_.items_, std::back_inserter(listed_));
  if (aAnswer.list_.hasMore_ && !listed_.empty()) {
    const auto round = round_;
    store_.Call(store_.Protocol().List(kind_, listed_.back().name_, mode_),
                [this, round](const StoreAnswer& aPage) {
                  if (round == round_) {
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

void StoreFollower::Watch()
{
  if (!active_) {
    return;
  }
  const auto round = ++round_;
  store_.Call(store_.Protocol().Watch(kind_, revision_, waitMs_),
              [this, round](const StoreAnswer& aAnswer) {
                if (round == round_) {
                  OnWatched(aAnswer);
                }
              });
}

void StoreFollower::OnWatched(const StoreAnswer& aAnswer)
{
  if (aAnswer.status_ == StoreStatus::HistoryGone) {
    log_.Write(LogLevel::Info,
               "history-gone",
               { { "kind", kind_ }, { "revision", revision_ } });
    synced_ = false;
    List(ReadMode::Latest);
    return;
  }
  if (aAnswer.status_ != StoreStatus::Ok) {
    RetryLater();
    return;
  }
  failures_ = 0;
  revision_ = std::max(revision_, aAnswer.list_.revision_);
  if (aAnswer.list_.events_.empty()) {
    Watch();
  } else {
    handlers_.onEvents_(aAnswer.list_.events_);
    retryTimer_.Start(detail::kGatherMs);
  }
}

TimeMs StoreFollower::BackoffMs()
{
  const TimeMs limitMs = std::min(
    detail::kMaxBackoffMs, detail::kMinBackoffMs << std::min(failures_, 4));
  return limitMs / 2 + store_.Jitter(limitMs / 2);
}

void StoreFollower::RetryLater()
{
  ++failures_;
  retryTimer_.Start(BackoffMs());
}

}

#include "VersionedObjects.hpp"

#include <algorithm>
#include <chrono>

namespace cactuspitch {

namespace detail {

/// Longest lag with which past states can be read.
constexpr TimeMs kHistoryRetentionMs = 120000;
/// Waits for lagged states are polled, since no notification is sent when a
/// state becomes visible.
constexpr TimeMs kLagPollMs = 10;

}

VersionedObjects::VersionedObjects(const Clock& aClock)
  : clock_(aClock)
{
}

std::optional<ObjectRevision> VersionedObjects::Get(const std::string& aKind,
                                                    const std::string& aName,
                                                    TimeMs aLagMs) const
{
  const std::lock_guard lock(mutex_);
  const auto kind = kinds_.find(aKind);
  if (kind == kinds_.end()) {
    return std::nullopt;
  }
  const auto object = kind->second.find(aName);
  if (object == kind->second.end()) {
    return std::nullopt;
  }
  const auto* state = StateAt(object->second, clock_.NowMs() - aLagMs);
  return state && state->value_ ? std::optional(*state) : std::nullopt;
}

std::vector<ObjectRevision> VersionedObjects::ChangesSince(
  const std::string& aKind,
  int64_t aSince,
  TimeMs aLagMs) const
{
  const std::lock_guard lock(mutex_);
  return ChangesLocked(aKind, aSince, aLagMs);
}

std::vector<ObjectRevision> VersionedObjects::WaitForChanges(
  const std::string& aKind,
  int64_t aSince,
  TimeMs aLagMs,
  TimeMs aWaitMs) const
{
  std::unique_lock lock(mutex_);
  const TimeMs end = clock_.NowMs() + aWaitMs;
  while (true) {
    auto changes = ChangesLocked(aKind, aSince, aLagMs);
    const TimeMs left = end - clock_.NowMs();
    if (!changes.empty() || left <= 0 || closed_) {
      return changes;
    }
    const TimeMs step = aLagMs > 0 ? std::min(left, detail::kLagPollMs) : left;
    changed_.wait_for(lock, std::chrono::milliseconds(step));
  }
}

bool VersionedObjects::Write(const std::string& aKind,
                             const std::string& aName,
                             const ExpectedVersion& aExpected,
                             std::optional<std::string> aValue,
                             int64_t& aVersion)
{
  {
    const std::lock_guard lock(mutex_);
    auto& history = kinds_[aKind][aName];
    const bool exists = !history.empty() && history.back().value_;
    const int64_t current = exists ? history.back().revision_ : 0;
    if (aExpected && *aExpected != current) {
      aVersion = current;
      return false;
    }
    const TimeMs now = clock_.NowMs();
    history.push_back({ aName, ++revision_, now, std::move(aValue) });
    // Keeps the newest state from before the retention time, since it is the
    // one that a read with the longest lag returns.
    const auto firstKept =
      std::ranges::find_if(history, [now](const auto& aState) {
        return aState.writtenMs_ > now - detail::kHistoryRetentionMs;
      });
    if (firstKept - history.begin() > 1) {
      history.erase(history.begin(), firstKept - 1);
    }
    aVersion = revision_;
  }
  changed_.notify_all();
  return true;
}

void VersionedObjects::Close()
{
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }
  changed_.notify_all();
}

std::vector<ObjectRevision> VersionedObjects::ChangesLocked(
  const std::string& aKind,
  int64_t aSince,
  TimeMs aLagMs) const
{
  std::vector<ObjectRevision> changes;
  const auto kind = kinds_.find(aKind);
  if (kind == kinds_.end()) {
    return changes;
  }
  const TimeMs time = clock_.NowMs() - aLagMs;
  for (const auto& [name, history] : kind->second) {
    const auto* state = StateAt(history, time);
    if (state && state->revision_ > aSince && (state->value_ || aSince > 0)) {
      changes.push_back(*state);
    }
  }
  return changes;
}

const ObjectRevision* VersionedObjects::StateAt(const History& aHistory,
                                                TimeMs aTime) const
{
  const auto later =
    std::ranges::upper_bound(aHistory, aTime, {}, &ObjectRevision::writtenMs_);
  return later == aHistory.begin() ? nullptr : &*(later - 1);
}

}

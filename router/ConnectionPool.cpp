#include "ConnectionPool.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace cactuspitch {

ConnectionPool::ConnectionPool(const Clock& aClock, std::string aAddress)
  : clock_(aClock)
  , address_(std::move(aAddress))
  , silenceLimitMs_(detector_.SilenceLimitMs())
{
}

ConnectionPool::Pointer ConnectionPool::TakeIdle(TimeMs aNowMs,
                                                 TimeMs aMaxIdleMs)
{
  while (!idle_.empty()) {
    // The most recently used connection is the least likely to be closed.
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (aNowMs - connection->lastUsedMs_ <= aMaxIdleMs) {
      return connection;
    }
    Discard(*connection);
  }
  return nullptr;
}

ConnectionPool::Pointer ConnectionPool::Acquire(uint64_t aFingerprint,
                                                TimeMs aDeadlineMs,
                                                TimeMs aMaxIdleMs)
{
  std::unique_lock lock(mutex_);
  while (true) {
    const TimeMs now = clock_.NowMs();
    auto connection = TakeIdle(now, aMaxIdleMs);
    const bool isNew = !connection && open_ < limit_;
    if (isNew) {
      ++open_;
      connection = std::make_unique<PooledConnection>(clock_, address_);
      connection->id_ = detector_.Open(now);
    }
    if (connection) {
      connection->fingerprint_ = aFingerprint;
      connection->responseRecorded_ = false;
      inFlight_.push_back(aFingerprint);
      detector_.OnSend(connection->id_, now);
      lock.unlock();
      if (isNew || connection->http_.IsReusable()) {
        return connection;
      }
      lock.lock();
      EraseInFlight(aFingerprint);
      Discard(*connection);
      continue;
    }
    if (now >= aDeadlineMs) {
      return nullptr;
    }
    ++waiting_;
    released_.wait_for(lock, std::chrono::milliseconds(aDeadlineMs - now));
    --waiting_;
  }
}

void ConnectionPool::Release(Pointer aConnection, const ReleaseInfo& aInfo)
{
  // Acquire() checks the socket, so only the state of the exchange is checked.
  const bool complete = aConnection->http_.IsComplete();
  if (!complete) {
    aConnection->http_.Close();
  }
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (aInfo.answered_) {
      RecordResponseLocked(*aConnection);
    }
    if (!aInfo.keepInFlight_) {
      EraseInFlight(aConnection->fingerprint_);
    }
    if (complete && open_ <= limit_) {
      aConnection->lastUsedMs_ = clock_.NowMs();
      idle_.push_back(std::move(aConnection));
    } else {
      Discard(*aConnection);
    }
    wake = waiting_ > 0;
  }
  if (wake) {
    released_.notify_one();
  }
}

void ConnectionPool::Discard(const PooledConnection& aConnection)
{
  detector_.Close(aConnection.id_);
  --open_;
}

void ConnectionPool::RecordResponseLocked(PooledConnection& aConnection)
{
  if (aConnection.responseRecorded_) {
    return;
  }
  aConnection.responseRecorded_ = true;
  detector_.OnResponse(aConnection.id_, clock_.NowMs());
  silenceLimitMs_.store(detector_.SilenceLimitMs(), std::memory_order_relaxed);
}

void ConnectionPool::RecordSend(const PooledConnection& aConnection)
{
  const std::lock_guard lock(mutex_);
  detector_.OnSend(aConnection.id_, clock_.NowMs());
}

void ConnectionPool::RecordResponse(PooledConnection& aConnection)
{
  const std::lock_guard lock(mutex_);
  RecordResponseLocked(aConnection);
}

bool ConnectionPool::IsSilent(const PooledConnection& aConnection) const
{
  const std::lock_guard lock(mutex_);
  return detector_.IsSilent(aConnection.id_, clock_.NowMs());
}

void ConnectionPool::EraseInFlight(uint64_t aFingerprint)
{
  const auto found = std::ranges::find(inFlight_, aFingerprint);
  if (found != inFlight_.end()) {
    *found = inFlight_.back();
    inFlight_.pop_back();
  }
}

void ConnectionPool::RemoveInFlight(uint64_t aFingerprint)
{
  const std::lock_guard lock(mutex_);
  EraseInFlight(aFingerprint);
}

int ConnectionPool::InFlight() const
{
  const std::lock_guard lock(mutex_);
  return static_cast<int>(inFlight_.size());
}

std::vector<uint64_t> ConnectionPool::TakeCrashSuspects(uint64_t aIncarnation)
{
  const std::lock_guard lock(mutex_);
  if (reportedIncarnation_ == aIncarnation) {
    return {};
  }
  reportedIncarnation_ = aIncarnation;
  // Concurrent copies of one request count as one suspect.
  auto requests = inFlight_;
  std::ranges::sort(requests);
  requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
  return requests;
}

template<typename Predicate>
void ConnectionPool::CloseIdle(Predicate&& aPredicate)
{
  std::vector<Pointer> closed;
  {
    const std::lock_guard lock(mutex_);
    const auto kept = std::stable_partition(
      idle_.begin(), idle_.end(), [&](const auto& aConnection) {
        return !aPredicate(*aConnection);
      });
    std::move(kept, idle_.end(), std::back_inserter(closed));
    idle_.erase(kept, idle_.end());
    std::ranges::for_each(
      closed, [this](const Pointer& aConnection) { Discard(*aConnection); });
  }
  released_.notify_all();
}

void ConnectionPool::CloseIdleOpenedBefore(TimeMs aOpenedMs)
{
  CloseIdle([=](const PooledConnection& aConnection) {
    return aConnection.openedMs_ <= aOpenedMs;
  });
}

void ConnectionPool::CloseIdleUnusedSince(TimeMs aLastUsedMs)
{
  CloseIdle([=](const PooledConnection& aConnection) {
    return aConnection.lastUsedMs_ < aLastUsedMs;
  });
}

void ConnectionPool::SetLimit(int aLimit)
{
  {
    const std::lock_guard lock(mutex_);
    limit_ = std::max(1, aLimit);
  }
  released_.notify_all();
}

int ConnectionPool::OpenConnections() const
{
  const std::lock_guard lock(mutex_);
  return open_;
}

}

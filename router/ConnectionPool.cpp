#include "ConnectionPool.hpp"

#include <algorithm>
#include <chrono>

namespace cactuspitch {

ConnectionPool::ConnectionPool(const Clock& aClock,
                               std::string aAddress,
                               SilenceTracker& aSilence)
  : clock_(aClock)
  , address_(std::move(aAddress))
  , silence_(aSilence)
{
}

std::unique_ptr<PooledConnection> ConnectionPool::Acquire(TimeMs aDeadlineMs,
                                                          TimeMs aMaxIdleMs)
{
  std::unique_lock lock(mutex_);
  while (true) {
    const TimeMs now = clock_.NowMs();
    while (!idle_.empty()) {
      // The connection used last is the least likely to have been closed.
      auto connection = std::move(idle_.back());
      idle_.pop_back();
      if (now - connection->lastUsedMs_ <= aMaxIdleMs &&
          connection->http_.IsReusable()) {
        return connection;
      }
      --open_;
    }
    if (open_ < limit_) {
      ++open_;
      return std::make_unique<PooledConnection>(clock_, address_, silence_);
    }
    if (now >= aDeadlineMs) {
      return nullptr;
    }
    released_.wait_for(lock, std::chrono::milliseconds(aDeadlineMs - now));
  }
}

void ConnectionPool::Release(std::unique_ptr<PooledConnection> aConnection)
{
  const bool reusable = aConnection->http_.IsReusable();
  if (!reusable) {
    aConnection->http_.Close();
  }
  {
    const std::lock_guard lock(mutex_);
    if (reusable && open_ <= limit_) {
      aConnection->lastUsedMs_ = clock_.NowMs();
      idle_.push_back(std::move(aConnection));
    } else {
      --open_;
    }
  }
  released_.notify_one();
}

template<typename Predicate>
void ConnectionPool::CloseIdle(Predicate&& aPredicate)
{
  std::vector<std::unique_ptr<PooledConnection>> closed;
  {
    const std::lock_guard lock(mutex_);
    const auto kept = std::stable_partition(
      idle_.begin(), idle_.end(), [&](const auto& aConnection) {
        return !aPredicate(*aConnection);
      });
    std::move(kept, idle_.end(), std::back_inserter(closed));
    idle_.erase(kept, idle_.end());
    open_ -= static_cast<int>(closed.size());
  }
  if (!closed.empty()) {
    released_.notify_all();
  }
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

int ConnectionPool::Open() const
{
  const std::lock_guard lock(mutex_);
  return open_;
}

}

#pragma once

#include "SilenceTracker.hpp"
#include "common/HttpConnection.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cactuspitch {

/// A connection and what was learned on it. All its exchanges reach the same
/// incarnation of the backend server.
struct PooledConnection
{
  PooledConnection(const Clock& aClock,
                   const std::string& aAddress,
                   SilenceTracker& aSilence)
    : http_(aClock, aAddress)
    , silence_(aSilence)
    , silenceId_(aSilence.Open())
    , openedMs_(aClock.NowMs())
  {
  }
  ~PooledConnection() { silence_.Close(silenceId_); }
  PooledConnection(const PooledConnection&) = delete;
  PooledConnection& operator=(const PooledConnection&) = delete;

  HttpConnection http_;
  SilenceTracker& silence_;
  const SilenceTracker::Id silenceId_;
  TimeMs openedMs_ = 0;
  TimeMs lastUsedMs_ = 0;
  /// Hash of the incarnation, 0 when unknown.
  uint64_t incarnation_ = 0;
  /// Lower bound of (server clock - local clock), valid when clockKnown_.
  TimeMs clockOffsetMs_ = 0;
  bool clockKnown_ = false;
};

/// Reused connections to one backend server under its connection limit.
class ConnectionPool
{
public:
  ConnectionPool(const Clock& aClock,
                 std::string aAddress,
                 SilenceTracker& aSilence);

  /// A reusable connection, or a new one that is not connected yet. Waits for
  /// one while the limit is reached; null at the deadline. Connections idle for
  /// longer than aMaxIdleMs are not reused.
  std::unique_ptr<PooledConnection> Acquire(TimeMs aDeadlineMs,
                                            TimeMs aMaxIdleMs);
  /// Takes the connection back; it is closed unless it can be reused.
  void Release(std::unique_ptr<PooledConnection> aConnection);
  /// Closes idle connections opened at or before aOpenedMs.
  void CloseIdleOpenedBefore(TimeMs aOpenedMs);
  void CloseIdleUnusedSince(TimeMs aLastUsedMs);
  void SetLimit(int aLimit);
  int Open() const;
  const std::string& Address() const { return address_; }

private:
  template<typename Predicate>
  void CloseIdle(Predicate&& aPredicate);

  const Clock& clock_;
  const std::string address_;
  SilenceTracker& silence_;
  mutable std::mutex mutex_;
  std::condition_variable released_;
  std::vector<std::unique_ptr<PooledConnection>> idle_;
  int open_ = 0; ///< idle and in use
  int limit_ = 1;
};

}

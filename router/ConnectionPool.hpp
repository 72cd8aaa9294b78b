#pragma once

#include "common/HttpConnection.hpp"
#include "policy/SilentConnectionDetector.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// A connection and what was learned on it. All its exchanges reach the same
/// incarnation of the backend server.
struct PooledConnection
{
  PooledConnection(const Clock& aClock, const std::string& aAddress)
    : http_(aClock, aAddress)
    , openedMs_(aClock.NowMs())
  {
  }

  HttpConnection http_;
  SilentConnectionDetector::ConnectionId id_ = 0;
  /// Request in flight on the connection.
  uint64_t fingerprint_ = 0;
  TimeMs openedMs_;
  TimeMs lastUsedMs_ = 0;
  /// Hash of the incarnation, 0 when unknown.
  uint64_t incarnation_ = 0;
  /// Lower bound of (server clock - local clock), valid when clockKnown_.
  TimeMs clockOffsetMs_ = 0;
  TimeMs clockReceivedMs_ = 0;
  bool clockKnown_ = false;
  /// The detector knows of the answer.
  bool responseRecorded_ = false;
};

/// How an exchange left its connection.
struct ReleaseInfo
{
  bool answered_ = false;
  /// The process may have crashed: its requests stay listed until
  /// RemoveInFlight().
  bool keepInFlight_ = false;
};

/// Reused connections to one backend server under its connection limit, and
/// the requests in flight on them. One lock when a connection is taken and one
/// when it comes back keep the hot path short.
class ConnectionPool
{
public:
  ConnectionPool(const Clock& aClock, std::string aAddress);

  /// A reusable connection, or a new one that is not connected yet. Waits for
  /// one while the limit is reached; null at the deadline. Connections idle for
  /// longer than aMaxIdleMs are not reused.
  std::unique_ptr<PooledConnection> Acquire(uint64_t aFingerprint,
                                            TimeMs aDeadlineMs,
                                            TimeMs aMaxIdleMs);
  /// Takes the connection back; it is closed unless it can be reused.
  void Release(std::unique_ptr<PooledConnection> aConnection,
               const ReleaseInfo& aInfo);

  // Silent connections, see SilentConnectionDetector.
  void RecordSend(const PooledConnection& aConnection);
  void RecordResponse(PooledConnection& aConnection);
  bool IsSilent(const PooledConnection& aConnection) const;
  TimeMs SilenceLimitMs() const
  {
    return silenceLimitMs_.load(std::memory_order_relaxed);
  }

  // Requests in flight by fingerprint, suspects when the process is lost.
  void RemoveInFlight(uint64_t aFingerprint);
  int InFlight() const;
  /// Requests that were in flight when the incarnation was lost, each once;
  /// empty when its loss was reported before.
  std::vector<uint64_t> TakeCrashSuspects(uint64_t aIncarnation);

  /// Closes idle connections opened at or before aOpenedMs.
  void CloseIdleOpenedBefore(TimeMs aOpenedMs);
  void CloseIdleUnusedSince(TimeMs aLastUsedMs);
  void SetLimit(int aLimit);
  int Open() const;
  const std::string& Address() const { return address_; }

private:
  using Pointer = std::unique_ptr<PooledConnection>;

  template<typename Predicate>
  void CloseIdle(Predicate&& aPredicate);
  Pointer TakeIdle(TimeMs aNowMs, TimeMs aMaxIdleMs);
  void RecordResponseLocked(PooledConnection& aConnection);
  void Discard(const PooledConnection& aConnection);
  void EraseInFlight(uint64_t aFingerprint);

  const Clock& clock_;
  const std::string address_;
  mutable std::mutex mutex_;
  std::condition_variable released_;
  std::vector<Pointer> idle_;
  SilentConnectionDetector detector_;
  /// Read without the lock.
  std::atomic<TimeMs> silenceLimitMs_;
  std::vector<uint64_t> inFlight_;
  std::optional<uint64_t> reportedIncarnation_;
  int open_ = 0; ///< idle and in use
  int limit_ = 1;
  int waiting_ = 0;
};

}

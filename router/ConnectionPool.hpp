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

/// A connection with the incarnation and clock offset read on it. All its
/// exchanges reach the same incarnation of the backend server.
struct PooledConnection
{
  PooledConnection(const Clock& aClock, const std::string& aAddress)
    : http_(aClock, aAddress)
    , openedMs_(aClock.NowMs())
  {
  }

  HttpConnection http_;
  SilentConnectionDetector::ConnectionId id_ = 0;
  /// Fingerprint of the request in flight on the connection.
  uint64_t fingerprint_ = 0;
  TimeMs openedMs_;
  TimeMs lastUsedMs_ = 0;
  /// Hash of the incarnation; 0 when unknown.
  uint64_t incarnation_ = 0;
  /// Lower bound of (server clock - local clock); valid when clockKnown_.
  TimeMs clockOffsetMs_ = 0;
  /// Local time at which the clock header was received.
  TimeMs clockReceivedMs_ = 0;
  bool clockKnown_ = false;
  /// The response was recorded in the SilentConnectionDetector.
  bool responseRecorded_ = false;
};

/// How the exchange on a released connection ended.
struct ReleaseInfo
{
  bool answered_ = false; ///< a response head was received
  /// The server may have crashed: the request stays in the list of requests
  /// in flight until RemoveInFlight().
  bool keepInFlight_ = false;
};

/// Pool of connections to one backend server, up to its connection limit, with
/// the requests in flight on them. A request locks the pool only when it
/// acquires and when it releases its connection, which keeps the hot path
/// short.
class ConnectionPool
{
public:
  ConnectionPool(const Clock& aClock, std::string aAddress);

  /// Returns an idle connection, or a new one that is not connected yet.
  /// Blocks while the connection limit is reached; null when aDeadlineMs
  /// passes. Connections idle for longer than aMaxIdleMs are not reused.
  std::unique_ptr<PooledConnection> Acquire(uint64_t aFingerprint,
                                            TimeMs aDeadlineMs,
                                            TimeMs aMaxIdleMs);
  /// Returns the connection to the pool, or closes it when it cannot be reused.
  void Release(std::unique_ptr<PooledConnection> aConnection,
               const ReleaseInfo& aInfo);

  // Detection of unresponsive connections; see SilentConnectionDetector.
  void RecordSend(const PooledConnection& aConnection);
  void RecordResponse(PooledConnection& aConnection);
  bool IsSilent(const PooledConnection& aConnection) const;
  TimeMs SilenceLimitMs() const
  {
    return silenceLimitMs_.load(std::memory_order_relaxed);
  }

  // Fingerprints of the requests in flight. They are the suspects when the
  // server process crashes.
  void RemoveInFlight(uint64_t aFingerprint);
  int InFlight() const;
  /// Distinct requests in flight when the incarnation crashed. Empty when the
  /// crash of aIncarnation was already reported.
  std::vector<uint64_t> TakeCrashSuspects(uint64_t aIncarnation);

  /// Closes the idle connections opened at or before aOpenedMs.
  void CloseIdleOpenedBefore(TimeMs aOpenedMs);
  /// Closes the idle connections last used before aLastUsedMs.
  void CloseIdleUnusedSince(TimeMs aLastUsedMs);
  void SetLimit(int aLimit);
  /// Number of connections, idle and in use.
  int OpenConnections() const;
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
  /// Copy of the detector's limit that is read without the lock.
  std::atomic<TimeMs> silenceLimitMs_;
  std::vector<uint64_t> inFlight_;
  std::optional<uint64_t> reportedIncarnation_;
  int open_ = 0; ///< idle and in use
  int limit_ = 1;
  int waiting_ = 0;
};

}

#pragma once

#include "AdmissionGate.hpp"
#include "ConnectionPool.hpp"
#include "LatencyHistogram.hpp"
#include "SilenceTracker.hpp"
#include "common/SliceTable.hpp"
#include "config/ServiceRules.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace cactuspitch {

/// What the router knows of one backend server.
class BackendServer
{
public:
  BackendServer(const Clock& aClock, const BackendServerRecord& aRecord);

  const std::string& Id() const { return id_; }
  const std::string& FailureDomain() const { return failureDomain_; }
  ConnectionPool& Pool() { return pool_; }
  LatencyHistogram& Latency() { return latency_; }

  /// Gate of the policy that the rules name; replaced when the rules, the
  /// slots or the number of routers change.
  std::shared_ptr<AdmissionGate> Gate(const ServiceRules& aRules,
                                      const BackendServerRecord& aRecord,
                                      int aRouters);
  /// Gate in use; null before the first request.
  std::shared_ptr<AdmissionGate> CurrentGate() const;

  /// Reads the clock and incarnation headers of an answer received now.
  void OnAnswer(PooledConnection& aConnection, const HttpResponseHead& aHead);
  /// Lower bound of (server clock - local clock); empty when unknown.
  std::optional<TimeMs> ClockOffsetMs() const;
  /// The process that was known is gone; its clock is no longer valid.
  void OnProcessGone();
  uint64_t Incarnation() const
  {
    return incarnation_.load(std::memory_order_relaxed);
  }

  SilenceTracker& Silence() { return silence_; }

  /// True for the first report of the request for one crashed incarnation, so
  /// that several callers of one request count as one crash.
  bool IsNewCrashOf(uint64_t aFingerprint, uint64_t aIncarnation);

  std::atomic<int64_t> requests_ = 0;
  std::atomic<int64_t> refusals_ = 0;
  std::atomic<int64_t> failures_ = 0;
  std::atomic<int> inFlight_ = 0;

private:
  static constexpr TimeMs kClockUnknown = INT64_MIN;

  const Clock& clock_;
  const std::string id_;
  const std::string failureDomain_;
  SilenceTracker silence_;
  ConnectionPool pool_;
  LatencyHistogram latency_;
  std::atomic<uint64_t> incarnation_ = 0;
  std::atomic<TimeMs> clockOffsetMs_ = kClockUnknown;

  mutable std::mutex gateMutex_;
  std::shared_ptr<AdmissionGate> gate_;
  int gateSlots_ = 0;
  int gateRouters_ = 0;
  int64_t gateQueueLimit_ = 0;

  std::mutex crashMutex_;
  uint64_t crashedIncarnation_ = 0;
  absl::flat_hash_set<uint64_t> crashSuspects_;
};

}

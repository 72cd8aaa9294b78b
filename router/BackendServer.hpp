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
#include <vector>

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

  int InFlight() const;
  // Requests in flight by fingerprint, suspects when the process is lost.
  void AddInFlight(uint64_t aFingerprint);
  void RemoveInFlight(uint64_t aFingerprint);
  /// Requests that were in flight when the incarnation was lost; empty when its
  /// loss was reported before.
  std::vector<uint64_t> TakeCrash(uint64_t aIncarnation);

  std::atomic<int64_t> requests_ = 0;
  std::atomic<int64_t> refusals_ = 0;
  std::atomic<int64_t> failures_ = 0;

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

  mutable std::mutex crashMutex_;
  std::optional<uint64_t> crashedIncarnation_;
  std::vector<uint64_t> inFlightRequests_;
};

}

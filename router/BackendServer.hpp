#pragma once

#include "AdmissionController.hpp"
#include "ConnectionPool.hpp"
#include "LatencyHistogram.hpp"
#include "common/GroupTable.hpp"
#include "config/ServiceRules.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cactuspitch {

/// State that the router keeps for one backend server: connections, admission
/// control, latencies, clock offset and counters. Thread-safe.
class BackendServer
{
public:
  BackendServer(const Clock& aClock, const BackendServerRecord& aRecord);

  const std::string& Id() const { return id_; }
  const std::string& Address() const { return pool_.Address(); }
  const std::string& FailureDomain() const { return failureDomain_; }
  ConnectionPool& Pool() { return pool_; }
  LatencyHistogram& Latency() { return latency_; }

  /// Admission controller for these rules. A change of the rules, the slots,
  /// the connection limit or the number of routers selects another one. The
  /// reference stays valid as long as this object.
  AdmissionController& Admission(const ServiceRules& aRules,
                                 const BackendServerRecord& aRecord,
                                 int aRouters);
  /// Admission controller in use; null before the first request.
  AdmissionController* CurrentAdmission() const
  {
    return admission_.load(std::memory_order_acquire);
  }

  /// Reads the clock and incarnation headers of a response that was received
  /// just now.
  void OnResponse(PooledConnection& aConnection, const HttpResponseHead& aHead);
  /// Lower bound of (server clock - local clock) in ms; empty when unknown.
  std::optional<TimeMs> ClockOffsetMs() const;
  /// The server process has exited: discards its clock offset and closes the
  /// idle connections to it.
  void OnProcessExit();
  /// Hash of the incarnation seen last; 0 when none was seen.
  uint64_t Incarnation() const
  {
    return incarnation_.load(std::memory_order_relaxed);
  }

  // Counts since the last load report.
  std::atomic<int64_t> requests_ = 0;
  std::atomic<int64_t> refusals_ = 0;
  std::atomic<int64_t> failures_ = 0;

private:
  std::unique_ptr<AdmissionController> MakeAdmission(
    const ServiceRules& aRules,
    const BackendServerRecord& aRecord,
    int aRouters) const;

  static constexpr TimeMs kClockUnknown = INT64_MIN;

  const Clock& clock_;
  const std::string id_;
  const std::string failureDomain_;
  ConnectionPool pool_;
  LatencyHistogram latency_;
  std::atomic<uint64_t> incarnation_ = 0;
  std::atomic<TimeMs> clockOffsetMs_ = kClockUnknown;

  std::atomic<AdmissionController*> admission_ = nullptr;
  std::atomic<uint64_t> admissionKey_ = 0;
  std::mutex admissionMutex_;
  /// By AdmissionKey(). Controllers of earlier configurations stay, since
  /// requests may still use them.
  std::map<uint64_t, std::unique_ptr<AdmissionController>> admissionByKey_;
};

}

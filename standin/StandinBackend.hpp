#pragma once

#include "BackendGrants.hpp"
#include "BackendLoadReporter.hpp"
#include "ConcurrencyLimiter.hpp"
#include "ExecutionHistory.hpp"
#include "common/Clock.hpp"
#include "common/HttpServer.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace cactuspitch {

struct StandinBackendOptions
{
  std::string id_;
  std::string service_;
  std::string failureDomain_;
  std::string listen_;
  /// Address in the platform's list, where it differs from listen_.
  std::string advertise_;
  std::string store_; ///< empty: not registered
  std::string history_;
  int slots_ = 5;
  int queue_ = 5;
  int connections_ = 100;
  int64_t serviceUs_ = 0;
  TimeMs connectCostMs_ = 1;
  TimeMs coldStartMs_ = 0;
  /// Service time at the start, as a multiple of the warm one.
  double coldFactor_ = 4;
  /// Added to the server's clock, so that its clock differs from all others.
  TimeMs clockOffsetMs_ = 0;
  bool checksFence_ = true;
  /// Runs requests without X-Slice-Epoch too, for a measurement without router.
  bool acceptsDirect_ = false;
  bool keepsHistory_ = true;
};

/// Stand-in for a backend server (docs/design.md, section 7.2). Beyond its
/// protocol it offers:
/// - POST /_fault: {serviceUs, health: {lagMs, lie}} as JSON.
/// - POST /_drain: starts to leave, and says so in the platform's list.
/// - GET /_history, GET /_stats.
/// A request whose path or body contains "poison-marker" ends the process.
class StandinBackend
{
public:
  StandinBackend(const Clock& aClock, StandinBackendOptions aOptions);
  ~StandinBackend();
  StandinBackend(const StandinBackend&) = delete;
  StandinBackend& operator=(const StandinBackend&) = delete;

  absl::Status Start();
  void Stop();

private:
  struct Request;

  void Handle(HttpExchange& aExchange);
  bool HandleControl(HttpExchange& aExchange);
  void HandleGrant(HttpExchange& aExchange);
  void HandleRequest(HttpExchange& aExchange);
  std::optional<NotRunReason> Admit(Request& aRequest);
  std::optional<NotRunReason> RunInSlot(HttpExchange& aExchange,
                                        Request& aRequest);
  /// False when the request was cancelled.
  bool Execute(const Request& aRequest);
  void Respond(HttpExchange& aExchange, const Request& aRequest);
  void Reject(HttpExchange& aExchange, NotRunReason aReason);
  void SendBlob(HttpExchange& aExchange, uint64_t aBytes);
  void Cancel(const std::string& aId);
  void Configure(const nlohmann::json& aDocument);
  nlohmann::json HealthStatus() const;
  std::string Stats() const;
  std::string RegistrationRecord() const;
  HttpHeaders CommonHeaders() const;
  TimeMs NowMs() const { return clock_.NowMs() + options_.clockOffsetMs_; }
  void RunBackgroundLoop();

  const Clock& clock_;
  const StandinBackendOptions options_;
  const std::string incarnation_;
  const TimeMs startMs_;
  BackendGrants grants_;
  BackendLoadReporter loadReporter_;
  ConcurrencyLimiter slots_;
  ExecutionHistory history_;
  std::atomic<int64_t> serviceUs_;
  std::atomic<TimeMs> drainStartMs_ = 0; ///< 0: not draining
  std::atomic<int64_t> executed_ = 0;
  /// New work that came later than a leaving server may get it.
  std::atomic<int64_t> arrivedAfterDrain_ = 0;
  std::array<std::atomic<int64_t>, static_cast<size_t>(NotRunReason::Count)>
    rejected_{};
  std::mutex mutex_;
  std::condition_variable changed_;
  /// Requests in service by id; true when cancelled.
  std::multimap<std::string, bool> executing_;
  bool stopping_ = false;
  HttpServer server_;
  std::thread backgroundThread_;
};

}

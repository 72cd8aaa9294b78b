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

/// Options of the stand-in backend server.
struct StandinBackendOptions
{
  std::string id_;
  std::string service_;
  std::string failureDomain_;
  std::string listen_;
  /// Address to register with the platform; empty: listen_.
  std::string advertise_;
  std::string store_;   ///< address; empty: the server is not registered
  std::string history_; ///< path of the history file; empty: none
  int slots_ = 5;       ///< requests run at once
  int queue_ = 5;       ///< requests that may wait for a slot
  int connections_ = 100;
  int64_t serviceUs_ = 0;
  TimeMs connectCostMs_ = 1; ///< delay of each new connection
  TimeMs coldStartMs_ = 0;   ///< time until the server is warm
  /// Service time at the start, as a multiple of the warm service time.
  double coldFactor_ = 4;
  /// Offset of the server's clock from those of other processes.
  TimeMs clockOffsetMs_ = 0;
  bool checksFence_ = true;
  /// Also runs requests without X-Slice-Epoch, for measurements without a
  /// router.
  bool acceptsDirect_ = false;
  bool keepsHistory_ = true;
};

/// Stand-in for a backend server (docs/design.md, section 7.2). In addition to
/// the protocol it serves:
/// - POST /_fault: {serviceUs, health: {lagMs, lie}} as JSON.
/// - POST /_drain: starts draining and registers the state "leaving".
/// - GET /_history, GET /_stats.
/// A request whose path or body contains "poison-marker" crashes the process.
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
  /// Checks whether the request may run. Returns the reason when it may not.
  std::optional<NotRunReason> Admit(Request& aRequest);
  /// Waits for a slot, then runs the request and sends the response. Returns
  /// the reason when the request wasn't run.
  std::optional<NotRunReason> RunInSlot(HttpExchange& aExchange,
                                        Request& aRequest);
  /// Waits for the service time. Returns false when the request was cancelled.
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
  /// Requests that arrived after the drain time limit.
  std::atomic<int64_t> arrivedAfterDrain_ = 0;
  std::array<std::atomic<int64_t>, static_cast<size_t>(NotRunReason::Count)>
    rejected_{};
  std::mutex mutex_;
  std::condition_variable changed_;
  /// Running requests by request id; the value is true when cancelled.
  std::multimap<std::string, bool> executing_;
  bool stopping_ = false;
  HttpServer server_;
  std::thread backgroundThread_;
};

}

#pragma once

#include "common/Metrics.hpp"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace cactuspitch {

/// Metrics of the requests that a gateway forwards.
class GatewayMetrics
{
public:
  explicit GatewayMetrics(MetricsRegistry& aRegistry);

  void OnRequest(const std::string& aRoute);
  void OnResponse(int aStatus, std::string_view aCause, double aLatencyMs);
  void OnAttempt(std::string_view aEnd);
  /// A server announced that it leaves, or asked for a pause.
  void OnServerNotice(std::string_view aReason, const std::string& aBackend);
  /// A request was rejected because of the server's limit.
  void OnHeldBack(const std::string& aBackend);
  /// The server's request limit and this gateway's equal share of it, in
  /// requests per second; 0 for none.
  void SetLimit(const std::string& aBackend, double aLimit, double aShare);
  /// A step of a slot request, as the gateway that asks or the broker sees it
  /// (aRole). The texts must be literals.
  void OnSlotRequest(std::string_view aRole,
                     std::string_view aVerdict,
                     std::string_view aCause);
  /// A broker sent a request to another failure domain.
  void OnSlotCrossing(const std::string& aDomain);
  void OnInvalidSlotMessages(size_t aCount);
  /// Requests of that rank that wait at the brokers of this gateway.
  void SetSlotsWaiting(int aRank, int aCount);
  void SetSlotsInUse(size_t aCount);
  /// A request was rejected because cold servers of the service had theirs.
  void OnColdRefusal(const std::string& aService);
  void SetColdServers(const std::string& aService, size_t aCount);
  void OnRetry() { retries_.Add(); }
  void OnConnection() { connections_.Add(); }
  Gauge& QueuedRequests() { return queuedRequests_; }
  MetricsRegistry& Registry() { return registry_; }

private:
  MetricsRegistry& registry_;
  Counter& retries_;
  Counter& connections_;
  Gauge& queuedRequests_;
  DurationSummary& latency_;
  std::map<std::string, Counter*, std::less<>> attempts_;
  std::map<std::tuple<std::string_view, std::string_view, std::string_view>,
           Counter*>
    slotRequests_;
  std::map<int, Gauge*> slotsWaiting_;
};

}

#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/CrashDetector.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "gateway/PlatformInterface.hpp"
#include "keyspace/KeyOwnerMap.hpp"
#include "policy/MovingAverages.hpp"
#include "policy/OwnerAdmission.hpp"
#include "policy/Placement.hpp"
#include "policy/PreferredServers.hpp"
#include "policy/RetryBudget.hpp"
#include "routing/RouteTable.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

class ForwardedRequest;

/// Bounds of the deployment that forwarding keeps.
struct ForwardingLimits
{
  double retryRatio_ = 0.2; ///< repeats allowed for each request
  double retryExtra_ = 56;  ///< and beyond that, all gateways together
  std::string failureDomain_;
};

/// Where a request should go now.
struct BackendChoice
{
  PlacementVerdict verdict_ = PlacementVerdict::Refuse;
  BackendPool::BackendPtr backend_;
  size_t maxConnections_ = 1;
  TimeMs retryAfterMs_ = 0;
  std::string_view cause_;
};

/// State that all requests of a gateway share, and the choice of backend
/// servers.
class Forwarder
{
public:
  Forwarder(EventLoop& aLoop,
            EventLog& aLog,
            GatewayMetrics& aMetrics,
            const RequestProtocol& aProtocol,
            ForwardingLimits aLimits,
            CrashDetector::ChangeCallback aOnSuspectsChanged,
            BackendPool::LeavingCallback aOnLeaving);
  ~Forwarder();

  void SetConfig(RoutingConfig aConfig);
  void UpdateBackends(const std::map<std::string, BackendEntry>& aEntries,
                      const std::set<std::string>& aChanged);
  /// Live gateways, this one included; it decides which servers this one
  /// prefers and what share of limits it has.
  void SetGateways(const std::string& aSelf,
                   const std::vector<NodeLocation>& aGateways);
  /// New bounds on repeats of requests.
  void SetRetryLimits(double aRatio, double aExtra);
  /// Looks again at waiting requests: owners or servers have changed.
  void OnRoutingStateChanged() { ScheduleDispatch(); }

  std::shared_ptr<RouteTable> Routes() { return routes_; }
  KeyOwnerMap& Keys() { return keys_; }
  BackendPool& Pool() { return pool_; }
  CrashDetector& Crashes() { return crashes_; }

  BackendChoice ChooseBackend(const ForwardedRequest& aRequest);
  void Enqueue(const std::shared_ptr<ForwardedRequest>& aRequest);
  /// Refuses all waiting requests.
  void RejectQueued(std::string_view aCause);
  /// Counts a request for the retry budget and the load of its key.
  void OnFirstAttempt(const ForwardedRequest& aRequest);
  bool TryTakeRetry(const std::string& aService);
  /// False when the owner of the request's key has more demand than it can run
  /// and this request is not in this gateway's part.
  bool TryAdmit(const ForwardedRequest& aRequest);
  OwnerAdmission& Admission() { return admission_; }
  /// Time to come back that spreads the callers of an overloaded owner.
  TimeMs RandomRetryAfterMs(TimeMs aRemainingMs);
  void OnAttemptEnded() { ScheduleDispatch(); }
  /// A server gave an answer of this size to a request of the route.
  void RecordResponseBytes(const Route& aRoute, size_t aBytes);

  /// Requests of each key since the last call, by service.
  using KeyCounts = std::map<std::string, std::map<uint32_t, int>>;
  KeyCounts TakeKeyCounts();

  EventLoop& Loop() { return loop_; }
  EventLog& Log() { return log_; }
  GatewayMetrics& Metrics() { return metrics_; }
  const RequestProtocol& Protocol() const { return protocol_; }
  const PlacementOptions& Options() const { return options_; }
  size_t ActiveRequests() const { return activeRequests_; }
  void AddActive() { ++activeRequests_; }
  void RemoveActive() { --activeRequests_; }

private:
  BackendChoice ChooseOwner(const ForwardedRequest& aRequest,
                            const ServiceSpec& aService);
  BackendChoice ChooseAny(const ForwardedRequest& aRequest,
                          const ServiceSpec& aService);
  /// Refuses until the first of the paused servers wants requests again.
  void ApplyPause(const std::vector<BackendPool::BackendPtr>& aAll,
                  BackendChoice& aChoice) const;
  /// Adds servers that are not homes: all of a few, else some drawn at random.
  void AddSampledBackends(const std::vector<BackendPool::BackendPtr>& aAll,
                          std::vector<BackendPool::BackendPtr>& aUsable);
  PlacementCandidate MakeCandidate(const Backend& aBackend,
                                   const ForwardedRequest& aRequest,
                                   size_t aMaxConnections) const;
  /// Mean size of the route's answers.
  size_t MeanResponseBytes(const Route& aRoute) const;
  size_t ConnectionShare(const ServiceSpec& aService) const;
  double RetryPercent() const;
  double RetryBurst() const;
  void UpdateRetryBudgets();
  void AssignPreferredBackends();
  void ScheduleDispatch();
  void DispatchQueued();

  EventLoop& loop_;
  EventLog& log_;
  GatewayMetrics& metrics_;
  const RequestProtocol& protocol_;
  ForwardingLimits limits_;
  PlacementOptions options_;
  std::shared_ptr<RouteTable> routes_;
  KeyOwnerMap keys_;
  CrashDetector crashes_;
  BackendPool pool_;
  OwnerAdmission admission_;
  std::map<std::string, RetryBudget> retryBudgets_;
  MovingAverages responseBytes_; ///< by route
  std::string self_;
  std::vector<NodeLocation> gatewayNames_;
  size_t gatewayCount_ = 8;
  size_t activeRequests_ = 0;
  std::list<std::shared_ptr<ForwardedRequest>> queue_;
  bool dispatchScheduled_ = false;
  Timer queueTimer_;
  KeyCounts keyCounts_;
  std::minstd_rand random_;
};

}

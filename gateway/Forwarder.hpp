#pragma once

#include "common/ByteBudget.hpp"
#include "gateway/BackendPool.hpp"
#include "gateway/CrashDetector.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "gateway/PlatformInterface.hpp"
#include "gateway/SlotExchange.hpp"
#include "keyspace/KeyOwnerMap.hpp"
#include "policy/MovingAverages.hpp"
#include "policy/OwnerAdmission.hpp"
#include "policy/Placement.hpp"
#include "policy/PreferredServers.hpp"
#include "policy/RequestLimiter.hpp"
#include "policy/RetryBudget.hpp"
#include "routing/RouteTable.hpp"
#include "scheduling/ColdGuard.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

class ForwardedRequest;

/// Limits of the deployment that apply to forwarding.
struct ForwardingLimits
{
  double retryRatio_ = 0.2; ///< retries allowed per request
  /// Additional retries in 10 s, shared by all gateways.
  double retryExtra_ = 56;
  std::string failureDomain_;
  size_t memoryBytes_ = size_t{ 256 } << 20; ///< limit of this process
  /// Requests to a cold server, relative to what its service is configured for,
  /// and those that may exceed it in one second.
  double coldOvershoot_ = 1;
  double coldSlack_ = 0;
  uint32_t gateway_ = 0; ///< hash of this gateway's name
};

/// Decision where to send a request.
struct BackendChoice
{
  PlacementVerdict verdict_ = PlacementVerdict::Refuse;
  BackendPool::BackendPtr backend_;
  size_t maxConnections_ = 1;
  TimeMs retryAfterMs_ = 0;
  std::string_view cause_;
  int64_t slot_ = 0; ///< slot of the server that the request uses, 0 if none
};

/// State that the requests of a gateway share, and the selection of backend
/// servers.
class Forwarder
{
public:
  Forwarder(EventLoop& aLoop,
            EventLog& aLog,
            GatewayMetrics& aMetrics,
            const RequestProtocol& aProtocol,
            ForwardingLimits aLimits,
            RequestLimiter& aLimiter,
            SlotExchange& aSlots,
            CrashDetector::ChangeCallback aOnSuspectsChanged,
            BackendPool::Handlers aPoolHandlers);
  ~Forwarder();

  void SetConfig(RoutingConfig aConfig);
  void UpdateBackends(const std::map<std::string, BackendEntry>& aEntries,
                      const std::set<std::string>& aChanged);
  /// Sets the live gateways, including this one (aSelf). They determine which
  /// servers this gateway prefers and its share of the limits.
  void SetGateways(const std::string& aSelf,
                   const std::vector<NodeLocation>& aGateways);
  /// Sets the failure domains whose servers are to get no requests.
  void SetEvacuatedDomains(std::set<std::string> aDomains);
  /// Limits of the service's cold servers; {} if there are none.
  ColdLimits ColdLimitsOf(const std::string& aService) const;
  /// Whether any service limits the requests to its cold servers.
  bool LimitsColdServers() const;
  ColdGuard& Cold() { return cold_; }
  /// Replaces the limits on retries.
  void SetRetryLimits(double aRatio, double aExtra);
  /// Schedules a dispatch of the queued requests after key owners or servers
  /// changed.
  void OnRoutingStateChanged() { ScheduleDispatch(); }

  std::shared_ptr<RouteTable> Routes() { return routes_; }
  KeyOwnerMap& Keys() { return keys_; }
  BackendPool& Pool() { return pool_; }
  CrashDetector& Crashes() { return crashes_; }

  BackendChoice ChooseBackend(ForwardedRequest& aRequest);
  SlotClient& Slots() { return slots_.Client(); }
  /// Gives back a slot (0: none) that was not used.
  void ReturnUnused(int64_t aSlot);
  void Enqueue(const std::shared_ptr<ForwardedRequest>& aRequest);
  /// Rejects all queued requests.
  void RejectQueued(std::string_view aCause);
  /// Counts a request for the retry budget and the load of its key.
  void OnFirstAttempt(const ForwardedRequest& aRequest);
  bool TryTakeRetry(const std::string& aService);
  OwnerAdmission& Admission() { return admission_; }
  /// Uses up a permit if the server limits its requests. To be called for each
  /// request that is sent.
  void TakePermit(const Backend& aBackend, bool aHasSlot);
  /// Number that distinguishes the requests of this process.
  uint64_t NextRequestNumber() { return ++requestNumber_; }
  /// Returns a random Retry-After time, which spreads the retries of the
  /// callers of an overloaded owner.
  TimeMs RandomRetryAfterMs(TimeMs aRemainingMs);
  void OnAttemptEnded() { ScheduleDispatch(); }
  /// Records the size of a server's response to a request of the route.
  void RecordResponseBytes(const Route& aRoute, size_t aBytes);

  /// Number of requests per key since the last call, by service.
  using KeyCounts = std::map<std::string, std::map<uint32_t, int>>;
  KeyCounts TakeKeyCounts();

  /// The process exits at aExitMs: attempts that cannot complete by then are
  /// not started.
  void SetExit(TimeMs aExitMs) { exitMs_ = aExitMs; }
  TimeMs ExitMs() const { return exitMs_; }
  /// From now on, requests that were not forwarded yet are rejected.
  void StartStopping() { stopping_ = true; }
  bool IsStopping() const { return stopping_; }

  const std::shared_ptr<ByteBudget>& RequestBudget() { return requestBudget_; }
  const std::shared_ptr<ByteBudget>& ResponseBudget()
  {
    return responseBudget_;
  }
  /// Limit of the response bytes that are buffered for one request; above it,
  /// the response is streamed, and reading from its server pauses.
  size_t MaxBufferedBytes() const;
  /// The same for a response that waits until those before it were sent. It is
  /// read beyond MaxBufferedBytes(), so that its server becomes free.
  size_t MaxWaitingBytes() const;

  EventLoop& Loop() { return loop_; }
  EventLog& Log() { return log_; }
  GatewayMetrics& Metrics() { return metrics_; }
  const RequestProtocol& Protocol() const { return protocol_; }
  const PlacementOptions& Options() const { return options_; }
  size_t ActiveRequests() const { return activeRequests_; }
  void AddActive() { ++activeRequests_; }
  void RemoveActive() { --activeRequests_; }

private:
  /// Returns false when the owner of the request's key has more demand than
  /// capacity and the request exceeds this gateway's share of it.
  bool TryAdmit(const ForwardedRequest& aRequest);
  /// Decision of the broker that schedules the slots of the servers; nullopt
  /// if the gateway has to decide without one.
  std::optional<BackendChoice> ChooseBySlot(const ForwardedRequest& aRequest,
                                            const ServiceSpec& aService);
  SlotRequest MakeSlotRequest(const ForwardedRequest& aRequest,
                              const Backend* aOwner) const;
  /// Sends the request to the assigned server if that can take it.
  std::optional<BackendChoice> UseSlot(const SlotDecision& aDecision,
                                       const Backend* aOwner,
                                       const ServiceSpec& aService,
                                       const std::string& aName);
  /// Owner of the request's key, if it can get requests.
  BackendPool::BackendPtr ReadyOwner(const ForwardedRequest& aRequest) const;
  BackendChoice ChooseOwner(const ForwardedRequest& aRequest,
                            const ServiceSpec& aService);
  /// Makes the request wait for a permit, or refuses it, if the chosen owner
  /// limits its requests.
  void RequirePermit(const ForwardedRequest& aRequest, BackendChoice& aChoice);
  BackendChoice ChooseAny(const ForwardedRequest& aRequest,
                          const ServiceSpec& aService);
  /// If servers are paused, makes the rejection last until the first pause
  /// ends.
  void ApplyPause(const std::vector<BackendPool::BackendPtr>& aAll,
                  BackendChoice& aChoice) const;
  /// The same if all servers that could get requests have reached their limits.
  void ApplyLimits(const std::vector<BackendPool::BackendPtr>& aAll,
                   BackendChoice& aChoice);
  /// Whether the server's limit lets it get a request without a key.
  PermitDecision CheckPermit(const Backend& aBackend);
  /// Whether the server is warm, or may get another request while it is cold.
  /// Not to be asked for requests that a broker has assigned.
  bool MaySendCold(const Backend& aBackend, TimeMs aNowMs);
  /// Refuses the request if the chosen owner is cold and had its requests.
  void CheckColdOwner(const ForwardedRequest& aRequest, BackendChoice& aChoice);
  /// If servers that could get requests are cold, makes the rejection last
  /// until one of them may get another.
  void ApplyCold(const std::vector<BackendPool::BackendPtr>& aAll,
                 BackendChoice& aChoice);
  /// Whether the server may get a request without a key, now or once the leader
  /// has issued a permit.
  bool IsSelectable(const Backend& aBackend, TimeMs aNowMs);
  /// Adds servers that are not preferred: all of them if they are few, else a
  /// random sample.
  void AddSampledBackends(const std::vector<BackendPool::BackendPtr>& aAll,
                          std::vector<BackendPool::BackendPtr>& aUsable);
  PlacementCandidate MakeCandidate(const Backend& aBackend,
                                   const ForwardedRequest& aRequest,
                                   size_t aMaxConnections) const;
  /// Mean response size of the route, in bytes.
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
  RequestLimiter& limiter_;
  SlotExchange& slots_;
  ColdGuard cold_;
  std::shared_ptr<ByteBudget> requestBudget_;
  std::shared_ptr<ByteBudget> responseBudget_;
  TimeMs exitMs_ = INT64_MAX;
  bool stopping_ = false;
  uint64_t requestNumber_ = 0;
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

#pragma once

#include "gateway/BackendConnection.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "policy/FleetLoadTable.hpp"
#include "policy/MovingAverages.hpp"
#include "policy/RequestLimiter.hpp"
#include "routing/RoutingConfig.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Notified when attempts end and when backend servers fail or are removed.
class BackendObserver
{
public:
  virtual ~BackendObserver() = default;
  virtual void OnAttemptFinished(const std::shared_ptr<Backend>& aBackend,
                                 const AttemptCrashInfo& aCrashInfo,
                                 AttemptOutcome aOutcome) = 0;
  /// A connection to the server could not be established.
  virtual void OnBackendDown(const Backend& aBackend) = 0;
  /// The registration of this incarnation of the server was removed or
  /// superseded.
  virtual void OnBackendRemoved(const Backend& aBackend) = 0;
};

/// The registered backend servers and the connections to them.
class BackendPool
{
public:
  using BackendPtr = std::shared_ptr<Backend>;
  struct Handlers
  {
    /// Called once for each server that announced that it leaves.
    std::function<void(const BackendEntry& aEntry)> onLeaving_;
    /// An answer of the server changed its request limit.
    std::function<void(const BackendEntry& aEntry, LimitChange aChange)>
      onLimitChanged_;
    /// An attempt that used a slot has ended.
    std::function<void(int64_t aSlot, const AttemptReport& aReport)>
      onSlotFreed_;
    /// The server said in an answer that it remains cold for aRemainingMs.
    std::function<void(const BackendEntry& aEntry, TimeMs aRemainingMs)>
      onCold_;
  };

  BackendPool(EventLoop& aLoop,
              EventLog& aLog,
              GatewayMetrics& aMetrics,
              const RequestProtocol& aProtocol,
              BackendObserver& aObserver,
              RequestLimiter& aLimiter,
              Handlers aHandlers);
  ~BackendPool();

  /// Applies the entries of the servers in aChanged. A server without an entry
  /// is removed.
  void Update(const std::map<std::string, BackendEntry>& aEntries,
              const std::set<std::string>& aChanged);
  /// Sets the failure domains whose servers are to get no requests.
  void SetEvacuatedDomains(std::set<std::string> aDomains);
  /// Whether all servers of the service are in evacuated failure domains.
  bool IsEvacuated(const std::string& aService) const;
  BackendPtr Find(const std::string& aId) const;
  /// The registered server whose id has that ShortHash().
  BackendPtr FindHash(uint32_t aHash) const;
  /// The registered server with that BackendEntry::IncarnationHash().
  BackendPtr FindIncarnation(uint32_t aHash) const;
  const std::vector<BackendPtr>& OfService(const std::string& aService) const;
  const std::map<std::string, std::vector<BackendPtr>>& Services() const
  {
    return byService_;
  }
  /// Returns a connection for one request, or null when aMaxConnections is
  /// reached. Reuses only connections that were idle for at most aMaxIdleMs and
  /// did not carry the same request before: a faulty server may repeat its
  /// earlier answer, which the request's id would not tell from the new one.
  std::shared_ptr<BackendConnection> Acquire(const BackendPtr& aBackend,
                                             size_t aMaxConnections,
                                             TimeMs aMaxIdleMs,
                                             std::string_view aRequestId);
  /// Closes connections that are about to reach the idle timeout of their
  /// server.
  void CloseIdle();
  /// Returns the loads that servers have reported since the last call.
  std::vector<FleetLoadEntry> TakeLoadReports();
  void ApplySharedLoad(const FleetLoadEntry& aEntry);
  double MeanServiceTimeMs(const std::string& aService) const;
  int64_t ConnectionsOpened() const { return opened_; }

private:
  friend class BackendConnection;

  BackendPtr NewBackend(const BackendEntry& aEntry);
  void ApplyState(const BackendEntry& aEntry, Backend& aBackend) const;
  void Add(const BackendPtr& aBackend);
  void Remove(const BackendPtr& aBackend);
  /// Marks a server as ended because a later one has its address. Registrations
  /// outlive their servers by some seconds.
  void Supersede(const BackendPtr& aBackend);
  void OnConnectFailed(Backend& aBackend, std::string_view aCause);
  void OnLeaving(Backend& aBackend);
  void OnPaused(Backend& aBackend, TimeMs aPauseMs);
  void OnMalformedPause(Backend& aBackend);
  /// The server named a limit, or none, in the answer to a request that was
  /// sent at aSentMs.
  void OnLimitNamed(Backend& aBackend,
                    std::optional<double> aLimit,
                    TimeMs aSentMs);
  void OnMalformedLimit(Backend& aBackend, std::string_view aText);
  void OnMalformedLoad(Backend& aBackend, std::string_view aText);
  void OnCold(const Backend& aBackend, TimeMs aRemainingMs);
  void OnMalformedColdTime(Backend& aBackend, std::string_view aText);
  void CloseIdleOf(Backend& aBackend);
  void RecordServiceTime(const Backend& aBackend, double aLatencyMs);
  void Release(const std::shared_ptr<BackendConnection>& aConnection,
               bool aReusable);

  EventLoop& loop_;
  EventLog& log_;
  GatewayMetrics& metrics_;
  const RequestProtocol& protocol_;
  BackendObserver& observer_;
  RequestLimiter& limiter_;
  Handlers handlers_;
  std::map<std::string, BackendPtr> backends_;
  std::map<std::string, std::vector<BackendPtr>> byService_;
  std::unordered_map<uint32_t, BackendPtr> byHash_;
  std::unordered_map<uint32_t, BackendPtr> byIncarnation_;
  /// The server that started last at each address.
  std::unordered_map<std::string, BackendPtr> byAddress_;
  std::set<std::string> evacuatedDomains_;
  MovingAverages serviceTimeMs_;
  int64_t opened_ = 0;
  std::minstd_rand random_;
};

}

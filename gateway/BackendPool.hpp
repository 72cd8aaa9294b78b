#pragma once

#include "gateway/BackendConnection.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "policy/FleetLoadTable.hpp"
#include "policy/MovingAverages.hpp"
#include "routing/RoutingConfig.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Told of what becomes of attempts and backend servers.
class BackendObserver
{
public:
  virtual ~BackendObserver() = default;
  virtual void OnAttemptFinished(const std::shared_ptr<Backend>& aBackend,
                                 const AttemptCrashInfo& aTag,
                                 AttemptOutcome aOutcome) = 0;
  /// The server does not take connections any more.
  virtual void OnBackendDown(const Backend& aBackend) = 0;
  /// The registration of this life of the server is gone.
  virtual void OnBackendRemoved(const Backend& aBackend) = 0;
};

/// Backend servers and the connections to them.
class BackendPool
{
public:
  using BackendPtr = std::shared_ptr<Backend>;
  /// Told once of each server that said that it leaves.
  using LeavingCallback = std::function<void(const BackendEntry& aEntry)>;

  BackendPool(EventLoop& aLoop,
              EventLog& aLog,
              GatewayMetrics& aMetrics,
              const RequestProtocol& aProtocol,
              BackendObserver& aObserver,
              LeavingCallback aOnLeaving);
  ~BackendPool();

  /// Takes over the entries of the named servers; one without entry is gone.
  void Update(const std::map<std::string, BackendEntry>& aEntries,
              const std::set<std::string>& aChanged);
  BackendPtr Find(const std::string& aId) const;
  const std::vector<BackendPtr>& OfService(const std::string& aService) const;
  const std::map<std::string, std::vector<BackendPtr>>& Services() const
  {
    return byService_;
  }
  /// Connection for one request, or null when the limit is reached.
  std::shared_ptr<BackendConnection> Acquire(const BackendPtr& aBackend,
                                             size_t aMaxConnections,
                                             TimeMs aMaxIdleMs);
  /// Closes connections that were idle too long.
  void CloseIdle();
  /// Loads that servers have reported since the last call.
  std::vector<FleetLoadEntry> TakeLoadReports();
  void ApplySharedLoad(const FleetLoadEntry& aEntry);
  double MeanServiceTimeMs(const std::string& aService) const;
  int64_t ConnectionsOpened() const { return opened_; }

private:
  friend class BackendConnection;

  BackendPtr NewBackend(const BackendEntry& aEntry);
  void Add(const BackendPtr& aBackend);
  void Remove(const BackendPtr& aBackend);
  /// The server has ended: registrations outlive their servers by some seconds.
  void Supersede(const BackendPtr& aBackend);
  void OnConnectFailed(Backend& aBackend, std::string_view aCause);
  void OnLeaving(Backend& aBackend);
  void OnPaused(Backend& aBackend, TimeMs aPauseMs);
  void OnMalformedPause(Backend& aBackend);
  void CloseIdleOf(Backend& aBackend);
  void RecordServiceTime(const Backend& aBackend, double aLatencyMs);
  void Release(const std::shared_ptr<BackendConnection>& aConnection,
               bool aReusable);

  EventLoop& loop_;
  EventLog& log_;
  GatewayMetrics& metrics_;
  const RequestProtocol& protocol_;
  BackendObserver& observer_;
  LeavingCallback onLeaving_;
  std::map<std::string, BackendPtr> backends_;
  std::map<std::string, std::vector<BackendPtr>> byService_;
  std::unordered_map<uint32_t, BackendPtr> byHash_;
  /// The last life at each address.
  std::unordered_map<std::string, BackendPtr> byAddress_;
  MovingAverages serviceTimeMs_;
  int64_t opened_ = 0;
  std::minstd_rand random_;
};

}

#pragma once

#include "common/Findings.hpp"
#include "common/RepeatFilter.hpp"
#include "gateway/CallerConnection.hpp"
#include "gateway/EvacuationWatch.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/Forwarder.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "gateway/GatewaySettings.hpp"
#include "gateway/GossipAgent.hpp"
#include "gateway/KeyCoordinator.hpp"
#include "gateway/LeaderElection.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/PlatformInterface.hpp"
#include "gateway/SlotExchange.hpp"
#include "gateway/StatusServer.hpp"
#include "gateway/StoreClient.hpp"
#include "gateway/StoreRelay.hpp"
#include "gateway/StoreWatcher.hpp"
#include "membership/BackendDirectory.hpp"
#include "net/EventLoop.hpp"
#include "net/HttpClient.hpp"

#include <functional>
#include <optional>
#include <string>

namespace cactuspitch {

/// One gateway process: forwards callers' requests, watches configuration and
/// registrations in the store, and assigns keys while it is the elected leader.
class Gateway
{
public:
  /// Reads the settings again. Returns nullopt when there are findings.
  using SettingsReader =
    std::function<std::optional<GatewaySettings>(Findings&)>;

  Gateway(EventLoop& aLoop,
          EventLog& aLog,
          GatewaySettings aSettings,
          PlatformInterface aPlatform,
          SettingsReader aReadSettings);

  /// Returns false when the process cannot listen on one of its addresses.
  bool Start();

private:
  void StartWatchers();
  void OnConfigObjects(const std::vector<StoreObject>& aObjects);
  void OnConfigEvents(const std::vector<ObjectEvent>& aEvents);
  /// aCompressed is the compressed form, if another gateway sent it; otherwise
  /// empty.
  void OnConfigObject(const StoreObject& aObject, std::string aCompressed = {});
  void ProbeStore();
  void FetchConfig();
  void OnBackendPage(const std::vector<StoreObject>& aObjects);
  void OnBackendListEnd(bool aComplete);
  void OnBackendEvents(const std::vector<ObjectEvent>& aEvents);
  void OnGatewayObject(const StoreObject& aObject);
  std::optional<BackendEntry> DecodeBackend(const StoreObject& aObject);
  /// The store was restored from an older copy.
  void OnStoreRestored();
  void OnEvacuationsChanged(const EvacuationSet::Domains& aEnded,
                            bool aFromStore);
  /// A server told in an answer that it is cold.
  void OnCold(const BackendEntry& aEntry, TimeMs aRemainingMs);
  /// Requests per second that the server takes from all gateways together.
  double RequestLimitOf(const BackendEntry& aEntry) const;
  void ReportColdServers();
  /// A server announced that it leaves.
  void OnLeaving(const std::string& aBackend, int64_t aStartTimeMs);
  /// A backend server's response to a command.
  void OnCommandNotice(const CommandSender::Notice& aNotice);
  /// An answer of a backend server changed its request limit.
  void OnLimitChanged(uint32_t aIncarnation, LimitChange aChange);
  /// Which gateway issues the permits for servers with a request limit.
  RequestLimiter::FleetView PermitIssuerView() const;
  void SchedulePermitRequests();
  void OnBackendsChanged();
  void ApplyBackendChanges();
  void Register();
  /// Reads the key owners from the store while no leader sends them.
  void ReadKeyTable();
  /// Lists the gateways in the store again while the leader names some that
  /// this gateway does not know.
  void ReadMembers();
  void OnKeyTable(const StoreObject& aObject);

  /// Metrics for scrapers; directory and configuration for other gateways.
  StatusServer::Page StatusPage(const std::string& aTarget);
  bool HasDirectory() const;
  /// True once no further servers are to be expected soon.
  bool KnowsBackends() const;
  bool IsReady() const;
  std::string MetricsText();
  void Housekeep();
  void Reload();
  void LogSettings(std::string_view aEvent, const GatewaySettings& aSettings);
  void BeginDrain();
  void OnDrainTimer();
  void Exit();

  EventLoop& loop_;
  EventLog& log_;
  GatewaySettings settings_;
  PlatformInterface platform_;
  SettingsReader readSettings_;
  int64_t bootId_;
  MetricsRegistry registry_;
  GatewayMetrics metrics_;
  HttpClient client_;
  StoreClient store_;
  RequestLimiter limiter_;
  SlotExchange slots_;
  Forwarder forwarder_;
  LimitGossip limits_;
  CallerListener callers_;
  StatusServer readyServer_;
  StatusServer metricsServer_;
  PeerMesh mesh_;
  BackendDirectory directory_;
  StoreWatcher configWatcher_;
  StoreWatcher backendWatcher_;
  StoreWatcher gatewayWatcher_;
  EvacuationWatch evacuations_;
  LeaderElection election_;
  FleetLoadTable fleetLoads_;
  KeyCoordinator coordinator_;
  StoreRelay relay_;
  GossipAgent gossip_;
  Timer changesTimer_;
  Timer housekeepTimer_;
  Timer registerTimer_;
  Timer drainTimer_;
  SignalWatcher sigtermWatcher_;
  SignalWatcher sigintWatcher_;
  SignalWatcher sighupWatcher_;
  int64_t configVersion_ = 0;
  std::string compressedConfig_; ///< sent to gateways that request it
  bool fetchingConfig_ = false;
  bool permitRequestsDue_ = false; ///< they are sent at the end of this turn
  bool relayedDirectory_ = false;  ///< another gateway sent all registrations
  /// A list of the servers was cut short, which leaves some unknown.
  bool hasPartialDirectory_ = false;
  std::vector<BackendEntry> listedBackends_; ///< so far by the current list
  RepeatFilter reportedBackends_; ///< unreadable registrations, by name
  RepeatFilter reportedKeyTable_; ///< unreadable, without a name
  TimeMs startedMs_ = 0;
  uint64_t housekeepingRounds_ = 0;
  bool wasReady_ = false;
  bool readingKeyTable_ = false;
  TimeMs keyTableReadMs_ = 0;
  TimeMs membersReadMs_ = 0;
  TimeMs changesAppliedMs_ = 0;
  TimeMs drainStartMs_ = 0; ///< when SIGTERM or SIGINT arrived; 0 before
};

}

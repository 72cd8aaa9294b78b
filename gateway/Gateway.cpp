#include "gateway/Gateway.hpp"

#include "common/JsonField.hpp"
#include "common/JsonText.hpp"
#include "common/NameCheck.hpp"
#include "common/Strings.hpp"
#include "gateway/Compression.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr const char* kGatewayKind = "cactuspitch";
constexpr std::string_view kInstancePrefix = "instance.";
constexpr TimeMs kHousekeepingIntervalMs = 100;
/// Timeouts of watches (long polls). Each response costs a store call. The
/// watch of the configuration also shows each second that the store is
/// reachable.
constexpr TimeMs kConfigWatchTimeoutMs = 1000;
constexpr TimeMs kWatchTimeoutMs = 5000;
constexpr TimeMs kRegisterRetryIntervalMs = 500;
constexpr TimeMs kDrainIntervalMs = 50;
/// The load balancer removes a process after two health checks, a second apart.
constexpr TimeMs kBalancerRemovalMs = 2300;
/// Minimum time of a drain: after it the process exits once no request and no
/// caller's connection is left.
constexpr TimeMs kMinDrainMs = 3000;
/// Requests that are not forwarded within this time after the signal are
/// rejected: their callers have to go elsewhere, and no time would be left for
/// their responses. Shorter if the grace period is.
constexpr TimeMs kLastForwardMs = 3000;
/// Requests in progress are ended this long before the end of the grace period,
/// when the process would be killed.
constexpr TimeMs kGraceMarginMs = 250;
/// Time for the last responses to be written.
constexpr TimeMs kLastWriteMs = 100;
/// Requests that are still queued this long before the end of the grace period
/// are rejected, so that the callers get a response in time to retry elsewhere.
constexpr TimeMs kRejectQueuedMarginMs = 750;
/// Changes of registrations are batched for this time: when a failure domain is
/// replaced, hundreds arrive within seconds, and each batch recomputes the
/// preferred servers.
constexpr TimeMs kChangesIntervalMs = 50;
/// Intervals in rounds of housekeeping; 5 s between the reports of dropped log
/// lines.
constexpr uint64_t kLogReportRounds = 50;
constexpr uint64_t kGatewayListRounds = 5;
/// 300 ms, because idle connections are to be closed 1.5 s before their servers
/// close them.
constexpr uint64_t kCloseIdleRounds = 3;
/// Interval at which the key owners are read from the store while no gossip of
/// a leader arrives.
constexpr TimeMs kKeyTableReadIntervalMs = 2000;
/// Interval at which a gateway of a large fleet lists all gateways again while
/// the leader names some that it does not know.
constexpr TimeMs kMembersReadIntervalMs = 1000;

/// Time in which a starting gateway receives the directory of another one, if
/// its own list of the servers was cut short: gossip and two calls.
constexpr TimeMs kDirectoryWaitMs = 2500;

int64_t NewBootId()
{
  std::random_device device;
  const auto high = static_cast<uint64_t>(device()) << 31;
  return static_cast<int64_t>((high ^ device()) | 1);
}

}

Gateway::Gateway(EventLoop& aLoop,
                 EventLog& aLog,
                 GatewaySettings aSettings,
                 PlatformInterface aPlatform,
                 SettingsReader aReadSettings)
  : loop_(aLoop)
  , log_(aLog)
  , settings_(std::move(aSettings))
  , platform_(aPlatform)
  , readSettings_(std::move(aReadSettings))
  , bootId_(detail::NewBootId())
  , metrics_(registry_)
  , client_(aLoop)
  , store_(aLoop, aLog, client_, platform_.objects_, settings_.store_)
  , limiter_({ [this] { return PermitIssuerView(); },
               [this] { SchedulePermitRequests(); } },
             std::random_device{}())
  , slots_(aLoop,
           aLog,
           metrics_,
           mesh_,
           settings_.instance_,
           settings_.failureDomain_,
           settings_.cpuPercent_,
           settings_.crossing_,
           { [this] { return gossip_.MakeBriefGossip(); },
             [this] { forwarder_.OnRoutingStateChanged(); },
             [this](const std::string& aService) {
               return configVersion_ == 0
                        ? std::nullopt
                        : std::optional(forwarder_.ColdLimitsOf(aService));
             },
             [this](const std::string& aDomain) {
               return evacuations_.IsEvacuated(aDomain);
             } })
  , forwarder_(aLoop,
               aLog,
               metrics_,
               platform_.requests_,
               { settings_.retryRatio_,
                 settings_.retryExtra_,
                 settings_.failureDomain_,
                 settings_.memoryBytes_,
                 settings_.coldOvershoot_,
                 settings_.coldSlack_,
                 ShortHash(settings_.instance_) },
               limiter_,
               slots_,
               [this] { gossip_.OnSuspectsChanged(); },
               { [this](const BackendEntry& aEntry) {
                  OnLeaving(aEntry.id_, aEntry.startTimeMs_);
                },
                 [this](const BackendEntry& aEntry, LimitChange aChange) {
                   OnLimitChanged(aEntry.IncarnationHash(), aChange);
                 },
                 [this](int64_t aSlot, const AttemptReport& aReport) {
                   slots_.Client().Return(aSlot,
                                          aReport.outcome_,
                                          aReport.latencyMs_,
                                          aReport.load_);
                 },
                 [this](const BackendEntry& aEntry, TimeMs aRemainingMs) {
                   OnCold(aEntry, aRemainingMs);
                 } })
  , limits_(aLoop, aLog, metrics_, limiter_, forwarder_.Pool())
  , callers_(aLoop, forwarder_)
  , readyServer_(aLoop,
                 [this](const std::string&) {
                   return StatusServer::Page{ IsReady() ? 200 : 503, {} };
                 })
  , metricsServer_(
      aLoop,
      [this](const std::string& aTarget) { return StatusPage(aTarget); })
  , mesh_(
      aLoop,
      aLog,
      settings_.instance_,
      settings_.failureDomain_,
      [this](const wire::Gossip& aGossip,
             const Endpoint& aOrigin,
             const Endpoint& aSender) {
        gossip_.OnReceived(aGossip, aOrigin, aSender);
      },
      [this] { return configVersion_; })
  , directory_(settings_.backendDrainMs_)
  , configWatcher_(aLoop,
                   aLog,
                   store_,
                   platform_.registry_.ConfigKind(),
                   detail::kConfigWatchTimeoutMs,
                   ResumeMode::Watch,
                   false,
                   { [] {},
                     [this](const std::vector<StoreObject>& aObjects) {
                       OnConfigObjects(aObjects);
                     },
                     [this](bool aComplete) {
                       if (!aComplete) {
                         FetchConfig();
                       }
                     },
                     [this](const std::vector<ObjectEvent>& aEvents) {
                       OnConfigEvents(aEvents);
                     } })
  , backendWatcher_(aLoop,
                    aLog,
                    store_,
                    platform_.registry_.BackendKind(),
                    detail::kWatchTimeoutMs,
                    ResumeMode::List,
                    false,
                    { [this] { listedBackends_.clear(); },
                      [this](const std::vector<StoreObject>& aObjects) {
                        OnBackendPage(aObjects);
                      },
                      [this](bool aComplete) { OnBackendListEnd(aComplete); },
                      [this](const std::vector<ObjectEvent>& aEvents) {
                        OnBackendEvents(aEvents);
                      } })
  , gatewayWatcher_(aLoop,
                    aLog,
                    store_,
                    detail::kGatewayKind,
                    detail::kWatchTimeoutMs,
                    ResumeMode::Watch,
                    false,
                    { [] {},
                      [this](const std::vector<StoreObject>& aObjects) {
                        std::ranges::for_each(aObjects,
                                              [this](const auto& aObject) {
                                                OnGatewayObject(aObject);
                                              });
                      },
                      [this](bool) { gossip_.Announce(); },
                      [this](const std::vector<ObjectEvent>& aEvents) {
                        for (const auto& event : aEvents) {
                          if (!event.removed_) {
                            OnGatewayObject(event.object_);
                          }
                        }
                      } })
  , evacuations_(
      aLoop,
      aLog,
      store_,
      registry_,
      platform_.registry_.EvacuationKind(),
      settings_.evacuationMs_ > 0,
      { [this](const EvacuationSet::Domains& aEnded, bool aFromStore) {
         OnEvacuationsChanged(aEnded, aFromStore);
       },
        [this](const std::string& aDomain) {
          return std::ranges::any_of(
            directory_.Entries(), [&](const auto& aEntry) {
              return aEntry.second.failureDomain_ == aDomain;
            });
        } })
  , election_(aLoop,
              aLog,
              store_,
              mesh_,
              { settings_.instance_, bootId_ },
              settings_.cpuPercent_,
              &UnixNowMs,
              { [this](int64_t aTerm) {
                 limiter_.ResetIssuer();
                 coordinator_.Start(aTerm);
                 gossip_.OnLeadershipChanged();
               },
                [this] {
                  coordinator_.Stop();
                  gossip_.OnLeadershipChanged();
                },
                [this] { coordinator_.OnEarlierLeadersEnded(); } })
  , coordinator_(
      aLoop,
      aLog,
      store_,
      client_,
      platform_.commands_,
      fleetLoads_,
      settings_.maxHoldMs_,
      { [this] { return election_.MaySendCommands(); },
        [this](TimeMs aSinceMs) {
          return election_.AllowedGrantScope(aSinceMs);
        },
        [this](TimeMs aSinceMs) { election_.RequireConfirmation(aSinceMs); },
        [this] { gossip_.OnKeysChanged(); },
        [this](std::string_view aCause) { election_.Resign(aCause); },
        [this] { election_.OnFenceRejected(); },
        [this](const CommandSender::Notice& aNotice) {
          OnCommandNotice(aNotice);
        },
        [this](const std::string& aService)
          -> const std::vector<KeyOwnerMap::Range>& {
          return forwarder_.Keys().Ranges(aService);
        },
        [this](const BackendEntry& aEntry) { return RequestLimitOf(aEntry); },
        [this](const std::string& aDomain) {
          return evacuations_.IsEvacuated(aDomain);
        } })
  , relay_(aLoop,
           aLog,
           client_,
           store_,
           mesh_,
           election_,
           directory_,
           settings_.instance_,
           settings_.cpuPercent_,
           { [this](bool aConfig, bool aAll) {
              configWatcher_.SetActive(aConfig);
              backendWatcher_.SetActive(aAll);
              gatewayWatcher_.SetActive(aAll);
              evacuations_.SetActive(aAll);
            },
             [this](const DirectorySnapshot& aSnapshot) {
               relayedDirectory_ = true;
               directory_.Replace(aSnapshot, loop_.NowMs());
               directory_.AdvanceTo(aSnapshot.revision_);
               OnBackendsChanged();
             },
             [this](const BackendEntry& aEntry) {
               directory_.ApplyPut(aEntry, loop_.NowMs(), false);
               OnBackendsChanged();
             },
             [this](const RemovedBackend& aRemoved) {
               directory_.ApplyToldRemoval(aRemoved.id_,
                                           aRemoved.graceMs_,
                                           loop_.NowMs(),
                                           aRemoved.revision_);
               OnBackendsChanged();
             },
             [this](int64_t aRevision) { directory_.AdvanceTo(aRevision); },
             [this](const RemovedBackend& aRemoved) {
               directory_.ConfirmRemoved(
                 aRemoved.id_, loop_.NowMs(), aRemoved.revision_);
               OnBackendsChanged();
             },
             [this](const nlohmann::json& aSpec, std::string aCompressed) {
               StoreObject object;
               object.name_ = platform_.registry_.ConfigName();
               object.spec_ = aSpec;
               OnConfigObject(object, std::move(aCompressed));
             },
             [this] { return configVersion_; },
             [this] { return HasDirectory(); },
             [this] { return backendWatcher_.IsCutShort(); },
             [this] { ProbeStore(); },
             [this] { FetchConfig(); } })
  , gossip_(aLoop,
            { settings_.instance_,
              settings_.failureDomain_,
              bootId_,
              settings_.cpuPercent_,
              settings_.metricsListen_.port_ },
            mesh_,
            election_,
            coordinator_,
            fleetLoads_,
            relay_,
            forwarder_,
            limits_,
            slots_,
            evacuations_,
            { [this] { return configVersion_; },
              [this](size_t aMaxCount) {
                return directory_.LeavingIncarnations(aMaxCount);
              },
              [this](const std::vector<int32_t>& aLives) {
                if (directory_.MarkLeaving(aLives)) {
                  OnBackendsChanged();
                }
              },
              [this](size_t aMaxCount) {
                return forwarder_.LimitsColdServers()
                         ? directory_.TakeColdNotices(aMaxCount, loop_.NowMs())
                         : std::vector<ColdNotice>{};
              },
              [this](const std::vector<ColdNotice>& aServers) {
                // Only the leader passes on what others report, so that an end
                // which is late by the time on its way does not come back later
                // still.
                const bool changed = directory_.MarkCold(
                  aServers, loop_.NowMs(), election_.IsLeading());
                if (changed) {
                  OnBackendsChanged();
                }
                return changed;
              } })
  , changesTimer_(aLoop, [this] { ApplyBackendChanges(); })
  , housekeepTimer_(aLoop, [this] { Housekeep(); })
  , registerTimer_(aLoop, [this] { Register(); })
  , drainTimer_(aLoop, [this] { OnDrainTimer(); })
  , sigtermWatcher_(aLoop, SIGTERM, [this] { BeginDrain(); })
  , sigintWatcher_(aLoop, SIGINT, [this] { BeginDrain(); })
  , sighupWatcher_(aLoop, SIGHUP, [this] { Reload(); })
{
}

bool Gateway::Start()
{
  const auto listens = [&](bool aOk, const char* aName, const Endpoint& aAt) {
    if (!aOk) {
      log_.Write(LogLevel::Error,
                 "listen-failed",
                 { { "setting", aName }, { "address", aAt.ToText() } });
    }
    return aOk;
  };
  if (!listens(
        callers_.Listen(settings_.listen_), "listen", settings_.listen_) ||
      !listens(readyServer_.Listen(settings_.readyListen_),
               "ready-listen",
               settings_.readyListen_) ||
      !listens(mesh_.Open(settings_.peerListen_),
               "peer-listen",
               settings_.peerListen_) ||
      !listens(metricsServer_.Listen(settings_.metricsListen_),
               "metrics-listen",
               settings_.metricsListen_)) {
    return false;
  }
  log_.Write(LogLevel::Info,
             "gateway-started",
             { { "instance", settings_.instance_ },
               { "boot", bootId_ },
               { "failure_domain", settings_.failureDomain_ },
               { "listen", settings_.listen_.ToText() },
               { "store", settings_.store_.ToText() } });
  LogSettings("settings-in-force", settings_);
  if (!settings_.notes_.IsEmpty()) {
    log_.Write(LogLevel::Warning,
               "settings-missing",
               { { "findings", settings_.notes_.ToText() } });
  }
  startedMs_ = loop_.NowMs();
  StartWatchers();
  Register();
  election_.Start();
  gossip_.Start();
  housekeepTimer_.Start(detail::kHousekeepingIntervalMs);
  return true;
}

void Gateway::StartWatchers()
{
  store_.SetObserver({ [this] { directory_.OnStoreCallFailed(loop_.NowMs()); },
                       [this] {
                         // Pending watches may be stuck on broken connections.
                         configWatcher_.Refresh();
                         backendWatcher_.Refresh();
                         gatewayWatcher_.Refresh();
                         evacuations_.Refresh();
                       },
                       [this] { OnStoreRestored(); } });
  configWatcher_.Start();
  backendWatcher_.Start();
  gatewayWatcher_.Start();
  evacuations_.Start();
}

void Gateway::OnStoreRestored()
{
  configWatcher_.OnRestored();
  backendWatcher_.OnRestored();
  gatewayWatcher_.OnRestored();
  evacuations_.OnStoreRestored();
  directory_.OnStoreRestored(loop_.NowMs());
  election_.OnStoreRestored();
  coordinator_.OnStoreRestored();
  // The copy may lack this gateway's registration.
  registerTimer_.Start(store_.Jitter(detail::kRegisterRetryIntervalMs));
}

void Gateway::OnConfigObjects(const std::vector<StoreObject>& aObjects)
{
  std::ranges::for_each(
    aObjects, [this](const auto& aObject) { OnConfigObject(aObject); });
}

void Gateway::OnConfigEvents(const std::vector<ObjectEvent>& aEvents)
{
  // Only the newest version matters; those in between need no parsing.
  const auto newest = std::ranges::find_if(
    aEvents.rbegin(), aEvents.rend(), [this](const ObjectEvent& aEvent) {
      return !aEvent.removed_ &&
             aEvent.object_.name_ == platform_.registry_.ConfigName();
    });
  if (newest != aEvents.rend()) {
    OnConfigObject(newest->object_);
  }
}

void Gateway::OnConfigObject(const StoreObject& aObject,
                             std::string aCompressed)
{
  if (aObject.name_ != platform_.registry_.ConfigName()) {
    return;
  }
  Findings findings;
  auto config = platform_.registry_.DecodeConfig(aObject, findings);
  if (!config) {
    log_.Write(LogLevel::Error,
               "config-rejected",
               { { "revision", RevisionNumber(aObject.revision_) },
                 { "findings", findings.ToText() },
                 { "kept_version", configVersion_ } });
    return;
  }
  if (config->version_ <= configVersion_) {
    return;
  }
  if (!findings.IsEmpty()) {
    log_.Write(
      LogLevel::Warning,
      "config-findings",
      { { "version", config->version_ }, { "findings", findings.ToText() } });
  }
  configVersion_ = config->version_;
  compressedConfig_ = aCompressed.empty() ? Compress(WriteJson(aObject.spec_))
                                          : std::move(aCompressed);
  log_.Write(LogLevel::Info,
             "config-applied",
             { { "version", configVersion_ },
               { "routes", config->routes_.size() },
               { "services", config->services_.size() } });
  std::set<std::string> keyed;
  for (const auto& [name, service] : config->services_) {
    if (service.keyed_) {
      keyed.insert(name);
    }
  }
  forwarder_.SetConfig(std::move(*config));
  slots_.UpdateServers(forwarder_.Pool());
  coordinator_.SetKeyedServices(std::move(keyed));
}

std::optional<BackendEntry> Gateway::DecodeBackend(const StoreObject& aObject)
{
  Findings findings;
  auto entry = platform_.registry_.DecodeBackend(aObject, findings);
  if (!entry) {
    // The watcher has logged objects that have a fault.
    const auto name = aObject.name_.substr(0, kMaxNameBytes);
    if (aObject.fault_ == ObjectFault::None &&
        reportedBackends_.Passes(name, loop_.NowMs())) {
      log_.Write(LogLevel::Warning,
                 "backend-unreadable",
                 { { "kind", platform_.registry_.BackendKind() },
                   { "backend", name },
                   { "findings", findings.ToText() } });
    }
  } else if (!findings.IsEmpty()) {
    metrics_.OnServerNotice("malformed-cold-time", aObject.name_);
    log_.Write(
      LogLevel::Warning,
      "backend-findings",
      { { "backend", aObject.name_ }, { "findings", findings.ToText() } });
  }
  return entry;
}

void Gateway::OnBackendPage(const std::vector<StoreObject>& aObjects)
{
  for (const auto& object : aObjects) {
    if (auto entry = DecodeBackend(object)) {
      listedBackends_.push_back(std::move(*entry));
    }
  }
}

void Gateway::OnBackendListEnd(bool aComplete)
{
  const auto entries = std::exchange(listedBackends_, {});
  // The list read at the start may be stale; another gateway may have sent a
  // newer state. The entries of a part are compared one by one.
  if (aComplete && relayedDirectory_ &&
      backendWatcher_.SeenRevision() < directory_.Revision()) {
    return;
  }
  const TimeMs nowMs = loop_.NowMs();
  if (aComplete) {
    directory_.ApplyList(entries, nowMs, backendWatcher_.SeenRevision());
    directory_.AdvanceTo(backendWatcher_.Revision());
  } else {
    std::ranges::for_each(
      entries, [&](const auto& aEntry) { directory_.ApplyPut(aEntry, nowMs); });
    hasPartialDirectory_ = true;
  }
  OnBackendsChanged();
}

void Gateway::OnBackendEvents(const std::vector<ObjectEvent>& aEvents)
{
  // Another gateway has sent a newer state in the meantime.
  if (backendWatcher_.SeenRevision() <= directory_.Revision()) {
    return;
  }
  const TimeMs nowMs = loop_.NowMs();
  const auto digest = directory_.Digest();
  bool becameCold = false;
  wire::Gossip changes;
  for (const auto& event : LatestEventPerObject(aEvents)) {
    const auto& name = event.object_.name_;
    const auto entry =
      event.removed_ ? std::nullopt : DecodeBackend(event.object_);
    if (entry) {
      becameCold |= directory_.ApplyPut(*entry, nowMs);
      StoreRelay::AddChange(*entry, changes);
    } else if (event.removed_ || directory_.Entries().contains(name)) {
      // A server whose entry cannot be decoded is removed.
      const auto absentAt = backendWatcher_.SeenRevision();
      directory_.ApplyRemoved(name, nowMs, absentAt);
      if (IsName(name) && !directory_.IsRegistered(name)) {
        StoreRelay::AddRemoval(
          { name, absentAt, directory_.GraceMs(name, nowMs) }, changes);
      }
    } else {
      continue;
    }
    log_.Write(LogLevel::Info,
               "backend-changed",
               { { "backend", name },
                 { "state", entry ? EnumName(entry->state_) : "removed" },
                 { "revision", RevisionNumber(event.object_.revision_) } });
  }
  directory_.AdvanceTo(backendWatcher_.Revision());
  OnBackendsChanged();
  // Heartbeats of servers that are warming up change nothing that other
  // gateways need.
  if (directory_.Digest() != digest ||
      (becameCold && forwarder_.LimitsColdServers())) {
    gossip_.BroadcastRegistrations(std::move(changes.changes));
  }
}

void Gateway::OnLeaving(const std::string& aBackend, int64_t aStartTimeMs)
{
  if (!directory_.MarkLeaving(aBackend, aStartTimeMs)) {
    return;
  }
  const auto backend = forwarder_.Pool().Find(aBackend);
  metrics_.OnServerNotice("leaving", aBackend);
  log_.Write(
    LogLevel::Info,
    "backend-leaving",
    { { "backend", aBackend },
      { "service", backend == nullptr ? "" : backend->entry_.service_ },
      { "in_flight", backend == nullptr ? 0 : backend->busy_.size() } });
  OnBackendsChanged();
  gossip_.SendServerNotices();
}

void Gateway::OnEvacuationsChanged(const EvacuationSet::Domains& aEnded,
                                   bool aFromStore)
{
  // The servers may have become cold while they got no requests, and must be
  // known to be cold before they get any.
  const TimeMs nowMs = loop_.NowMs();
  const auto routes = forwarder_.Routes();
  for (const auto& [id, entry] : directory_.Entries()) {
    const auto* service =
      routes == nullptr ? nullptr : routes->Service(entry.service_);
    if (service != nullptr && service->coldPerSecond_ > 0 &&
        aEnded.contains(entry.failureDomain_)) {
      directory_.MarkCold(id, entry.startTimeMs_, service->coldMs_, nowMs);
    }
  }
  ApplyBackendChanges();
  forwarder_.SetEvacuatedDomains(evacuations_.Set().All());
  slots_.UpdateServers(forwarder_.Pool());
  if (aFromStore) {
    gossip_.BroadcastState();
  }
}

void Gateway::OnCold(const BackendEntry& aEntry, TimeMs aRemainingMs)
{
  if (directory_.MarkCold(
        aEntry.id_, aEntry.startTimeMs_, aRemainingMs, loop_.NowMs())) {
    log_.Write(LogLevel::Info,
               "backend-cold",
               { { "backend", aEntry.id_ },
                 { "service", aEntry.service_ },
                 { "remaining_ms", aRemainingMs } });
    OnBackendsChanged();
    gossip_.SendServerNotices();
  }
}

double Gateway::RequestLimitOf(const BackendEntry& aEntry) const
{
  const TimeMs nowMs = loop_.NowMs();
  // Called for all servers many times a second; hashing costs.
  double limit =
    limiter_.Limits().IsEmpty()
      ? ServerLimits::kUnlimited
      : limiter_.Limits().SettledRate(aEntry.IncarnationHash(), nowMs);
  if (aEntry.coldUntilMs_ > nowMs) {
    const auto cold = forwarder_.ColdLimitsOf(aEntry.service_);
    if (cold.perSecond_ > 0) {
      limit = std::min(limit, cold.perSecond_);
    }
  }
  return limit;
}

void Gateway::ReportColdServers()
{
  const auto routes = forwarder_.Routes();
  if (routes == nullptr) {
    return;
  }
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& [name, service] : routes->Config().services_) {
    if (service.coldPerSecond_ > 0) {
      const auto& backends = forwarder_.Pool().OfService(name);
      metrics_.SetColdServers(name,
                              static_cast<size_t>(std::ranges::count_if(
                                backends, [&](const auto& aBackend) {
                                  return aBackend->IsCold(nowMs);
                                })));
    }
  }
}

void Gateway::OnCommandNotice(const CommandSender::Notice& aNotice)
{
  if (aNotice.leaving_) {
    OnLeaving(aNotice.backend_, aNotice.startTimeMs_);
  }
  if (aNotice.malformedHandoverBytes_) {
    metrics_.OnServerNotice("malformed-handover", aNotice.backend_);
    log_.Write(LogLevel::Warning,
               "backend-handover-malformed",
               { { "backend", aNotice.backend_ },
                 { "bytes", *aNotice.malformedHandoverBytes_ },
                 { "decision", "released without a token" } });
  }
  if (aNotice.requestLimit_) {
    const auto hash = IncarnationHash(aNotice.backend_, aNotice.startTimeMs_);
    OnLimitChanged(
      hash,
      limiter_.OnAnswer(
        hash, aNotice.requestLimit_, aNotice.sentMs_, loop_.NowMs()));
  }
}

void Gateway::OnLimitChanged(uint32_t aIncarnation, LimitChange aChange)
{
  if (aChange == LimitChange::None) {
    return;
  }
  limits_.Report(aIncarnation, aChange, "answer");
  gossip_.SendServerNotices();
  forwarder_.OnRoutingStateChanged();
}

RequestLimiter::FleetView Gateway::PermitIssuerView() const
{
  const auto gateways = mesh_.AliveCount(loop_.NowMs()) + 1;
  if (election_.IsLeading()) {
    // While another leader may have been elected, both would issue permits.
    const bool sole = election_.IsProbablySoleLeader();
    return { sole ? PermitIssuer::Self : PermitIssuer::None, gateways };
  }
  const bool reachable =
    election_.HearsLeader() && mesh_.Peers().contains(election_.Leader());
  return { reachable ? PermitIssuer::Leader : PermitIssuer::None, gateways };
}

void Gateway::SchedulePermitRequests()
{
  // Requests that are dispatched together ask together.
  if (!std::exchange(permitRequestsDue_, true)) {
    loop_.Defer([this] {
      permitRequestsDue_ = false;
      gossip_.SendPermitRequests();
    });
  }
}

void Gateway::OnBackendsChanged()
{
  if (changesTimer_.IsActive()) {
    return;
  }
  const TimeMs waitMs =
    changesAppliedMs_ + detail::kChangesIntervalMs - loop_.NowMs();
  if (waitMs > 0) {
    changesTimer_.Start(waitMs);
  } else {
    ApplyBackendChanges();
  }
}

void Gateway::ApplyBackendChanges()
{
  const auto changes = directory_.TakeChanges();
  if (changes.empty()) {
    return;
  }
  changesAppliedMs_ = loop_.NowMs();
  forwarder_.UpdateBackends(directory_.Entries(), changes);
  slots_.UpdateServers(forwarder_.Pool());
  coordinator_.UpdateBackends(directory_.Entries(), changes);
}

void Gateway::OnGatewayObject(const StoreObject& aObject)
{
  if (!aObject.name_.starts_with(detail::kInstancePrefix)) {
    return;
  }
  const auto& json = aObject.spec_;
  const auto name = aObject.name_.substr(detail::kInstancePrefix.size());
  const auto domain = FieldOr(json, "domain", std::string());
  Endpoint endpoint;
  if (name != settings_.instance_ && IsPlainText(name) && IsPlainText(domain) &&
      Endpoint::Parse(FieldOr(json, "peer", std::string()), endpoint)) {
    mesh_.AddRegistered(name,
                        endpoint,
                        FieldOr(json, "bootId", int64_t{ 0 }),
                        domain,
                        FieldOr(json, "cpuPercent", 0));
  }
}

void Gateway::ReadKeyTable()
{
  // The interval grows with the fleet, so that all gateways together read about
  // as often as those of a small fleet.
  const auto share =
    static_cast<TimeMs>(1 + mesh_.Peers().size() / kMaxDirectGateways);
  if (election_.HearsLeader() || readingKeyTable_ ||
      loop_.NowMs() - keyTableReadMs_ <
        detail::kKeyTableReadIntervalMs * share) {
    return;
  }
  readingKeyTable_ = true;
  keyTableReadMs_ =
    loop_.NowMs() +
    store_.Jitter(detail::kKeyTableReadIntervalMs * (share - 1));
  store_.Call(KeyCoordinator::TableReadRequest(store_.Protocol()),
              [this](const StoreResponse& aAnswer) {
                readingKeyTable_ = false;
                if (aAnswer.status_ == StoreStatus::Ok) {
                  OnKeyTable(aAnswer.object_);
                }
              });
}

void Gateway::ReadMembers()
{
  const TimeMs nowMs = loop_.NowMs();
  if (mesh_.UnknownMembers() > 0 &&
      nowMs - membersReadMs_ >= detail::kMembersReadIntervalMs) {
    membersReadMs_ = nowMs + store_.Jitter(detail::kMembersReadIntervalMs);
    gatewayWatcher_.Relist();
  }
}

void Gateway::OnKeyTable(const StoreObject& aObject)
{
  KeyTable table;
  if (!DecodeKeyTable(aObject.spec_, table)) {
    if (reportedKeyTable_.Passes({}, loop_.NowMs())) {
      log_.Write(LogLevel::Error,
                 "key-table-unreadable",
                 { { "revision", RevisionNumber(aObject.revision_) } });
    }
    return;
  }
  for (const auto& [service, segments] : table.services_) {
    for (const auto& segment : segments) {
      forwarder_.Keys().Apply(
        service,
        { segment.first_,
          segment.last_,
          { segment.owner_, segment.fence_, segment.previous_.empty() } });
    }
  }
  forwarder_.OnRoutingStateChanged();
}

void Gateway::Register()
{
  const auto name = Concat(detail::kInstancePrefix, settings_.instance_);
  const auto spec = nlohmann::json{ { "peer", settings_.peerListen_.ToText() },
                                    { "bootId", bootId_ },
                                    { "domain", settings_.failureDomain_ },
                                    { "cpuPercent", settings_.cpuPercent_ } };
  const auto finish = [this](const StoreResponse& aAnswer) {
    if (aAnswer.status_ != StoreStatus::Ok) {
      registerTimer_.Start(detail::kRegisterRetryIntervalMs +
                           store_.Jitter(detail::kRegisterRetryIntervalMs));
    }
  };
  store_.Call(
    store_.Protocol().Create(detail::kGatewayKind, name, spec),
    [this, name, spec, finish](const StoreResponse& aAnswer) {
      if (aAnswer.status_ != StoreStatus::Conflict) {
        finish(aAnswer);
        return;
      }
      store_.Call(
        store_.Protocol().Replace(detail::kGatewayKind, name, spec, 0), finish);
    });
}

void Gateway::ProbeStore()
{
  store_.Call(
    store_.Protocol().Get(detail::kGatewayKind,
                          Concat(detail::kInstancePrefix, settings_.instance_)),
    [](const StoreResponse&) {});
}

void Gateway::FetchConfig()
{
  if (std::exchange(fetchingConfig_, true)) {
    return;
  }
  store_.Call(store_.Protocol().Get(platform_.registry_.ConfigKind(),
                                    platform_.registry_.ConfigName()),
              [this](const StoreResponse& aAnswer) {
                fetchingConfig_ = false;
                if (aAnswer.status_ == StoreStatus::Ok) {
                  OnConfigObject(aAnswer.object_);
                }
              });
}

StatusServer::Page Gateway::StatusPage(const std::string& aTarget)
{
  if (aTarget == "/directory") {
    return { HasDirectory() ? 200 : 503, relay_.DirectoryJson() };
  }
  if (aTarget == "/config") {
    return { configVersion_ > 0 ? 200 : 503, compressedConfig_ };
  }
  return { 200, MetricsText() };
}

bool Gateway::HasDirectory() const
{
  return backendWatcher_.HasListed() || relayedDirectory_;
}

bool Gateway::KnowsBackends() const
{
  return HasDirectory() ||
         (hasPartialDirectory_ &&
          loop_.NowMs() - startedMs_ >= detail::kDirectoryWaitMs);
}

bool Gateway::IsReady() const
{
  return drainStartMs_ == 0 && configVersion_ > 0 && KnowsBackends() &&
         evacuations_.IsSettled();
}

std::string Gateway::MetricsText()
{
  registry_.GetGauge("cactuspitch_ready").Set(IsReady() ? 1 : 0);
  registry_.GetGauge("cactuspitch_leading").Set(election_.IsLeading() ? 1 : 0);
  registry_.GetGauge("cactuspitch_term")
    .Set(static_cast<double>(election_.HighestTerm()));
  registry_.GetGauge("cactuspitch_config_version")
    .Set(static_cast<double>(configVersion_));
  registry_.GetGauge("cactuspitch_backends")
    .Set(static_cast<double>(directory_.Entries().size()));
  registry_.GetGauge("cactuspitch_peers_alive")
    .Set(static_cast<double>(mesh_.AliveCount(loop_.NowMs())));
  registry_.GetGauge("cactuspitch_store_calls")
    .Set(static_cast<double>(store_.Calls()));
  registry_.GetGauge("cactuspitch_active_requests")
    .Set(static_cast<double>(forwarder_.ActiveRequests()));
  registry_.GetGauge("cactuspitch_request_body_bytes")
    .Set(static_cast<double>(forwarder_.RequestBudget()->UsedBytes()));
  registry_.GetGauge("cactuspitch_buffered_response_bytes")
    .Set(static_cast<double>(forwarder_.ResponseBudget()->UsedBytes()));
  registry_.GetGauge("cactuspitch_backend_connections_opened")
    .Set(static_cast<double>(forwarder_.Pool().ConnectionsOpened()));
  ReportColdServers();
  return registry_.ToPrometheus();
}

void Gateway::Housekeep()
{
  housekeepTimer_.Start(detail::kHousekeepingIntervalMs);
  const TimeMs nowMs = loop_.NowMs();
  if (backendWatcher_.IsActive()) {
    directory_.AdvanceTo(backendWatcher_.Revision());
  }
  evacuations_.Update();
  if (directory_.Expire(nowMs)) {
    OnBackendsChanged();
  }
  if (housekeepingRounds_ % detail::kCloseIdleRounds == 0) {
    forwarder_.Pool().CloseIdle();
    limiter_.Expire(nowMs);
    forwarder_.Cold().Expire(nowMs);
  }
  ReadKeyTable();
  ReadMembers();
  relay_.Update();
  if (election_.IsLeading() && relay_.ShouldResign()) {
    election_.Resign("only other gateways can reach the store");
  }
  if (housekeepingRounds_ % detail::kGatewayListRounds == 0) {
    auto gateways = mesh_.AliveGateways(nowMs);
    gateways.emplace_back(settings_.instance_, settings_.failureDomain_);
    forwarder_.SetGateways(settings_.instance_, gateways);
    if (gatewayWatcher_.HasListed()) {
      std::vector<uint32_t> known;
      for (const auto& [name, peer] : mesh_.Peers()) {
        known.push_back(ShortHash(name));
      }
      forwarder_.Cold().SetGateways(std::move(known));
    }
  }
  const bool ready = IsReady();
  if (ready != std::exchange(wasReady_, ready)) {
    log_.Write(LogLevel::Info,
               "ready-changed",
               { { "ready", ready ? 1 : 0 },
                 { "config_version", configVersion_ },
                 { "backends", directory_.Entries().size() } });
  }
  if (++housekeepingRounds_ % detail::kLogReportRounds == 0) {
    log_.ReportDropped();
  }
}

void Gateway::Reload()
{
  Findings findings;
  const auto reloaded = readSettings_(findings);
  if (!reloaded) {
    log_.Write(LogLevel::Error,
               "settings-rejected",
               { { "findings", findings.ToText() } });
    return;
  }
  // Names and addresses change only with the next start.
  settings_.graceMs_ = reloaded->graceMs_;
  log_.SetMinimum(reloaded->logLevel_);
  forwarder_.SetRetryLimits(reloaded->retryRatio_, reloaded->retryExtra_);
  coordinator_.SetMaxLease(reloaded->maxHoldMs_);
  LogSettings("settings-reloaded", *reloaded);
}

void Gateway::LogSettings(std::string_view aEvent,
                          const GatewaySettings& aSettings)
{
  log_.Write(LogLevel::Info,
             aEvent,
             { { "grace_ms", aSettings.graceMs_ },
               { "retry_ratio", aSettings.retryRatio_ },
               { "retry_extra", aSettings.retryExtra_ },
               { "max_hold_ms", aSettings.maxHoldMs_ },
               { "backend_drain_ms", aSettings.backendDrainMs_ },
               { "cpu_percent", aSettings.cpuPercent_ } });
}

void Gateway::BeginDrain()
{
  if (drainStartMs_ != 0) {
    return;
  }
  drainStartMs_ = loop_.NowMs();
  log_.Write(LogLevel::Info,
             "drain-started",
             { { "active", forwarder_.ActiveRequests() },
               { "connections", callers_.Connections() } });
  slots_.SetStopping();
  gossip_.OnStopping();
  election_.WithdrawCandidacy();
  if (election_.IsLeading() && store_.IsReachable()) {
    election_.Resign("process is stopping");
  }
  forwarder_.SetExit(drainStartMs_ + settings_.graceMs_ -
                     detail::kGraceMarginMs);
  drainTimer_.Start(detail::kDrainIntervalMs);
}

void Gateway::OnDrainTimer()
{
  drainTimer_.Start(detail::kDrainIntervalMs);
  const TimeMs sinceMs = loop_.NowMs() - drainStartMs_;
  if (sinceMs >= detail::kBalancerRemovalMs) {
    callers_.StartDraining();
  }
  if (sinceMs >= std::min(detail::kLastForwardMs, settings_.graceMs_ / 2)) {
    callers_.StopListening();
    forwarder_.StartStopping();
  }
  if (sinceMs >= settings_.graceMs_ - detail::kRejectQueuedMarginMs) {
    forwarder_.RejectQueued("stopping");
  }
  const bool idle =
    forwarder_.ActiveRequests() == 0 && callers_.Connections() == 0;
  if (sinceMs >= settings_.graceMs_ - detail::kGraceMarginMs) {
    callers_.OnExit();
  }
  if ((sinceMs >= detail::kMinDrainMs && idle) ||
      sinceMs >=
        settings_.graceMs_ - detail::kGraceMarginMs + detail::kLastWriteMs) {
    Exit();
  }
}

void Gateway::Exit()
{
  if (election_.IsLeading()) {
    election_.Resign("process is stopping");
  }
  log_.Write(LogLevel::Info,
             "gateway-stopped",
             { { "active", forwarder_.ActiveRequests() },
               { "drained_ms", loop_.NowMs() - drainStartMs_ } });
  loop_.Stop();
}

}

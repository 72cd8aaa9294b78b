#include "gateway/Gateway.hpp"

#include "common/JsonField.hpp"
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

constexpr const char* kOwnKind = "cactuspitch";
constexpr std::string_view kInstancePrefix = "instance.";
constexpr TimeMs kHousekeepMs = 100;
/// Waiting times of watches: each answered one is a call. The watch of the
/// configuration also proves each second that the store is there.
constexpr TimeMs kConfigWaitMs = 1000;
constexpr TimeMs kWatchWaitMs = 5000;
constexpr TimeMs kRegisterRetryMs = 500;
constexpr TimeMs kDrainTickMs = 50;
/// The balancer takes a process out after two questions a second apart.
constexpr TimeMs kBalancerMs = 2300;
/// Idle connections of callers are closed and the process ends after this.
constexpr TimeMs kMinDrainMs = 3000;
/// The process is gone this long before it would be killed.
constexpr TimeMs kGraceMarginMs = 250;
/// What still waits so long before the end of the grace time is refused, so
/// that its caller has the answer and time to go elsewhere.
constexpr TimeMs kLastDispatchMs = 750;
/// Changes of registrations are gathered for this long: when a failure domain
/// is replaced, hundreds come within seconds, and each recomputes the homes.
constexpr TimeMs kChangesIntervalMs = 50;
/// Rounds of housekeeping, 5 s.
constexpr uint64_t kLogReportRounds = 50;
constexpr uint64_t kHomeRounds = 5;
/// 300 ms; idle connections are closed 1.5 s before their servers do it.
constexpr uint64_t kCloseIdleRounds = 3;
/// Without a leader's gossip, the owners are read from the store this often.
constexpr TimeMs kKeysReadMs = 2000;
/// Gateways of a large fleet read the list of all again this often while the
/// leader names some that they do not know.
constexpr TimeMs kMembersReadMs = 1000;

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
  , forwarder_(
      aLoop,
      aLog,
      metrics_,
      platform_.requests_,
      { settings_.retryRatio_,
        settings_.retryExtra_,
        settings_.failureDomain_ },
      [this] { gossip_.OnSuspectsChanged(); },
      [this](const BackendEntry& aEntry) {
        OnLeaving(aEntry.id_, aEntry.bornMs_);
      })
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
                   detail::kConfigWaitMs,
                   ResumeMode::Watch,
                   false,
                   { [this](const std::vector<StoreObject>& aObjects) {
                      OnConfigObjects(aObjects);
                    },
                     [this](const std::vector<ObjectEvent>& aEvents) {
                       OnConfigEvents(aEvents);
                     } })
  , backendWatcher_(aLoop,
                    aLog,
                    store_,
                    platform_.registry_.BackendKind(),
                    detail::kWatchWaitMs,
                    ResumeMode::List,
                    false,
                    { [this](const std::vector<StoreObject>& aObjects) {
                       OnBackendList(aObjects);
                     },
                      [this](const std::vector<ObjectEvent>& aEvents) {
                        OnBackendEvents(aEvents);
                      } })
  , ownFollower_(aLoop,
                 aLog,
                 store_,
                 detail::kOwnKind,
                 detail::kWatchWaitMs,
                 ResumeMode::Watch,
                 false,
                 { [this](const std::vector<StoreObject>& aObjects) {
                    std::ranges::for_each(
                      aObjects,
                      [this](const auto& aObject) { OnOwnObject(aObject); });
                    gossip_.Announce();
                  },
                   [this](const std::vector<ObjectEvent>& aEvents) {
                     for (const auto& event : aEvents) {
                       if (!event.removed_) {
                         OnOwnObject(event.object_);
                       }
                     }
                   } })
  , election_(aLoop,
              aLog,
              store_,
              mesh_,
              { settings_.instance_, bootId_ },
              settings_.cpuPercent_,
              &UnixNowMs,
              { [this](int64_t aTerm) {
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
      board_,
      settings_.maxHoldMs_,
      { [this] { return election_.MaySendCommands(); },
        [this] { return election_.AllowedGrantScope(); },
        [this] { gossip_.OnKeysChanged(); },
        [this](std::string_view aCause) { election_.Resign(aCause); },
        [this](const std::string& aBackend, int64_t aBornMs) {
          OnLeaving(aBackend, aBornMs);
        } })
  , relay_(
      aLoop,
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
         ownFollower_.SetActive(aAll);
       },
        [this](const std::vector<BackendEntry>& aEntries, int64_t aRevision) {
          relayedDirectory_ = true;
          directory_.Replace(aEntries, loop_.NowMs());
          directory_.AdvanceTo(aRevision);
          OnBackendsChanged();
        },
        [this](const BackendEntry& aEntry, bool aRemoved) {
          if (aRemoved) {
            directory_.ApplyRemoved(aEntry.id_, loop_.NowMs());
          } else {
            directory_.ApplyPut(aEntry, loop_.NowMs());
          }
          OnBackendsChanged();
        },
        [this](int64_t aRevision) { directory_.AdvanceTo(aRevision); },
        [this](const std::string& aBackend) {
          directory_.ConfirmRemoved(aBackend, loop_.NowMs());
          OnBackendsChanged();
        },
        [this](const nlohmann::json& aSpec, std::string aPacked) {
          StoreObject object;
          object.name_ = platform_.registry_.ConfigName();
          object.spec_ = aSpec;
          OnConfigObject(object, std::move(aPacked));
        },
        [this] { return configVersion_; },
        [this] { return HasDirectory(); },
        [this] { ProbeStore(); },
        [this] { AskStoreForConfig(); } })
  , gossip_(aLoop,
            { settings_.instance_,
              settings_.failureDomain_,
              bootId_,
              settings_.cpuPercent_,
              settings_.metricsListen_.port_ },
            mesh_,
            election_,
            coordinator_,
            board_,
            relay_,
            forwarder_,
            { [this] { return configVersion_; },
              [this](size_t aMost) { return directory_.LeavingLives(aMost); },
              [this](const std::vector<int32_t>& aLives) {
                if (directory_.MarkLeaving(aLives)) {
                  OnBackendsChanged();
                }
              } })
  , changesTimer_(aLoop, [this] { ApplyBackendChanges(); })
  , housekeepTimer_(aLoop, [this] { Housekeep(); })
  , registerTimer_(aLoop, [this] { Register(); })
  , drainTimer_(aLoop, [this] { DrainTick(); })
  , onTerminate_(aLoop, SIGTERM, [this] { BeginDrain(); })
  , onInterrupt_(aLoop, SIGINT, [this] { BeginDrain(); })
  , onHangup_(aLoop, SIGHUP, [this] { Reload(); })
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
  FollowStore();
  Register();
  election_.Start();
  gossip_.Start();
  housekeepTimer_.Start(detail::kHousekeepMs);
  return true;
}

void Gateway::FollowStore()
{
  store_.SetObserver({ [this] { directory_.OnStoreDisturbed(loop_.NowMs()); },
                       [this] {
                         // Pending watches may hang on dead connections.
                         configWatcher_.Refresh();
                         backendWatcher_.Refresh();
                         ownFollower_.Refresh();
                       } });
  configWatcher_.Start();
  backendWatcher_.Start();
  ownFollower_.Start();
}

void Gateway::OnConfigObjects(const std::vector<StoreObject>& aObjects)
{
  std::ranges::for_each(
    aObjects, [this](const auto& aObject) { OnConfigObject(aObject); });
}

void Gateway::OnConfigEvents(const std::vector<ObjectEvent>& aEvents)
{
  // Only the newest one counts; versions in between need no parsing.
  const auto newest = std::ranges::find_if(
    aEvents.rbegin(), aEvents.rend(), [this](const ObjectEvent& aEvent) {
      return !aEvent.removed_ &&
             aEvent.object_.name_ == platform_.registry_.ConfigName();
    });
  if (newest != aEvents.rend()) {
    OnConfigObject(newest->object_);
  }
}

void Gateway::OnConfigObject(const StoreObject& aObject, std::string aPacked)
{
  if (aObject.name_ != platform_.registry_.ConfigName()) {
    return;
  }
  Findings findings;
  auto config = platform_.registry_.DecodeConfig(aObject, findings);
  if (!config) {
    log_.Write(LogLevel::Error,
               "config-rejected",
               { { "revision", aObject.revision_ },
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
  configPacked_ =
    aPacked.empty() ? Compress(aObject.spec_.dump()) : std::move(aPacked);
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
  coordinator_.SetKeyedServices(std::move(keyed));
}

std::optional<BackendEntry> Gateway::DecodeBackend(const StoreObject& aObject)
{
  Findings findings;
  auto entry = platform_.registry_.DecodeBackend(aObject, findings);
  if (!entry) {
    log_.Write(
      LogLevel::Warning,
      "backend-unreadable",
      { { "backend", aObject.name_ }, { "findings", findings.ToText() } });
  }
  return entry;
}

void Gateway::OnBackendList(const std::vector<StoreObject>& aObjects)
{
  // Start lists may be old; another gateway may have told a newer state.
  if (relayedDirectory_ && backendWatcher_.Revision() < directory_.Revision()) {
    return;
  }
  std::vector<BackendEntry> entries;
  for (const auto& object : aObjects) {
    if (auto entry = DecodeBackend(object)) {
      entries.push_back(std::move(*entry));
    }
  }
  directory_.ApplyList(entries, loop_.NowMs());
  directory_.AdvanceTo(backendWatcher_.Revision());
  OnBackendsChanged();
}

void Gateway::OnBackendEvents(const std::vector<ObjectEvent>& aEvents)
{
  // A newer state was taken over from another watcher meanwhile.
  if (backendWatcher_.Revision() <= directory_.Revision()) {
    return;
  }
  const TimeMs nowMs = loop_.NowMs();
  const auto digest = directory_.Digest();
  wire::Gossip changes;
  for (const auto& event : LatestEventPerObject(aEvents)) {
    const auto entry =
      event.removed_ ? std::nullopt : DecodeBackend(event.object_);
    if (entry) {
      directory_.ApplyPut(*entry, nowMs);
      StoreRelay::AddChange(*entry, false, changes);
    } else {
      // An entry that cannot be read names no server to use.
      directory_.ApplyRemoved(event.object_.name_, nowMs);
      BackendEntry removed;
      removed.id_ = event.object_.name_;
      if (!directory_.Entries().contains(removed.id_)) {
        StoreRelay::AddChange(removed, true, changes);
      }
    }
    log_.Write(LogLevel::Info,
               "backend-changed",
               { { "backend", event.object_.name_ },
                 { "state", entry ? EnumName(entry->state_) : "removed" },
                 { "revision", event.object_.revision_ } });
  }
  directory_.AdvanceTo(backendWatcher_.Revision());
  OnBackendsChanged();
  // Beats of cold servers change no state that others need.
  if (directory_.Digest() != digest) {
    gossip_.BroadcastRegistrations(std::move(changes.changes));
  }
}

void Gateway::OnLeaving(const std::string& aBackend, int64_t aBornMs)
{
  if (!directory_.MarkLeaving(aBackend, aBornMs)) {
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
  gossip_.SendLeavingNotice();
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
  coordinator_.UpdateBackends(directory_.Entries(), changes);
}

void Gateway::OnOwnObject(const StoreObject& aObject)
{
  if (!aObject.name_.starts_with(detail::kInstancePrefix)) {
    return;
  }
  const auto& json = aObject.spec_;
  Endpoint endpoint;
  if (Endpoint::Parse(FieldOr(json, "peer", std::string()), endpoint)) {
    const auto name = aObject.name_.substr(detail::kInstancePrefix.size());
    if (name != settings_.instance_) {
      mesh_.AddRegistered(name,
                          endpoint,
                          FieldOr(json, "bootId", int64_t{ 0 }),
                          FieldOr(json, "domain", std::string()),
                          FieldOr(json, "cpuPercent", 0));
    }
  }
}

void Gateway::ReadKeys()
{
  // All gateways together read about as often as a small fleet would.
  const auto share =
    static_cast<TimeMs>(1 + mesh_.Peers().size() / kMaxDirectGateways);
  if (election_.HearsLeader() || readingKeys_ ||
      loop_.NowMs() - keysReadMs_ < detail::kKeysReadMs * share) {
    return;
  }
  readingKeys_ = true;
  keysReadMs_ =
    loop_.NowMs() + store_.Jitter(detail::kKeysReadMs * (share - 1));
  store_.Call(KeyCoordinator::TableReadRequest(store_.Protocol()),
              [this](const StoreResponse& aAnswer) {
                readingKeys_ = false;
                if (aAnswer.status_ == StoreStatus::Ok) {
                  OnKeyTable(aAnswer.object_);
                }
              });
}

void Gateway::ReadMembers()
{
  const TimeMs nowMs = loop_.NowMs();
  if (mesh_.UnknownMembers() > 0 &&
      nowMs - membersReadMs_ >= detail::kMembersReadMs) {
    membersReadMs_ = nowMs + store_.Jitter(detail::kMembersReadMs);
    ownFollower_.Relist();
  }
}

void Gateway::OnKeyTable(const StoreObject& aObject)
{
  KeyTable table;
  if (!DecodeKeyTable(aObject.spec_, table)) {
    log_.Write(LogLevel::Error,
               "key-table-unreadable",
               { { "revision", aObject.revision_ } });
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
  forwarder_.OnPlacesChanged();
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
      registerTimer_.Start(detail::kRegisterRetryMs +
                           store_.Jitter(detail::kRegisterRetryMs));
    }
  };
  store_.Call(store_.Protocol().Create(detail::kOwnKind, name, spec),
              [this, name, spec, finish](const StoreResponse& aAnswer) {
                if (aAnswer.status_ != StoreStatus::Conflict) {
                  finish(aAnswer);
                  return;
                }
                store_.Call(
                  store_.Protocol().Replace(detail::kOwnKind, name, spec, 0),
                  finish);
              });
}

void Gateway::ProbeStore()
{
  store_.Call(
    store_.Protocol().Get(detail::kOwnKind,
                          Concat(detail::kInstancePrefix, settings_.instance_)),
    [](const StoreResponse&) {});
}

void Gateway::AskStoreForConfig()
{
  if (std::exchange(askingConfig_, true)) {
    return;
  }
  store_.Call(store_.Protocol().Get(platform_.registry_.ConfigKind(),
                                    platform_.registry_.ConfigName()),
              [this](const StoreResponse& aAnswer) {
                askingConfig_ = false;
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
    return { configVersion_ > 0 ? 200 : 503, configPacked_ };
  }
  return { 200, MetricsText() };
}

bool Gateway::HasDirectory() const
{
  return backendWatcher_.HasListed() || relayedDirectory_;
}

bool Gateway::IsReady() const
{
  return drainMs_ == 0 && configVersion_ > 0 && HasDirectory();
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
  registry_.GetGauge("cactuspitch_backend_connections_opened")
    .Set(static_cast<double>(forwarder_.Pool().ConnectionsOpened()));
  return registry_.ToPrometheus();
}

void Gateway::Housekeep()
{
  housekeepTimer_.Start(detail::kHousekeepMs);
  const TimeMs nowMs = loop_.NowMs();
  if (backendWatcher_.IsActive()) {
    directory_.AdvanceTo(backendWatcher_.Revision());
  }
  if (directory_.Expire(nowMs)) {
    OnBackendsChanged();
  }
  if (rounds_ % detail::kCloseIdleRounds == 0) {
    forwarder_.Pool().CloseIdle();
  }
  ReadKeys();
  ReadMembers();
  relay_.Update();
  if (election_.IsLeading() && relay_.ShouldResign()) {
    election_.Resign("the store is reachable for others only");
  }
  if (rounds_ % detail::kHomeRounds == 0) {
    auto gateways = mesh_.AliveGateways(nowMs);
    gateways.emplace_back(settings_.instance_, settings_.failureDomain_);
    forwarder_.SetGateways(settings_.instance_, gateways);
  }
  const bool ready = IsReady();
  if (ready != std::exchange(wasReady_, ready)) {
    log_.Write(LogLevel::Info,
               "ready-changed",
               { { "ready", ready ? 1 : 0 },
                 { "config_version", configVersion_ },
                 { "backends", directory_.Entries().size() } });
  }
  if (++rounds_ % detail::kLogReportRounds == 0) {
    log_.ReportDropped();
  }
}

void Gateway::Reload()
{
  Findings findings;
  const auto fresh = readSettings_(findings);
  if (!fresh) {
    log_.Write(LogLevel::Error,
               "settings-rejected",
               { { "findings", findings.ToText() } });
    return;
  }
  // Names and addresses hold until the next start.
  settings_.graceMs_ = fresh->graceMs_;
  log_.SetMinimum(fresh->logLevel_);
  forwarder_.SetRetryBounds(fresh->retryRatio_, fresh->retryExtra_);
  coordinator_.SetMaxLease(fresh->maxHoldMs_);
  LogSettings("settings-reloaded", *fresh);
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
  if (drainMs_ != 0) {
    return;
  }
  drainMs_ = loop_.NowMs();
  log_.Write(LogLevel::Info,
             "drain-started",
             { { "active", forwarder_.ActiveRequests() },
               { "connections", callers_.Connections() } });
  election_.WithdrawCandidacy();
  if (election_.IsLeading() && store_.IsReachable()) {
    election_.Resign("process stops");
  }
  drainTimer_.Start(detail::kDrainTickMs);
}

void Gateway::DrainTick()
{
  drainTimer_.Start(detail::kDrainTickMs);
  const TimeMs sinceMs = loop_.NowMs() - drainMs_;
  if (sinceMs >= detail::kBalancerMs) {
    callers_.StartDraining();
  }
  if (sinceMs >= settings_.graceMs_ / 2) {
    // Later requests could not be answered before the end of the process.
    callers_.StopListening();
  }
  if (sinceMs >= settings_.graceMs_ - detail::kLastDispatchMs) {
    forwarder_.RefuseParked("stopping");
  }
  const bool idle =
    forwarder_.ActiveRequests() == 0 && callers_.Connections() == 0;
  if ((sinceMs >= detail::kMinDrainMs && idle) ||
      sinceMs >= settings_.graceMs_ - detail::kGraceMarginMs) {
    Exit();
  }
}

void Gateway::Exit()
{
  if (election_.IsLeading()) {
    election_.Resign("process stops");
  }
  log_.Write(LogLevel::Info,
             "gateway-stopped",
             { { "active", forwarder_.ActiveRequests() },
               { "drained_ms", loop_.NowMs() - drainMs_ } });
  loop_.Stop();
}

}

#include "gateway/Gateway.hpp"

#include "common/Strings.hpp"
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
/// Three lost in a row make a leader silent (LeaderTiming::kSilenceMs).
constexpr TimeMs kGossipMs = 250;
/// Gateways that do not lead tell only the leader in between.
constexpr uint64_t kFullRounds = 4;
constexpr TimeMs kHousekeepMs = 100;
constexpr TimeMs kRegisterRetryMs = 500;
constexpr TimeMs kDrainTickMs = 50;
/// The balancer takes a process out after two questions a second apart.
constexpr TimeMs kBalancerMs = 2300;
/// Idle connections of callers are closed and the process ends after this.
constexpr TimeMs kMinDrainMs = 3000;
/// The process is gone this long before it would be killed.
constexpr TimeMs kGraceMarginMs = 250;
constexpr uint64_t kLogReportRounds = 50;
/// Without a leader's gossip, the owners are read from the store this often.
constexpr TimeMs kKeysReadMs = 2000;

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
                 PlatformPort aPort,
                 std::function<void()> aReload)
  : loop_(aLoop)
  , log_(aLog)
  , settings_(std::move(aSettings))
  , port_(aPort)
  , bootId_(detail::NewBootId())
  , metrics_(registry_)
  , client_(aLoop)
  , store_(aLoop, aLog, client_, port_.objects_, settings_.store_)
  , forwarder_(aLoop,
               aLog,
               metrics_,
               port_.requests_,
               { settings_.retryRatio_,
                 settings_.retryExtra_,
                 settings_.failureDomain_ })
  , callers_(aLoop, forwarder_)
  , readyServer_(aLoop,
                 [this] {
                   return StatusServer::Page{ IsReady() ? 200 : 503, {} };
                 })
  , metricsServer_(aLoop,
                   [this] {
                     return StatusServer::Page{ 200, MetricsText() };
                   })
  , mesh_(aLoop,
          aLog,
          [this](const wire::Gossip& aGossip, const Endpoint& aSender) {
            OnGossip(aGossip, aSender);
          })
  , configFollower_(aLoop,
                    aLog,
                    store_,
                    port_.registry_.ConfigKind(),
                    { [this](const std::vector<StoreObject>& aObjects) {
                       std::ranges::for_each(aObjects,
                                             [this](const auto& aObject) {
                                               OnConfigObject(aObject);
                                             });
                     },
                      [this](const ObjectEvent& aEvent) {
                        if (!aEvent.removed_) {
                          OnConfigObject(aEvent.object_);
                        }
                      } })
  , backendFollower_(
      aLoop,
      aLog,
      store_,
      port_.registry_.BackendKind(),
      { [this](const std::vector<StoreObject>& aObjects) {
         OnBackendList(aObjects);
       },
        [this](const ObjectEvent& aEvent) { OnBackendEvent(aEvent); } })
  , ownFollower_(aLoop,
                 aLog,
                 store_,
                 detail::kOwnKind,
                 { [this](const std::vector<StoreObject>& aObjects) {
                    std::ranges::for_each(
                      aObjects,
                      [this](const auto& aObject) { OnOwnObject(aObject); });
                  },
                   [this](const ObjectEvent& aEvent) {
                     if (!aEvent.removed_) {
                       OnOwnObject(aEvent.object_);
                     }
                   } })
  , election_(aLoop,
              aLog,
              store_,
              mesh_,
              { settings_.instance_, bootId_ },
              { [this](int64_t aTerm) { OnElected(aTerm); },
                [this] { director_.Stop(); },
                [this] { director_.OnForeignEnded(); } })
  , director_(
      aLoop,
      aLog,
      store_,
      client_,
      port_.orders_,
      { [this] { return election_.MayOrder(); },
        [this](const std::string& aService) { OnKeysChanged(aService); },
        [this](std::string_view aCause) { election_.Resign(aCause); } })
  , gossipTimer_(aLoop, [this] { SendGossip(); })
  , housekeepTimer_(aLoop, [this] { Housekeep(); })
  , registerTimer_(aLoop, [this] { Register(); })
  , drainTimer_(aLoop, [this] { DrainTick(); })
  , onTerminate_(aLoop, SIGTERM, [this] { BeginDrain(); })
  , onInterrupt_(aLoop, SIGINT, [this] { BeginDrain(); })
  , onHangup_(aLoop, SIGHUP, std::move(aReload))
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
  FollowStore();
  Register();
  election_.Start();
  gossipTimer_.Start(detail::kGossipMs);
  housekeepTimer_.Start(detail::kHousekeepMs);
  return true;
}

void Gateway::FollowStore()
{
  store_.SetWatcher({ [this] { directory_.OnStoreDisturbed(loop_.NowMs()); },
                      [this] {
                        // Pending watches may hang on dead connections.
                        configFollower_.Refresh();
                        backendFollower_.Refresh();
                        ownFollower_.Refresh();
                      } });
  configFollower_.Start();
  backendFollower_.Start();
  ownFollower_.Start();
}

void Gateway::OnConfigObject(const StoreObject& aObject)
{
  if (aObject.name_ != port_.registry_.ConfigName()) {
    return;
  }
  Findings findings;
  auto config = port_.registry_.DecodeConfig(aObject, findings);
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
  configVersion_ = config->version_;
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
  director_.SetServices(std::move(keyed));
}

std::optional<BackendEntry> Gateway::DecodeBackend(const StoreObject& aObject)
{
  Findings findings;
  auto entry = port_.registry_.DecodeBackend(aObject, findings);
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
  std::vector<BackendEntry> entries;
  for (const auto& object : aObjects) {
    if (auto entry = DecodeBackend(object)) {
      entries.push_back(std::move(*entry));
    }
  }
  directory_.ApplyList(entries, loop_.NowMs());
  OnBackendsChanged();
}

void Gateway::OnBackendEvent(const ObjectEvent& aEvent)
{
  if (aEvent.removed_) {
    directory_.ApplyRemoved(aEvent.object_.name_, loop_.NowMs());
  } else if (auto entry = DecodeBackend(aEvent.object_)) {
    directory_.ApplyPut(*entry, loop_.NowMs());
  } else {
    // An entry that cannot be read names no server to use.
    directory_.ApplyRemoved(aEvent.object_.name_, loop_.NowMs());
  }
  log_.Write(LogLevel::Info,
             "backend-changed",
             { { "backend", aEvent.object_.name_ },
               { "removed", aEvent.removed_ ? 1 : 0 },
               { "revision", aEvent.object_.revision_ } });
  OnBackendsChanged();
}

void Gateway::OnBackendsChanged()
{
  if (directoryRevision_ == directory_.Revision()) {
    return;
  }
  directoryRevision_ = directory_.Revision();
  forwarder_.UpdateBackends(directory_.Entries());
  director_.SetBackends(directory_.Entries());
}

void Gateway::OnOwnObject(const StoreObject& aObject)
{
  if (!aObject.name_.starts_with(detail::kInstancePrefix)) {
    return;
  }
  const auto json = nlohmann::json::parse(aObject.spec_, nullptr, false);
  Endpoint endpoint;
  if (json.is_object() &&
      Endpoint::Parse(json.value("peer", std::string()), endpoint)) {
    const auto name = aObject.name_.substr(detail::kInstancePrefix.size());
    if (name != settings_.instance_) {
      mesh_.AddKnown(name, endpoint, json.value("bootId", int64_t{ 0 }));
    }
  }
}

void Gateway::ReadKeys()
{
  if (election_.HearsLeader() || readingKeys_ ||
      loop_.NowMs() - keysReadMs_ < detail::kKeysReadMs) {
    return;
  }
  readingKeys_ = true;
  keysReadMs_ = loop_.NowMs();
  store_.Call(KeyDirector::ReadTable(store_.Protocol()),
              [this](StoreAnswer aAnswer) {
                readingKeys_ = false;
                if (aAnswer.status_ == StoreStatus::Ok) {
                  OnKeyTable(aAnswer.object_);
                }
              });
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
  const auto spec = nlohmann::json{
    { "peer", settings_.peerListen_.ToText() }, { "bootId", bootId_ }
  }.dump();
  const auto finish = [this](const StoreAnswer& aAnswer) {
    if (aAnswer.status_ != StoreStatus::Ok) {
      registerTimer_.Start(detail::kRegisterRetryMs +
                           store_.Jitter(detail::kRegisterRetryMs));
    }
  };
  store_.Call(store_.Protocol().Create(detail::kOwnKind, name, spec),
              [this, name, spec, finish](StoreAnswer aAnswer) {
                if (aAnswer.status_ != StoreStatus::Conflict) {
                  finish(aAnswer);
                  return;
                }
                store_.Call(
                  store_.Protocol().Replace(detail::kOwnKind, name, spec, 0),
                  finish);
              });
}

wire::Gossip Gateway::BasicGossip() const
{
  wire::Gossip gossip;
  gossip.__set_instance(settings_.instance_);
  gossip.__set_bootId(bootId_);
  gossip.__set_term(election_.HighestTerm());
  gossip.__set_leading(election_.IsLeading());
  gossip.__set_configVersion(configVersion_);
  gossip.__set_deadTerm(election_.EndedTerm());
  return gossip;
}

void Gateway::SendGossip()
{
  gossipTimer_.Start(detail::kGossipMs);
  ++gossipRounds_;
  auto gossip = BasicGossip();
  for (const auto& suspect : forwarder_.Quarantine().Entries(loop_.NowMs())) {
    wire::SuspectRequest entry;
    entry.fingerprint = static_cast<int64_t>(suspect.fingerprint_);
    entry.crashes = suspect.crashes_;
    entry.quarantined = suspect.quarantined_;
    entry.expiresInMs = static_cast<int32_t>(suspect.expiresInMs_);
    entry.reason = suspect.reason_;
    gossip.suspects.push_back(std::move(entry));
  }
  FillLoads(gossip);
  if (election_.IsLeading()) {
    for (const auto& load : gossip.loads) {
      for (size_t index = 0; index + 1 < load.keyCounts.size(); index += 2) {
        director_.AddLoad(load.serviceName,
                          static_cast<uint32_t>(load.keyCounts[index]),
                          load.keyCounts[index + 1]);
      }
      for (const auto& backend : load.backends) {
        director_.AddWork(
          load.serviceName, backend.id, backend.workUs / 1000.0);
      }
    }
    gossip.loads.clear();
    for (const auto& [service, ownership] : director_.Ownership()) {
      FillKeys(service, gossip);
    }
    mesh_.SendToAll(gossip);
    return;
  }
  if (gossipRounds_ % detail::kFullRounds == 0 || !election_.Leader().empty()) {
    const auto leader = mesh_.Peers().find(election_.Leader());
    if (leader != mesh_.Peers().end()) {
      mesh_.SendTo(leader->second.endpoint_, gossip);
    }
  }
  if (gossipRounds_ % detail::kFullRounds == 0) {
    gossip.loads.clear();
    mesh_.SendToAll(gossip);
  }
}

void Gateway::FillLoads(wire::Gossip& aGossip)
{
  auto counts = forwarder_.TakeKeyCounts();
  for (const auto& [service, keys] : counts) {
    wire::ServiceLoad load;
    load.serviceName = service;
    for (const auto& [key, count] : keys) {
      load.keyCounts.push_back(static_cast<int32_t>(key));
      load.keyCounts.push_back(count);
    }
    for (const auto& backend : forwarder_.Pool().OfService(service)) {
      if (backend->load_.IsMeasured()) {
        wire::BackendMeasure measure;
        measure.id = backend->entry_.id_;
        constexpr double kUsPerMs = 1000;
        measure.workUs =
          static_cast<int32_t>(backend->load_.WorkMs(loop_.NowMs()) * kUsPerMs);
        load.backends.push_back(std::move(measure));
      }
    }
    aGossip.loads.push_back(std::move(load));
  }
}

void Gateway::FillKeys(const std::string& aService, wire::Gossip& aGossip)
{
  const auto found = director_.Ownership().find(aService);
  if (found == director_.Ownership().end()) {
    return;
  }
  const auto& ownership = *found->second;
  wire::OwnedKeys keys;
  keys.serviceName = aService;
  std::map<std::string, int32_t> index;
  for (size_t at = 0; at < ownership.Segments().size(); ++at) {
    const auto& segment = ownership.Segments()[at];
    const auto [entry, isNew] = index.try_emplace(
      segment.owner_, static_cast<int32_t>(keys.owners.size()));
    if (isNew) {
      keys.owners.push_back(segment.owner_);
    }
    wire::OwnedRange range;
    range.first = static_cast<int32_t>(segment.first_);
    range.last = static_cast<int32_t>(segment.last_);
    range.owner = entry->second;
    range.fence = segment.fence_;
    range.active = ownership.IsActive(at);
    keys.ranges.push_back(range);
  }
  aGossip.keys.push_back(std::move(keys));
}

void Gateway::ApplyOwnKeys(const std::string& aService)
{
  const auto found = director_.Ownership().find(aService);
  if (found == director_.Ownership().end()) {
    return;
  }
  const auto& ownership = *found->second;
  for (size_t at = 0; at < ownership.Segments().size(); ++at) {
    const auto& segment = ownership.Segments()[at];
    forwarder_.Keys().Apply(
      aService,
      { segment.first_,
        segment.last_,
        { segment.owner_, segment.fence_, ownership.IsActive(at) } });
  }
  forwarder_.OnPlacesChanged();
}

void Gateway::OnElected(int64_t aTerm)
{
  director_.Start(aTerm);
  mesh_.SendToAll(BasicGossip());
}

void Gateway::OnKeysChanged(const std::string& aService)
{
  ApplyOwnKeys(aService);
  auto gossip = BasicGossip();
  FillKeys(aService, gossip);
  mesh_.SendToAll(gossip);
}

void Gateway::OnGossip(const wire::Gossip& aGossip, const Endpoint& aSender)
{
  if (aGossip.instance == settings_.instance_) {
    return;
  }
  mesh_.NoteHeard(aGossip, aSender);
  election_.OnGossip(aGossip);
  bool changed = false;
  for (const auto& keys : aGossip.keys) {
    for (const auto& range : keys.ranges) {
      if (range.owner < 0 ||
          range.owner >= static_cast<int32_t>(keys.owners.size()) ||
          range.first < 0 || range.last < range.first ||
          range.last >= static_cast<int32_t>(kKeyCount)) {
        continue;
      }
      changed |= forwarder_.Keys().Apply(
        keys.serviceName,
        { static_cast<uint32_t>(range.first),
          static_cast<uint32_t>(range.last),
          { keys.owners[range.owner], range.fence, range.active } });
    }
  }
  if (changed) {
    forwarder_.OnPlacesChanged();
  }
  if (election_.IsLeading()) {
    for (const auto& load : aGossip.loads) {
      for (size_t index = 0; index + 1 < load.keyCounts.size(); index += 2) {
        director_.AddLoad(load.serviceName,
                          static_cast<uint32_t>(load.keyCounts[index]),
                          load.keyCounts[index + 1]);
      }
      for (const auto& backend : load.backends) {
        director_.AddWork(
          load.serviceName, backend.id, backend.workUs / 1000.0);
      }
    }
  }
  if (!aGossip.suspects.empty()) {
    std::vector<CrashSuspect> suspects;
    std::ranges::transform(
      aGossip.suspects,
      std::back_inserter(suspects),
      [](const wire::SuspectRequest& aEntry) {
        return CrashSuspect{ static_cast<uint64_t>(aEntry.fingerprint),
                             aEntry.crashes,
                             aEntry.quarantined,
                             aEntry.expiresInMs,
                             aEntry.reason };
      });
    forwarder_.Quarantine().Merge(suspects, loop_.NowMs());
  }
  if (aGossip.configVersion > configVersion_ &&
      aGossip.configVersion > hintedVersion_) {
    hintedVersion_ = aGossip.configVersion;
    configFollower_.Refresh();
  }
}

bool Gateway::IsReady() const
{
  return drainMs_ == 0 && configVersion_ > 0 && backendFollower_.IsSynced();
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
  if (directory_.Expire(nowMs)) {
    OnBackendsChanged();
  }
  forwarder_.Pool().CloseIdle();
  ReadKeys();
  forwarder_.SetGatewayCount(std::max<size_t>(mesh_.AliveCount(nowMs) + 1, 1));
  const bool ready = IsReady();
  if (ready != std::exchange(wasReady_, ready)) {
    log_.Write(LogLevel::Info,
               "ready-changed",
               { { "ready", ready ? 1 : 0 },
                 { "config_version", configVersion_ },
                 { "backends", directory_.Entries().size() } });
  }
  if (gossipRounds_ % detail::kLogReportRounds == 0) {
    log_.ReportDropped();
  }
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
  election_.Retire();
  if (election_.IsLeading() && store_.IsReachable()) {
    election_.Resign("process stops");
    mesh_.SendToAll(BasicGossip());
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
    mesh_.SendToAll(BasicGossip());
  }
  log_.Write(LogLevel::Info,
             "gateway-stopped",
             { { "active", forwarder_.ActiveRequests() },
               { "drained_ms", loop_.NowMs() - drainMs_ } });
  loop_.Stop();
}

}

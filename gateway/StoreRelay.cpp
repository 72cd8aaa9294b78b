#include "gateway/StoreRelay.hpp"

#include "common/JsonText.hpp"
#include "common/NameCheck.hpp"
#include "gateway/Compression.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

/// Watchers receive a response of the store each second. An older one does not
/// show that the store is still reachable.
constexpr TimeMs kMaxResponseAgeMs = 2200;
/// A gateway that became a watcher remains one for at least this long.
constexpr TimeMs kMinWatchMs = 5000;
/// The datagram with the digest also carries the changes. If the digests still
/// differ after this time, a datagram was lost and the directory is fetched.
constexpr TimeMs kResyncDelayMs = 300;
/// The same for a watcher, which batches changes for 200 ms and may wait 300 ms
/// for a slow store.
constexpr TimeMs kWatcherResyncDelayMs = 500;
/// Several times the size of the largest configuration in the requirements.
constexpr size_t kMaxConfigBytes = 64 << 20;
constexpr TimeMs kRelayTimeoutMs = 700;
/// The leader's reports remain valid across two lost heartbeats.
constexpr TimeMs kLeaderStateMaxAgeMs = 800;
/// A leader that has been without the store for this long while others reach it
/// resigns, since it cannot move keys.
constexpr TimeMs kLeaderWithoutStoreMs = 900;
constexpr TimeMs kProbeIntervalMs = 2000;
/// A starting gateway waits this long for the store's directory before it
/// fetches the directory of a peer.
constexpr TimeMs kStoreReadGraceMs = 600;
/// Time for a starting gateway to receive gossip of the leader and the others.
constexpr TimeMs kDiscoveryMs = 1500;
/// Without a leader, other watchers are selected at this interval.
constexpr TimeMs kSampleIntervalMs = 2000;

/// Places in an entry of a directory as JSON.
constexpr size_t kColdIndex = 7;
constexpr size_t kRevisionIndex = 8;
constexpr size_t kGraceIndex = 9;

/// Store revision of a change. Earlier versions do not send it.
int64_t ChangeRevision(const wire::BackendChange& aChange,
                       const wire::Gossip& aGossip)
{
  return aChange.revision != 0 ? aChange.revision : aGossip.directoryRevision;
}

BackendEntry EntryFromChange(const wire::BackendChange& aChange,
                             const wire::Gossip& aGossip)
{
  BackendEntry entry;
  entry.id_ = aChange.id;
  entry.service_ = aChange.serviceName;
  entry.address_ = aChange.address;
  entry.failureDomain_ = aChange.failureDomain;
  entry.slots_ = aChange.slots;
  entry.state_ =
    aChange.draining ? BackendState::Draining : BackendState::Ready;
  entry.coldRemainingMs_ = aChange.coldMs;
  entry.startTimeMs_ = aChange.bornMs;
  entry.revision_ = ChangeRevision(aChange, aGossip);
  return entry;
}

RemovedBackend RemovalFromChange(const wire::BackendChange& aChange,
                                 const wire::Gossip& aGossip)
{
  return { aChange.id,
           ChangeRevision(aChange, aGossip),
           std::max<TimeMs>(aChange.graceMs, 0) };
}

Json EntryToJson(const BackendEntry& aEntry, TimeMs aNowMs)
{
  return Json::array({ aEntry.id_,
                       aEntry.service_,
                       aEntry.address_,
                       aEntry.failureDomain_,
                       aEntry.slots_,
                       EnumName(aEntry.state_),
                       aEntry.startTimeMs_,
                       std::max<TimeMs>(aEntry.coldUntilMs_ - aNowMs, 0),
                       aEntry.revision_ });
}

/// Throws if a field is missing or of another type.
BackendEntry EntryFromJson(const Json& aJson)
{
  BackendEntry entry;
  entry.id_ = aJson.at(0).get<std::string>();
  entry.service_ = aJson.at(1).get<std::string>();
  entry.address_ = aJson.at(2).get<std::string>();
  entry.failureDomain_ = aJson.at(3).get<std::string>();
  entry.slots_ = aJson.at(4).get<int>();
  entry.state_ = ParseEnum<BackendState>(aJson.at(5).get<std::string>())
                   .value_or(BackendState::Draining);
  entry.startTimeMs_ = aJson.at(6).get<int64_t>();
  // Earlier versions don't send the further fields.
  if (aJson.size() > kColdIndex) {
    entry.coldRemainingMs_ = aJson.at(kColdIndex).get<TimeMs>();
  }
  if (aJson.size() > kRevisionIndex) {
    entry.revision_ = aJson.at(kRevisionIndex).get<int64_t>();
  }
  return entry;
}

bool IsValid(const BackendEntry& aEntry)
{
  Endpoint endpoint;
  return IsName(aEntry.id_) && IsName(aEntry.service_) &&
         IsName(aEntry.failureDomain_) &&
         Endpoint::Parse(aEntry.address_, endpoint);
}

/// Empty if the entry names no server.
std::optional<BackendEntry> ReadEntry(const Json& aJson)
{
  try {
    auto entry = EntryFromJson(aJson);
    return IsValid(entry) ? std::optional(std::move(entry)) : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

/// The grace period stands behind the fields of the entry; 0 if it is none.
TimeMs ReadGraceMs(const Json& aJson)
{
  const bool isGiven = aJson.is_array() && aJson.size() > kGraceIndex &&
                       aJson[kGraceIndex].is_number_integer();
  return isGiven ? aJson[kGraceIndex].get<TimeMs>() : 0;
}

/// Throws if a part of the directory as a whole is missing. Entries that name
/// no server are left out.
DirectorySnapshot SnapshotFromJson(const Json& aJson)
{
  DirectorySnapshot snapshot;
  snapshot.revision_ = aJson.at("revision").get<int64_t>();
  for (const auto& server : aJson.at("servers")) {
    if (auto entry = ReadEntry(server)) {
      snapshot.registered_.push_back(std::move(*entry));
    }
  }
  // Earlier versions don't send it.
  const auto missing = aJson.find("missing");
  if (missing == aJson.end()) {
    return snapshot;
  }
  for (const auto& server : *missing) {
    const auto graceMs = ReadGraceMs(server);
    auto entry = ReadEntry(server);
    if (entry && graceMs > 0) {
      snapshot.missing_.push_back({ std::move(*entry), graceMs });
    }
  }
  return snapshot;
}

}

StoreRelay::StoreRelay(EventLoop& aLoop,
                       EventLog& aLog,
                       HttpClient& aClient,
                       const StoreClient& aStore,
                       const PeerMesh& aMesh,
                       const LeaderElection& aElection,
                       const BackendDirectory& aDirectory,
                       std::string aSelf,
                       int aCpuPercent,
                       Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , client_(aClient)
  , store_(aStore)
  , mesh_(aMesh)
  , election_(aElection)
  , directory_(aDirectory)
  , self_(std::move(aSelf))
  , cpuPercent_(aCpuPercent)
  , handlers_(std::move(aHandlers))
  , startedMs_(aLoop.NowMs())
  , storeOkMs_(aLoop.NowMs())
{
}

bool StoreRelay::IsStoreOk() const
{
  return watching_ && store_.IsReachable() &&
         store_.ResponseAgeMs() < detail::kMaxResponseAgeMs;
}

size_t StoreRelay::Rank() const
{
  const TimeMs nowMs = loop_.NowMs();
  const auto own = std::pair(-cpuPercent_, self_);
  return std::ranges::count_if(mesh_.Peers(), [&](const auto& aEntry) {
    return mesh_.IsAlive(aEntry.second, nowMs) &&
           aEntry.first != election_.Leader() &&
           std::pair(-aEntry.second.cpuPercent_, aEntry.first) < own;
  });
}

bool StoreRelay::IsSampled(size_t aWanted) const
{
  const auto sample = XXH3_64bits_withSeed(
    self_.data(),
    self_.size(),
    static_cast<uint64_t>(loop_.NowMs() / detail::kSampleIntervalMs));
  return sample % (mesh_.Peers().size() + 1) < aWanted;
}

size_t StoreRelay::WantedWatchers(TimeMs aUnreachableMs, size_t aGateways)
{
  if (aUnreachableMs < kWidenAfterMs) {
    return std::min(kWatchers, aGateways);
  }
  if (aUnreachableMs < 2 * kWidenAfterMs) {
    const auto third = std::max(kMinWidenedWatchers, aGateways / kWatchers);
    return std::min({ third, kMaxWidenedWatchers, aGateways });
  }
  return std::min(kMaxWatchers, aGateways);
}

void StoreRelay::Update()
{
  const TimeMs nowMs = loop_.NowMs();
  if (store_.IsReachable()) {
    peerRegainedMs_ = 0;
  }
  if (IsStoreOk()) {
    storeOkMs_ = std::max(storeOkMs_, nowMs - store_.ResponseAgeMs());
  }
  const TimeMs unreachableMs = nowMs - storeOkMs_;
  const auto watchers =
    WantedWatchers(unreachableMs, mesh_.AliveCount(nowMs) + 1);
  const bool hearsLeader = election_.HearsLeader();
  const auto rank = Rank();
  const bool selected = mesh_.IsLarge() && !hearsLeader
                          ? IsSampled(watchers)
                          : rank < watchers || !hearsLeader;
  if (unreachableMs >= kWidenAfterMs && selected) {
    watchUntilMs_ = nowMs + detail::kMinWatchMs;
  }
  // The leader is always a watcher. A starting gateway has read all kinds once
  // and first waits for gossip of a leader.
  const bool regular = hearsLeader && rank + 1 < kWatchers;
  const bool discoveryDone = nowMs - startedMs_ >= detail::kDiscoveryMs;
  const bool watch = election_.IsLeading() ||
                     (discoveryDone && (regular || nowMs < watchUntilMs_ ||
                                        (!hearsLeader && selected)));
  // While the store is unreachable, watching the configuration is enough to see
  // its return.
  const bool all = watch && (regular || election_.IsLeading() || IsStoreOk());
  if (watch != watching_ || all != watchingAll_) {
    watching_ = watch;
    watchingAll_ = all;
    log_.Write(LogLevel::Info,
               "store-watch-changed",
               { { "watching", watch ? 1 : 0 },
                 { "all_kinds", all ? 1 : 0 },
                 { "leader", election_.Leader() },
                 { "store_ok_age_ms", nowMs - storeOkMs_ } });
    handlers_.setWatching_(watch, all);
  }
}

bool StoreRelay::ShouldResign() const
{
  // After an outage, the first gateways reach the store before this one tries
  // again, so a call must have failed that was sent after their responses.
  return store_.UnreachableForMs() > detail::kLeaderWithoutStoreMs &&
         peerRegainedMs_ != 0 && store_.LastFailedSentMs() >= peerRegainedMs_;
}

void StoreRelay::TrackPeersStore(TimeMs aResponseMs)
{
  const TimeMs nowMs = loop_.NowMs();
  if (store_.IsReachable()) {
    peerRegainedMs_ = 0;
    return;
  }
  // An open watch of the peer is not sufficient: the peer must have received a
  // response since this gateway lost the store.
  const TimeMs lostMs = nowMs - store_.UnreachableForMs();
  if (peerRegainedMs_ == 0 &&
      aResponseMs > lostMs + detail::kLeaderStateMaxAgeMs / 2) {
    peerRegainedMs_ = nowMs;
    if (election_.IsLeading()) {
      handlers_.probeStore_();
    }
  }
}

void StoreRelay::AddStoreState(wire::Gossip& aGossip) const
{
  aGossip.storeOk = IsStoreOk();
  constexpr TimeMs kLongestAgeMs = 1000000;
  aGossip.storeAgeMs =
    static_cast<int32_t>(std::min(store_.ResponseAgeMs(), kLongestAgeMs));
  // Without a revision servers may be missing here, and after a list that was
  // cut short the entries are of different revisions.
  const bool isAuthority = IsStoreOk() && watchingAll_ &&
                           directory_.Revision() != 0 &&
                           !handlers_.isDirectoryPartial_();
  aGossip.directoryDigest = isAuthority ? directory_.Digest() : 0;
  aGossip.directoryRevision = directory_.Revision();
}

void StoreRelay::AddChange(const BackendEntry& aEntry, wire::Gossip& aGossip)
{
  wire::BackendChange change;
  change.id = aEntry.id_;
  change.serviceName = aEntry.service_;
  change.address = aEntry.address_;
  change.failureDomain = aEntry.failureDomain_;
  change.slots = aEntry.slots_;
  change.draining = aEntry.state_ == BackendState::Draining;
  change.coldMs = static_cast<int32_t>(aEntry.coldRemainingMs_);
  change.bornMs = aEntry.startTimeMs_;
  change.revision = aEntry.revision_;
  aGossip.changes.push_back(std::move(change));
}

void StoreRelay::AddRemoval(const RemovedBackend& aRemoved,
                            wire::Gossip& aGossip)
{
  wire::BackendChange change;
  change.id = aRemoved.id_;
  change.removed = true;
  change.revision = aRemoved.revision_;
  change.graceMs = static_cast<int32_t>(aRemoved.graceMs_);
  aGossip.changes.push_back(std::move(change));
}

void StoreRelay::OnGossip(const wire::Gossip& aGossip, const Endpoint& aSender)
{
  const TimeMs nowMs = loop_.NowMs();
  if (aGossip.storeOk) {
    storeOkMs_ = std::max(storeOkMs_, nowMs - aGossip.storeAgeMs);
    TrackPeersStore(nowMs - aGossip.storeAgeMs);
    if (aGossip.leading) {
      leaderStoreOkMs_ = nowMs;
      leaderRevision_ = aGossip.directoryRevision;
    }
  }
  if (aGossip.leading && !aGossip.storeOk && IsStoreOk() &&
      store_.ResponseAgeMs() > detail::kLeaderStateMaxAgeMs &&
      nowMs - probedMs_ > detail::kProbeIntervalMs) {
    // The leader has lost the store. Find out if it is unreachable from here as
    // well, or if another gateway should lead.
    probedMs_ = nowMs;
    handlers_.probeStore_();
  }
  const Endpoint status{ aSender.ip_,
                         static_cast<uint16_t>(aGossip.statusPort) };
  if (aGossip.configVersion > handlers_.configVersion_()) {
    FetchConfig(status, aGossip.configVersion);
  }
  if (!handlers_.hasDirectory_() && aGossip.directoryRevision != 0 &&
      nowMs - startedMs_ > detail::kStoreReadGraceMs) {
    // The list could not be read from the store since the start, so the
    // possibly outdated directory of a peer is used. A peer without a revision
    // has none.
    FetchDirectory(status);
    return;
  }
  if (!aGossip.storeOk) {
    return;
  }
  if (watchingAll_) {
    for (const auto& change : aGossip.changes) {
      // A grace period is a precaution of the sender and confirms nothing.
      if (change.removed && change.graceMs <= 0) {
        handlers_.onRemovalSeen_(detail::RemovalFromChange(change, aGossip));
      }
    }
    SyncWithNewerWatcher(aGossip, status);
    return;
  }
  // A sender that is cut off from the store sends outdated states.
  if (aGossip.directoryRevision < directory_.Revision()) {
    return;
  }
  for (const auto& change : aGossip.changes) {
    if (change.removed) {
      handlers_.onRemoved_(detail::RemovalFromChange(change, aGossip));
    } else {
      handlers_.onBackend_(detail::EntryFromChange(change, aGossip));
    }
  }
  if (!aGossip.changes.empty()) {
    handlers_.onRevision_(aGossip.directoryRevision);
  }
  // Earlier versions count removed servers that they keep for a grace period.
  // The leader's digest takes precedence while the leader is a watcher.
  if (aGossip.directoryDigest == 0 ||
      (!aGossip.leading &&
       nowMs - leaderStoreOkMs_ < detail::kLeaderStateMaxAgeMs &&
       aGossip.directoryRevision <= leaderRevision_)) {
    return;
  }
  if (aGossip.directoryDigest == directory_.Digest()) {
    behindSinceMs_ = 0;
  } else if (behindSinceMs_ == 0) {
    behindSinceMs_ = nowMs;
  } else if (nowMs - behindSinceMs_ >= detail::kResyncDelayMs) {
    FetchDirectory(status);
  }
}

void StoreRelay::SyncWithNewerWatcher(const wire::Gossip& aGossip,
                                      const Endpoint& aStatus)
{
  if (directory_.Revision() >= behindRevision_) {
    behindSinceMs_ = 0;
  }
  if (aGossip.directoryRevision <= directory_.Revision() ||
      aGossip.directoryDigest == 0 ||
      aGossip.directoryDigest == directory_.Digest()) {
    return;
  }
  if (behindSinceMs_ == 0) {
    behindSinceMs_ = loop_.NowMs();
    behindRevision_ = aGossip.directoryRevision;
  } else if (loop_.NowMs() - behindSinceMs_ >= detail::kWatcherResyncDelayMs) {
    log_.Write(
      LogLevel::Info,
      "store-watch-behind",
      { { "revision", RevisionNumber(directory_.Revision()) },
        { "peer_revision", RevisionNumber(aGossip.directoryRevision) } });
    FetchDirectory(aStatus);
  }
}

void StoreRelay::FetchDirectory(const Endpoint& aPeer)
{
  if (std::exchange(fetchingDirectory_, true)) {
    return;
  }
  CallRequest request;
  request.method_ = "GET";
  request.target_ = "/directory";
  request.timeoutMs_ = detail::kRelayTimeoutMs;
  client_.Call(aPeer, request, [this](const CallResult& aResult) {
    fetchingDirectory_ = false;
    behindSinceMs_ = 0;
    if (aResult.outcome_ != CallOutcome::Completed ||
        aResult.head_.status_ != 200) {
      return;
    }
    try {
      const auto snapshot =
        detail::SnapshotFromJson(ParseJson(aResult.body_).value_or(nullptr));
      const bool isNewer = snapshot.revision_ > directory_.Revision();
      const bool isComplete = watchingAll_ && handlers_.hasDirectory_();
      if (isNewer ||
          (!isComplete && snapshot.revision_ == directory_.Revision())) {
        handlers_.onDirectory_(snapshot);
      }
    } catch (const detail::Json::exception& error) {
      log_.Write(LogLevel::Error,
                 "relayed-directory-unreadable",
                 { { "error", error.what() } });
    }
  });
}

void StoreRelay::FetchConfig(const Endpoint& aPeer, int64_t aVersion)
{
  if (std::exchange(fetchingConfig_, true)) {
    return;
  }
  CallRequest request;
  request.method_ = "GET";
  request.target_ = "/config";
  request.timeoutMs_ = detail::kRelayTimeoutMs;
  client_.Call(aPeer, request, [this, aVersion](const CallResult& aResult) {
    fetchingConfig_ = false;
    if (aResult.outcome_ == CallOutcome::Completed &&
        aResult.head_.status_ == 200) {
      const auto text = Decompress(aResult.body_, detail::kMaxConfigBytes);
      handlers_.onConfig_(ParseJson(text.value_or("")).value_or(nullptr),
                          aResult.body_);
    }
    if (handlers_.configVersion_() < aVersion) {
      handlers_.fetchConfigFromStore_();
    }
  });
}

std::string StoreRelay::DirectoryJson() const
{
  const TimeMs nowMs = loop_.NowMs();
  const auto snapshot = directory_.Snapshot(nowMs);
  auto servers = detail::Json::array();
  for (const auto& entry : snapshot.registered_) {
    servers.push_back(detail::EntryToJson(entry, nowMs));
  }
  auto missing = detail::Json::array();
  for (const auto& [entry, graceMs] : snapshot.missing_) {
    missing.push_back(detail::EntryToJson(entry, nowMs));
    missing.back().push_back(graceMs);
  }
  return WriteJson({ { "revision", snapshot.revision_ },
                     { "servers", std::move(servers) },
                     { "missing", std::move(missing) } });
}

}

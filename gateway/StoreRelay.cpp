#include "gateway/StoreRelay.hpp"

#include "gateway/Compression.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

/// Watchers have an answer of the store each second; older ones prove nothing.
constexpr TimeMs kProofMs = 2200;
/// A gateway that joined the watchers stays for this long.
constexpr TimeMs kWatchHoldMs = 5000;
/// Changes come with the digest; what is lost is asked for after this.
constexpr TimeMs kBehindMs = 300;
/// Watchers gather changes for 200 ms, and a slow store answers after 300 ms.
constexpr TimeMs kWatcherBehindMs = 500;
/// Several times the largest configuration of the design size.
constexpr size_t kMaxConfigBytes = 64 << 20;
constexpr TimeMs kRelayTimeoutMs = 700;
/// Two lost heartbeats of the leader.
constexpr TimeMs kLeaderWordMs = 800;
/// A leader without the store, while others reach it, can move no keys.
constexpr TimeMs kLeaderWithoutStoreMs = 900;
constexpr TimeMs kProbeMs = 2000;
/// A starting gateway asks the store first.
constexpr TimeMs kStoreFirstMs = 600;
/// Time for a starting gateway to hear of the others and of the leader.
constexpr TimeMs kMeetMs = 1500;
/// Without a leader, others are drawn to watch this often.
constexpr TimeMs kDrawMs = 2000;

BackendEntry EntryFromChange(const wire::BackendChange& aChange)
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
  entry.bornMs_ = aChange.bornMs;
  return entry;
}

Json EntryToJson(const BackendEntry& aEntry)
{
  return Json::array({ aEntry.id_,
                       aEntry.service_,
                       aEntry.address_,
                       aEntry.failureDomain_,
                       aEntry.slots_,
                       EnumName(aEntry.state_),
                       aEntry.bornMs_ });
}

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
  entry.bornMs_ = aJson.at(6).get<int64_t>();
  return entry;
}

}

StoreRelay::StoreRelay(EventLoop& aLoop,
                       EventLog& aLog,
                       HttpClient& aClient,
                       const StoreLink& aStore,
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
         store_.AnswerAgeMs() < detail::kProofMs;
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

bool StoreRelay::IsDrawn(size_t aWanted) const
{
  const auto draw = XXH3_64bits_withSeed(
    self_.data(),
    self_.size(),
    static_cast<uint64_t>(loop_.NowMs() / detail::kDrawMs));
  return draw % (mesh_.Peers().size() + 1) < aWanted;
}

size_t StoreRelay::WantedWatchers(TimeMs aLostMs, size_t aGateways)
{
  if (aLostMs < kWidenMs) {
    return std::min(kWatchers, aGateways);
  }
  if (aLostMs < 2 * kWidenMs) {
    const auto part = std::max(kMinWidened, aGateways / kWatchers);
    return std::min({ part, kMaxWidened, aGateways });
  }
  return std::min(kMaxWatchers, aGateways);
}

void StoreRelay::Update()
{
  const TimeMs nowMs = loop_.NowMs();
  if (IsStoreOk()) {
    storeOkMs_ = std::max(storeOkMs_, nowMs - store_.AnswerAgeMs());
  }
  const TimeMs lostMs = nowMs - storeOkMs_;
  const auto watchers = WantedWatchers(lostMs, mesh_.AliveCount(nowMs) + 1);
  const bool hearsLeader = election_.HearsLeader();
  const auto rank = Rank();
  const bool drawn = mesh_.IsLarge() && !hearsLeader
                       ? IsDrawn(watchers)
                       : rank < watchers || !hearsLeader;
  if (lostMs >= kWidenMs && drawn) {
    watchUntilMs_ = nowMs + detail::kWatchHoldMs;
  }
  // The leader is one of the watchers, whatever its rank. A starting gateway
  // has read all kinds and waits to hear of a leader.
  const bool regular = hearsLeader && rank + 1 < kWatchers;
  const bool met = nowMs - startedMs_ >= detail::kMeetMs;
  const bool watch =
    election_.IsLeading() ||
    (met && (regular || nowMs < watchUntilMs_ || (!hearsLeader && drawn)));
  // The configuration alone shows whether the store is back.
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
  const TimeMs nowMs = loop_.NowMs();
  const TimeMs lostForMs = store_.LostForMs();
  // An open watch proves nothing: the peer must have had an answer since.
  return lostForMs > detail::kLeaderWithoutStoreMs &&
         peerAnsweredMs_ > nowMs - lostForMs + detail::kLeaderWordMs / 2;
}

void StoreRelay::Fill(wire::Gossip& aGossip) const
{
  aGossip.storeOk = IsStoreOk();
  constexpr TimeMs kLongestAgeMs = 1000000;
  aGossip.storeAgeMs =
    static_cast<int32_t>(std::min(store_.AnswerAgeMs(), kLongestAgeMs));
  aGossip.directoryDigest =
    IsStoreOk() && watchingAll_ ? directory_.Digest() : 0;
  aGossip.directoryRevision = directory_.Revision();
}

void StoreRelay::AddChange(const BackendEntry& aEntry,
                           bool aRemoved,
                           wire::Gossip& aGossip)
{
  wire::BackendChange change;
  change.id = aEntry.id_;
  change.removed = aRemoved;
  change.serviceName = aEntry.service_;
  change.address = aEntry.address_;
  change.failureDomain = aEntry.failureDomain_;
  change.slots = aEntry.slots_;
  change.draining = aEntry.state_ == BackendState::Draining;
  change.coldMs = static_cast<int32_t>(aEntry.coldRemainingMs_);
  change.bornMs = aEntry.bornMs_;
  aGossip.changes.push_back(std::move(change));
}

void StoreRelay::OnGossip(const wire::Gossip& aGossip, const Endpoint& aSender)
{
  const TimeMs nowMs = loop_.NowMs();
  if (aGossip.storeOk) {
    storeOkMs_ = std::max(storeOkMs_, nowMs - aGossip.storeAgeMs);
    peerAnsweredMs_ = std::max(peerAnsweredMs_, nowMs - aGossip.storeAgeMs);
    if (aGossip.leading) {
      leaderStoreOkMs_ = nowMs;
      leaderRevision_ = aGossip.directoryRevision;
    }
  }
  if (aGossip.leading && !aGossip.storeOk && IsStoreOk() &&
      store_.AnswerAgeMs() > detail::kLeaderWordMs &&
      nowMs - probedMs_ > detail::kProbeMs) {
    // Whether the store is away for all decides who should lead.
    probedMs_ = nowMs;
    handlers_.probeStore_();
  }
  const Endpoint status{ aSender.ip_,
                         static_cast<uint16_t>(aGossip.statusPort) };
  if (aGossip.configVersion > handlers_.configVersion_()) {
    AskForConfig(status, aGossip.configVersion);
  }
  if (!handlers_.hasDirectory_() &&
      nowMs - startedMs_ > detail::kStoreFirstMs) {
    // Started while the store is away: what a peer knows is better than
    // nothing.
    AskForDirectory(status);
    return;
  }
  if (!aGossip.storeOk) {
    return;
  }
  if (watchingAll_) {
    for (const auto& change : aGossip.changes) {
      if (change.removed) {
        handlers_.onRemovalSeen_(change.id);
      }
    }
    FollowNewerWatcher(aGossip, status);
    return;
  }
  // A sender that is cut off from the store tells states that are over.
  if (aGossip.directoryRevision < directory_.Revision()) {
    return;
  }
  for (const auto& change : aGossip.changes) {
    handlers_.onBackend_(detail::EntryFromChange(change), change.removed);
  }
  if (!aGossip.changes.empty()) {
    handlers_.onRevision_(aGossip.directoryRevision);
  }
  // Watchers of one revision may differ in what they keep in its grace time;
  // the leader's word counts where it has one.
  if (aGossip.directoryDigest == 0 ||
      (!aGossip.leading && nowMs - leaderStoreOkMs_ < detail::kLeaderWordMs &&
       aGossip.directoryRevision <= leaderRevision_)) {
    return;
  }
  if (aGossip.directoryDigest == directory_.Digest()) {
    behindMs_ = 0;
  } else if (behindMs_ == 0) {
    behindMs_ = nowMs;
  } else if (nowMs - behindMs_ >= detail::kBehindMs) {
    AskForDirectory(status);
  }
}

void StoreRelay::FollowNewerWatcher(const wire::Gossip& aGossip,
                                    const Endpoint& aStatus)
{
  if (directory_.Revision() >= behindRevision_) {
    behindMs_ = 0;
  }
  if (aGossip.directoryRevision <= directory_.Revision() ||
      aGossip.directoryDigest == 0 ||
      aGossip.directoryDigest == directory_.Digest()) {
    return;
  }
  if (behindMs_ == 0) {
    behindMs_ = loop_.NowMs();
    behindRevision_ = aGossip.directoryRevision;
  } else if (loop_.NowMs() - behindMs_ >= detail::kWatcherBehindMs) {
    log_.Write(LogLevel::Info,
               "store-watch-behind",
               { { "revision", directory_.Revision() },
                 { "peer_revision", aGossip.directoryRevision } });
    AskForDirectory(aStatus);
  }
}

void StoreRelay::AskForDirectory(const Endpoint& aPeer)
{
  if (std::exchange(asking_, true)) {
    return;
  }
  CallRequest request;
  request.method_ = "GET";
  request.target_ = "/directory";
  request.timeoutMs_ = detail::kRelayTimeoutMs;
  client_.Call(aPeer, request, [this](const CallResult& aResult) {
    asking_ = false;
    behindMs_ = 0;
    if (aResult.outcome_ != CallOutcome::Completed ||
        aResult.head_.status_ != 200) {
      return;
    }
    try {
      const auto json = detail::Json::parse(aResult.body_);
      std::vector<BackendEntry> entries;
      std::ranges::transform(
        json.at("servers"), std::back_inserter(entries), detail::EntryFromJson);
      const auto revision = json.at("revision").get<int64_t>();
      const bool isNewer = revision > directory_.Revision();
      const bool isComplete = watchingAll_ && handlers_.hasDirectory_();
      if (isNewer || (!isComplete && revision == directory_.Revision())) {
        handlers_.onDirectory_(entries, revision);
      }
    } catch (const detail::Json::exception& error) {
      log_.Write(LogLevel::Error,
                 "relayed-directory-unreadable",
                 { { "error", error.what() } });
    }
  });
}

void StoreRelay::AskForConfig(const Endpoint& aPeer, int64_t aVersion)
{
  if (std::exchange(askingConfig_, true)) {
    return;
  }
  CallRequest request;
  request.method_ = "GET";
  request.target_ = "/config";
  request.timeoutMs_ = detail::kRelayTimeoutMs;
  client_.Call(aPeer, request, [this, aVersion](const CallResult& aResult) {
    askingConfig_ = false;
    if (aResult.outcome_ == CallOutcome::Completed &&
        aResult.head_.status_ == 200) {
      const auto text = Decompress(aResult.body_, detail::kMaxConfigBytes);
      const auto json = detail::Json::parse(text.value_or(""), nullptr, false);
      handlers_.onConfig_(json, aResult.body_);
    }
    if (handlers_.configVersion_() < aVersion) {
      handlers_.askStoreForConfig_();
    }
  });
}

std::string StoreRelay::DirectoryText() const
{
  auto json = detail::Json::array();
  for (const auto& [id, entry] : directory_.Entries()) {
    json.push_back(detail::EntryToJson(entry));
  }
  return detail::Json{
    { "revision", directory_.Revision() }, { "servers", std::move(json) }
  }.dump();
}

}

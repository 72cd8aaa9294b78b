#include "gateway/GossipAgent.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace detail {

/// A leader is replaced after three lost datagrams
/// (LeaderTiming::kElectionTimeoutMs).
constexpr TimeMs kGossipIntervalMs = 250;
/// Followers send to all gateways every this many rounds, and only to the
/// leader in between.
constexpr uint64_t kFullGossipRounds = 4;
/// The leader sends the loads every this many rounds: 3 KB for 350 servers.
constexpr uint64_t kLoadRounds = 2;
/// Changes of owners come in groups, because a move affects two servers.
constexpr TimeMs kKeyChangeDelayMs = 10;
/// Minimum interval at which the leader of a large fleet sends all owners to
/// all gateways while some request them.
constexpr TimeMs kAllKeysIntervalMs = 500;
constexpr size_t kLoadFields = 3;
/// Notices of servers are batched for this time, because many servers may send
/// them at once.
constexpr TimeMs kServerNoticeDelayMs = 5;
/// Servers in each datagram that announced their shutdown: half a kilobyte.
constexpr size_t kMaxLeavingServers = 100;
/// Registrations in one datagram: about one kilobyte.
constexpr size_t kMaxRegistrations = 12;
/// Cold servers in one datagram: less than half a kilobyte.
constexpr size_t kMaxColdNotices = 32;
constexpr double kUsPerMs = 1000;
constexpr double kAdmissionScale = 1000;
/// Gateways to which a follower in a large fleet sends each second. They are
/// enough to notice isolation while there is no leader.
constexpr size_t kGossipFanOut = 8;
/// Followers in a large fleet report to the leader every this many rounds.
constexpr uint64_t kLargeReportRounds = 2;

}

GossipAgent::GossipAgent(EventLoop& aLoop,
                         Self aSelf,
                         PeerMesh& aMesh,
                         LeaderElection& aElection,
                         KeyCoordinator& aCoordinator,
                         FleetLoadTable& aFleetLoads,
                         StoreRelay& aRelay,
                         Forwarder& aForwarder,
                         LimitGossip& aLimits,
                         SlotExchange& aSlots,
                         EvacuationWatch& aEvacuations,
                         Handlers aHandlers)
  : loop_(aLoop)
  , self_(std::move(aSelf))
  , mesh_(aMesh)
  , election_(aElection)
  , coordinator_(aCoordinator)
  , fleetLoads_(aFleetLoads)
  , relay_(aRelay)
  , forwarder_(aForwarder)
  , limits_(aLimits)
  , slots_(aSlots)
  , evacuations_(aEvacuations)
  , handlers_(std::move(aHandlers))
  , timer_(aLoop, [this] { Tick(); })
  , keyChangeTimer_(aLoop, [this] { SendKeyChanges(); })
  , suspects_(aForwarder.Crashes().Quarantine())
  , suspectTimer_(aLoop, [this] { SendSuspects(); })
  , serverNoticeTimer_(aLoop, [this] {
    auto gossip = MakeGossip();
    FillColdServers(gossip);
    SendToLeaderOrAll(gossip);
  })
{
}

void GossipAgent::Start()
{
  timer_.Start(detail::kGossipIntervalMs);
  mesh_.SendToAll(MakeGossip());
}

wire::Gossip GossipAgent::MakeGossip()
{
  auto gossip = MakeBriefGossip();
  gossip.leavingServers = handlers_.leavingServers_(detail::kMaxLeavingServers);
  limits_.AddNotices(gossip);
  return gossip;
}

wire::Gossip GossipAgent::MakeBriefGossip()
{
  wire::Gossip gossip;
  gossip.instance = self_.instance_;
  gossip.failureDomain = self_.failureDomain_;
  gossip.bootId = self_.bootId_;
  gossip.cpuPercent = self_.cpuPercent_;
  gossip.term = election_.HighestTerm();
  gossip.leading = election_.IsLeading();
  gossip.configVersion = handlers_.configVersion_();
  gossip.deadTerm = election_.EndedTerm();
  gossip.statusPort = self_.statusPort_;
  gossip.stopping = stopping_;
  gossip.suspectDigest = static_cast<int64_t>(suspects_.Digest(loop_.NowMs()));
  evacuations_.AddState(gossip);
  relay_.AddStoreState(gossip);
  return gossip;
}

void GossipAgent::Tick()
{
  timer_.Start(detail::kGossipIntervalMs);
  ++rounds_;
  auto gossip = MakeGossip();
  FillColdServers(gossip);
  if (election_.IsLeading()) {
    SendAsLeader(gossip);
  } else {
    SendAsFollower(gossip);
  }
}

void GossipAgent::SendAsLeader(wire::Gossip& aGossip)
{
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& [service, keys] : forwarder_.TakeKeyCounts()) {
    for (const auto& [key, count] : keys) {
      coordinator_.AddLoad(service, key, count);
    }
  }
  for (const auto& report : forwarder_.Pool().TakeLoadReports()) {
    fleetLoads_.Add(report, nowMs);
  }
  for (const auto& [service, ownership] : coordinator_.Ownership()) {
    aGossip.keys.push_back(keyGossip_.NextSlice(service, *ownership));
  }
  if (rounds_ % detail::kLoadRounds == 0) {
    const auto changed = fleetLoads_.TakeChanged(nowMs);
    std::ranges::for_each(changed, [&](const FleetLoadEntry& aEntry) {
      forwarder_.Pool().ApplySharedLoad(aEntry);
    });
    FillLoads(changed, aGossip);
    FillAdmissions(aGossip);
  }
  if (mesh_.IsLarge() && rounds_ % detail::kFullGossipRounds == 0) {
    aGossip.members = mesh_.MemberHashes(nowMs);
  }
  mesh_.SendToAll(aGossip);
}

void GossipAgent::SendAsFollower(wire::Gossip& aGossip)
{
  const bool full = rounds_ % detail::kFullGossipRounds == 0;
  const auto leader = mesh_.Peers().find(election_.Leader());
  if (full) {
    // In a large fleet the leader lists the living gateways, so only watchers
    // of the store send to all.
    if (!mesh_.IsLarge() || aGossip.storeOk) {
      mesh_.SendToAll(aGossip);
    } else {
      mesh_.SendToRandom(aGossip, detail::kGossipFanOut);
    }
  }
  const bool skipsReport =
    mesh_.IsLarge() && rounds_ % detail::kLargeReportRounds != 0;
  if (leader == mesh_.Peers().end() || skipsReport) {
    return;
  }
  FillKeyCounts(aGossip);
  FillLoads(forwarder_.Pool().TakeLoadReports(), aGossip);
  // Only every few rounds, because the keys may already be on the way.
  aGossip.wantsKeys = full && !KnowsAllKeys();
  mesh_.SendTo(leader->second.endpoint_, aGossip);
}

bool GossipAgent::KnowsAllKeys() const
{
  const auto routes = forwarder_.Routes();
  return routes != nullptr &&
         std::ranges::all_of(
           routes->Config().services_, [&](const auto& aEntry) {
             return !aEntry.second.keyed_ ||
                    !forwarder_.Keys().Ranges(aEntry.first).empty();
           });
}

void GossipAgent::FillSuspects(const std::vector<CrashSuspect>& aSuspects,
                               wire::Gossip& aGossip)
{
  std::ranges::transform(
    aSuspects,
    std::back_inserter(aGossip.suspects),
    [](const CrashSuspect& aSuspect) {
      wire::SuspectRequest entry;
      entry.fingerprint = static_cast<int64_t>(aSuspect.fingerprint_);
      entry.expiresInMs = static_cast<int32_t>(aSuspect.expiresInMs_);
      std::ranges::transform(aSuspect.crashRecords_,
                             std::back_inserter(entry.marks),
                             PackCrashRecord);
      return entry;
    });
}

void GossipAgent::SendToLeaderOrAll(const wire::Gossip& aGossip)
{
  const auto leader = mesh_.Peers().find(election_.Leader());
  if (election_.IsLeading() || leader == mesh_.Peers().end()) {
    mesh_.SendToAll(aGossip);
  } else {
    mesh_.SendTo(leader->second.endpoint_, aGossip);
  }
}

void GossipAgent::FillColdServers(wire::Gossip& aGossip)
{
  for (const auto& notice : handlers_.coldServers_(detail::kMaxColdNotices)) {
    wire::ColdServer server;
    server.server = notice.server_;
    server.remainingMs = static_cast<int32_t>(
      std::min<TimeMs>(notice.remainingMs_, BackendDirectory::kMaxColdMs));
    aGossip.coldServers.push_back(server);
  }
}

void GossipAgent::ApplyColdServers(const wire::Gossip& aGossip)
{
  if (aGossip.coldServers.empty()) {
    return;
  }
  std::vector<ColdNotice> notices;
  for (const auto& server : aGossip.coldServers) {
    notices.push_back({ server.server, server.remainingMs });
  }
  if (handlers_.onCold_(notices) && election_.IsLeading()) {
    SendServerNotices();
  }
}

void GossipAgent::SendServerNotices()
{
  if (!serverNoticeTimer_.IsActive()) {
    serverNoticeTimer_.Start(detail::kServerNoticeDelayMs);
  }
}

void GossipAgent::SendPermitRequests()
{
  const auto leader = mesh_.Peers().find(election_.Leader());
  auto gossip = MakeGossip();
  if (limits_.AddRequests(gossip) && leader != mesh_.Peers().end()) {
    mesh_.SendTo(leader->second.endpoint_, gossip);
  }
}

void GossipAgent::OnSuspectsChanged()
{
  suspects_.OnChanged(loop_.NowMs());
  ScheduleSendSuspects();
}

void GossipAgent::ScheduleSendSuspects()
{
  if (suspects_.DueMs() != INT64_MAX) {
    suspectTimer_.Start(std::max<TimeMs>(suspects_.DueMs() - loop_.NowMs(), 1));
  }
}

void GossipAgent::SendSuspects()
{
  const auto leader = mesh_.Peers().find(election_.Leader());
  const bool knowsLeader = leader != mesh_.Peers().end();
  const auto message =
    suspects_.TakeDueMessage(loop_.NowMs(), election_.IsLeading(), knowsLeader);
  if (message) {
    auto gossip = MakeGossip();
    FillSuspects(message->suspects_, gossip);
    if (message->recipients_ == SuspectExchange::Recipients::All) {
      mesh_.SendToAll(gossip);
    } else {
      mesh_.SendTo(leader->second.endpoint_, gossip);
    }
  }
  ScheduleSendSuspects();
}

void GossipAgent::SyncSuspects(const wire::Gossip& aGossip,
                               const Endpoint& aOrigin)
{
  const auto missing =
    suspects_.EntriesForPeer(aGossip.instance,
                             static_cast<uint64_t>(aGossip.suspectDigest),
                             loop_.NowMs());
  if (missing) {
    auto gossip = MakeGossip();
    FillSuspects(*missing, gossip);
    mesh_.SendTo(aOrigin, gossip);
  }
}

void GossipAgent::FillKeyCounts(wire::Gossip& aGossip)
{
  for (const auto& [service, keys] : forwarder_.TakeKeyCounts()) {
    wire::KeyCounts counts;
    counts.serviceName = service;
    for (const auto& [key, count] : keys) {
      counts.counts.push_back(static_cast<int32_t>(key));
      counts.counts.push_back(count);
    }
    aGossip.keyCounts.push_back(std::move(counts));
  }
}

void GossipAgent::FillLoads(const std::vector<FleetLoadEntry>& aEntries,
                            wire::Gossip& aGossip)
{
  for (const auto& entry : aEntries) {
    aGossip.backendLoads.push_back(static_cast<int32_t>(entry.server_));
    aGossip.backendLoads.push_back(static_cast<int32_t>(
      std::lround(entry.serviceTimeMs_ * detail::kUsPerMs)));
    aGossip.backendLoads.push_back(
      static_cast<int32_t>(std::lround(entry.load_)));
  }
}

void GossipAgent::FillAdmissions(wire::Gossip& aGossip)
{
  const auto shares = ComputeAdmissionShares(coordinator_.Demands());
  for (const auto& share : shares) {
    aGossip.admissions.push_back(static_cast<int32_t>(share.server_));
    aGossip.admissions.push_back(static_cast<int32_t>(
      std::lround(share.share_ * detail::kAdmissionScale)));
  }
  forwarder_.Admission().Update(shares, loop_.NowMs());
}

void GossipAgent::ApplyAdmissions(const wire::Gossip& aGossip)
{
  std::vector<AdmissionShare> shares;
  const auto& numbers = aGossip.admissions;
  for (size_t index = 0; index + 1 < numbers.size(); index += 2) {
    shares.push_back({ static_cast<uint32_t>(numbers[index]),
                       numbers[index + 1] / detail::kAdmissionScale });
  }
  if (!shares.empty()) {
    forwarder_.Admission().Update(shares, loop_.NowMs());
  }
}

void GossipAgent::BroadcastRegistrations(
  std::vector<wire::BackendChange> aChanges)
{
  for (size_t first = 0; first < aChanges.size();
       first += detail::kMaxRegistrations) {
    auto gossip = MakeGossip();
    const auto last =
      std::min(first + detail::kMaxRegistrations, aChanges.size());
    gossip.changes.assign(aChanges.begin() + static_cast<ptrdiff_t>(first),
                          aChanges.begin() + static_cast<ptrdiff_t>(last));
    mesh_.SendToAll(gossip);
  }
}

void GossipAgent::OnLeadershipChanged()
{
  keyGossip_.Reset();
  mesh_.SendToAll(MakeGossip());
}

void GossipAgent::OnKeysChanged()
{
  if (!keyChangeTimer_.IsActive()) {
    keyChangeTimer_.Start(detail::kKeyChangeDelayMs);
  }
}

void GossipAgent::SendKeyChanges()
{
  bool changed = false;
  for (const auto& [service, ownership] : coordinator_.Ownership()) {
    for (auto& part : keyGossip_.TakeChanges(service, *ownership)) {
      changed |= KeyGossip::Apply(part, forwarder_.Keys());
      auto gossip = MakeGossip();
      gossip.keys.push_back(std::move(part));
      mesh_.SendToAll(gossip);
    }
  }
  if (changed) {
    forwarder_.OnRoutingStateChanged();
  }
}

void GossipAgent::SendAllKeys(const Endpoint& aReceiver)
{
  if (mesh_.IsLarge()) {
    // After a power loss hundreds of gateways request the keys at once. They
    // are sent to all together.
    const TimeMs nowMs = loop_.NowMs();
    if (nowMs - allKeysSentMs_ >= detail::kAllKeysIntervalMs) {
      allKeysSentMs_ = nowMs;
      keyGossip_.Reset();
      OnKeysChanged();
    }
    return;
  }
  for (const auto& [service, ownership] : coordinator_.Ownership()) {
    for (auto& part : KeyGossip::All(service, *ownership)) {
      auto gossip = MakeGossip();
      gossip.keys.push_back(std::move(part));
      mesh_.SendTo(aReceiver, gossip);
    }
  }
}

void GossipAgent::OnStopping()
{
  stopping_ = true;
  mesh_.SendToAll(MakeGossip());
}

void GossipAgent::Announce()
{
  mesh_.SendToDomain(MakeGossip());
}

void GossipAgent::OnReceived(const wire::Gossip& aGossip,
                             const Endpoint& aOrigin,
                             const Endpoint& aSender)
{
  if (aGossip.instance == self_.instance_) {
    return;
  }
  mesh_.RecordHeard(aGossip, aOrigin);
  if (aGossip.leading) {
    mesh_.RecordMembers(aGossip.members);
  }
  election_.OnGossip(aGossip);
  bool changed = false;
  for (const auto& keys : aGossip.keys) {
    changed |= KeyGossip::Apply(keys, forwarder_.Keys());
  }
  if (changed) {
    forwarder_.OnRoutingStateChanged();
  }
  ApplyLoads(aGossip);
  ApplyAdmissions(aGossip);
  if (!aGossip.leavingServers.empty()) {
    handlers_.onLeaving_(aGossip.leavingServers);
  }
  ApplyColdServers(aGossip);
  evacuations_.OnGossip(aGossip);
  ApplyLimits(aGossip, aOrigin);
  slots_.OnReceived(aGossip);
  ApplySuspects(aGossip);
  SyncSuspects(aGossip, aOrigin);
  if (election_.IsLeading()) {
    ApplyKeyCounts(aGossip);
    if (aGossip.wantsKeys) {
      SendAllKeys(aOrigin);
    }
  }
  relay_.OnGossip(aGossip, aSender);
}

void GossipAgent::ApplyKeyCounts(const wire::Gossip& aGossip)
{
  for (const auto& keys : aGossip.keyCounts) {
    for (size_t index = 0; index + 1 < keys.counts.size(); index += 2) {
      coordinator_.AddLoad(keys.serviceName,
                           static_cast<uint32_t>(keys.counts[index]),
                           keys.counts[index + 1]);
    }
  }
}

void GossipAgent::ApplyLoads(const wire::Gossip& aGossip)
{
  const auto& loads = aGossip.backendLoads;
  for (size_t index = 0; index + detail::kLoadFields <= loads.size();
       index += detail::kLoadFields) {
    const FleetLoadEntry entry{ static_cast<uint32_t>(loads[index]),
                                loads[index + 1] / detail::kUsPerMs,
                                static_cast<double>(loads[index + 2]) };
    if (election_.IsLeading()) {
      fleetLoads_.Add(entry, loop_.NowMs());
    }
    forwarder_.Pool().ApplySharedLoad(entry);
  }
}

void GossipAgent::ApplyLimits(const wire::Gossip& aGossip,
                              const Endpoint& aOrigin)
{
  const bool changed = limits_.ApplyNotices(aGossip);
  if (changed && election_.IsLeading()) {
    SendServerNotices();
  }
  if (!aGossip.permitRequests.empty()) {
    auto reply = MakeGossip();
    if (limits_.AddReplies(aGossip, reply)) {
      mesh_.SendTo(aOrigin, reply);
    }
  }
  if (limits_.ApplyReplies(aGossip) || changed) {
    forwarder_.OnRoutingStateChanged();
  }
}

void GossipAgent::ApplySuspects(const wire::Gossip& aGossip)
{
  if (aGossip.suspects.empty()) {
    return;
  }
  std::vector<CrashSuspect> suspects;
  std::ranges::transform(
    aGossip.suspects,
    std::back_inserter(suspects),
    [](const wire::SuspectRequest& aEntry) {
      CrashSuspect suspect;
      suspect.fingerprint_ = static_cast<uint64_t>(aEntry.fingerprint);
      suspect.expiresInMs_ = aEntry.expiresInMs;
      std::ranges::transform(aEntry.marks,
                             std::back_inserter(suspect.crashRecords_),
                             UnpackCrashRecord);
      return suspect;
    });
  const bool isNew =
    suspects_.OnReceived(suspects, loop_.NowMs(), election_.IsLeading());
  ScheduleSendSuspects();
  if (!isNew || !forwarder_.Log().Allows(LogLevel::Info, "suspects-told")) {
    return;
  }
  const auto first = forwarder_.Crashes().Quarantine().Find(
    suspects.front().fingerprint_, loop_.NowMs());
  forwarder_.Log().Write(
    LogLevel::Info,
    "suspects-told",
    { { "by", aGossip.instance },
      { "entries", suspects.size() },
      { "first", absl::Hex(first.fingerprint_) },
      { "crashes", first.crashes_ },
      { "quarantined", first.quarantined_ ? "yes" : "no" } });
}

}

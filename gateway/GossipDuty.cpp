#include "gateway/GossipDuty.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Three lost in a row make a leader silent (LeaderTiming::kSilenceMs).
constexpr TimeMs kGossipMs = 250;
/// Gateways that do not lead tell only the leader in between.
constexpr uint64_t kFullRounds = 4;
/// The leader passes the loads on every second time: 3 KB for 350 servers.
constexpr uint64_t kBoardRounds = 2;
/// Changes of owners come in groups, a move changes two servers.
constexpr TimeMs kChangeGatherMs = 10;
/// The leader of a large fleet tells all owners to all this often at most,
/// while some ask for them.
constexpr TimeMs kAllKeysIntervalMs = 500;
constexpr size_t kLoadFields = 3;
/// Leaving servers in each datagram: half a kilobyte.
constexpr size_t kMaxLeaving = 100;
/// Registrations of one datagram, about a kilobyte.
constexpr size_t kMaxChanges = 12;
constexpr double kUsPerMs = 1000;
constexpr double kAdmissionScale = 1000;
/// Gateways that a follower of a large fleet tells directly each second; enough
/// to notice that it is cut off when no leader speaks.
constexpr size_t kFanOut = 8;
/// Followers of a large fleet report to the leader every second round.
constexpr uint64_t kLargeReportRounds = 2;

}

GossipDuty::GossipDuty(EventLoop& aLoop,
                       Self aSelf,
                       PeerMesh& aMesh,
                       LeaderElection& aElection,
                       KeyDirector& aDirector,
                       LoadBoard& aBoard,
                       StoreRelay& aRelay,
                       Forwarder& aForwarder,
                       Handlers aHandlers)
  : loop_(aLoop)
  , self_(std::move(aSelf))
  , mesh_(aMesh)
  , election_(aElection)
  , director_(aDirector)
  , board_(aBoard)
  , relay_(aRelay)
  , forwarder_(aForwarder)
  , handlers_(std::move(aHandlers))
  , timer_(aLoop, [this] { Tick(); })
  , changeTimer_(aLoop, [this] { SendChanges(); })
  , suspects_(aForwarder.Crashes().Quarantine())
  , suspectTimer_(aLoop, [this] { TellSuspects(); })
{
}

void GossipDuty::Start()
{
  timer_.Start(detail::kGossipMs);
  mesh_.SendToAll(Basic());
}

wire::Gossip GossipDuty::Basic()
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
  gossip.suspectDigest = static_cast<int64_t>(suspects_.Digest(loop_.NowMs()));
  gossip.leavingServers = handlers_.leavingServers_(detail::kMaxLeaving);
  relay_.Fill(gossip);
  return gossip;
}

void GossipDuty::Tick()
{
  timer_.Start(detail::kGossipMs);
  ++rounds_;
  auto gossip = Basic();
  if (election_.IsLeading()) {
    TellAsLeader(gossip);
  } else {
    TellAsFollower(gossip);
  }
}

void GossipDuty::TellAsLeader(wire::Gossip& aGossip)
{
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& [service, keys] : forwarder_.TakeKeyCounts()) {
    for (const auto& [key, count] : keys) {
      director_.AddLoad(service, key, count);
    }
  }
  for (const auto& report : forwarder_.Pool().TakeLoadReports()) {
    board_.Add(report, nowMs);
  }
  for (const auto& [service, ownership] : director_.Ownership()) {
    aGossip.keys.push_back(keyGossip_.NextSlice(service, *ownership));
  }
  if (rounds_ % detail::kBoardRounds == 0) {
    const auto changed = board_.TakeChanged(nowMs);
    std::ranges::for_each(changed, [&](const BoardEntry& aEntry) {
      forwarder_.Pool().ApplySharedLoad(aEntry);
    });
    FillLoads(changed, aGossip);
    FillAdmissions(aGossip);
  }
  if (mesh_.IsLarge() && rounds_ % detail::kFullRounds == 0) {
    aGossip.members = mesh_.MemberHashes(nowMs);
  }
  mesh_.SendToAll(aGossip);
}

void GossipDuty::TellAsFollower(wire::Gossip& aGossip)
{
  const bool full = rounds_ % detail::kFullRounds == 0;
  const auto leader = mesh_.Peers().find(election_.Leader());
  if (full) {
    // Many gateways hear of each other from the leader; all hear of the store
    // from those that watch it.
    if (!mesh_.IsLarge() || aGossip.storeOk) {
      mesh_.SendToAll(aGossip);
    } else {
      mesh_.SendToSome(aGossip, detail::kFanOut);
    }
  }
  const bool quiet =
    mesh_.IsLarge() && rounds_ % detail::kLargeReportRounds != 0;
  if (leader == mesh_.Peers().end() || quiet) {
    return;
  }
  FillKeyCounts(aGossip);
  FillLoads(forwarder_.Pool().TakeLoadReports(), aGossip);
  // What is on the way arrives within a few rounds.
  aGossip.wantsKeys = full && !KnowsAllKeys();
  mesh_.SendTo(leader->second.endpoint_, aGossip);
}

bool GossipDuty::KnowsAllKeys() const
{
  const auto routes = forwarder_.Routes();
  return routes != nullptr &&
         std::ranges::all_of(
           routes->Config().services_, [&](const auto& aEntry) {
             return !aEntry.second.keyed_ ||
                    !forwarder_.Keys().Ranges(aEntry.first).empty();
           });
}

void GossipDuty::FillSuspects(const std::vector<CrashSuspect>& aSuspects,
                              wire::Gossip& aGossip)
{
  std::ranges::transform(
    aSuspects,
    std::back_inserter(aGossip.suspects),
    [](const CrashSuspect& aSuspect) {
      wire::SuspectRequest entry;
      entry.fingerprint = static_cast<int64_t>(aSuspect.fingerprint_);
      entry.expiresInMs = static_cast<int32_t>(aSuspect.expiresInMs_);
      std::ranges::transform(
        aSuspect.marks_, std::back_inserter(entry.marks), PackMark);
      return entry;
    });
}

void GossipDuty::TellLeaving()
{
  const auto leader = mesh_.Peers().find(election_.Leader());
  if (election_.IsLeading() || leader == mesh_.Peers().end()) {
    mesh_.SendToAll(Basic());
  } else {
    mesh_.SendTo(leader->second.endpoint_, Basic());
  }
}

void GossipDuty::OnSuspectsChanged()
{
  suspects_.OnChanged(loop_.NowMs());
  ScheduleSuspects();
}

void GossipDuty::ScheduleSuspects()
{
  if (suspects_.DueMs() != INT64_MAX) {
    suspectTimer_.Start(std::max<TimeMs>(suspects_.DueMs() - loop_.NowMs(), 1));
  }
}

void GossipDuty::TellSuspects()
{
  const auto leader = mesh_.Peers().find(election_.Leader());
  const bool knowsLeader = leader != mesh_.Peers().end();
  const auto message =
    suspects_.TakeDue(loop_.NowMs(), election_.IsLeading(), knowsLeader);
  if (message) {
    auto gossip = Basic();
    FillSuspects(message->suspects_, gossip);
    if (message->audience_ == SuspectExchange::Audience::All) {
      mesh_.SendToAll(gossip);
    } else {
      mesh_.SendTo(leader->second.endpoint_, gossip);
    }
  }
  ScheduleSuspects();
}

void GossipDuty::CompareSuspects(const wire::Gossip& aGossip,
                                 const Endpoint& aOrigin)
{
  const auto missing =
    suspects_.Compare(aGossip.instance,
                      static_cast<uint64_t>(aGossip.suspectDigest),
                      loop_.NowMs());
  if (missing) {
    auto gossip = Basic();
    FillSuspects(*missing, gossip);
    mesh_.SendTo(aOrigin, gossip);
  }
}

void GossipDuty::FillKeyCounts(wire::Gossip& aGossip)
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

void GossipDuty::FillLoads(const std::vector<BoardEntry>& aEntries,
                           wire::Gossip& aGossip)
{
  for (const auto& entry : aEntries) {
    aGossip.backendLoads.push_back(static_cast<int32_t>(entry.server_));
    aGossip.backendLoads.push_back(
      static_cast<int32_t>(std::lround(entry.workMs_ * detail::kUsPerMs)));
    aGossip.backendLoads.push_back(
      static_cast<int32_t>(std::lround(entry.load_)));
  }
}

void GossipDuty::FillAdmissions(wire::Gossip& aGossip)
{
  const auto shares = SharesOf(director_.Demands());
  for (const auto& share : shares) {
    aGossip.admissions.push_back(static_cast<int32_t>(share.server_));
    aGossip.admissions.push_back(static_cast<int32_t>(
      std::lround(share.share_ * detail::kAdmissionScale)));
  }
  forwarder_.Admission().Update(shares, loop_.NowMs());
}

void GossipDuty::TakeAdmissions(const wire::Gossip& aGossip)
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

void GossipDuty::TellChanges(std::vector<wire::BackendChange> aChanges)
{
  for (size_t first = 0; first < aChanges.size();
       first += detail::kMaxChanges) {
    auto gossip = Basic();
    const auto last = std::min(first + detail::kMaxChanges, aChanges.size());
    gossip.changes.assign(aChanges.begin() + static_cast<ptrdiff_t>(first),
                          aChanges.begin() + static_cast<ptrdiff_t>(last));
    mesh_.SendToAll(gossip);
  }
}

void GossipDuty::OnLeadershipChanged()
{
  keyGossip_.Reset();
  mesh_.SendToAll(Basic());
}

void GossipDuty::OnKeysChanged()
{
  if (!changeTimer_.IsActive()) {
    changeTimer_.Start(detail::kChangeGatherMs);
  }
}

void GossipDuty::SendChanges()
{
  bool changed = false;
  for (const auto& [service, ownership] : director_.Ownership()) {
    for (auto& part : keyGossip_.TakeChanges(service, *ownership)) {
      changed |= KeyGossip::Apply(part, forwarder_.Keys());
      auto gossip = Basic();
      gossip.keys.push_back(std::move(part));
      mesh_.SendToAll(gossip);
    }
  }
  if (changed) {
    forwarder_.OnRoutingStateChanged();
  }
}

void GossipDuty::AnswerWantedKeys(const Endpoint& aAsker)
{
  if (mesh_.IsLarge()) {
    // After a power loss hundreds ask at once; they are told together.
    const TimeMs nowMs = loop_.NowMs();
    if (nowMs - allKeysToldMs_ >= detail::kAllKeysIntervalMs) {
      allKeysToldMs_ = nowMs;
      keyGossip_.Reset();
      OnKeysChanged();
    }
    return;
  }
  for (const auto& [service, ownership] : director_.Ownership()) {
    for (auto& part : KeyGossip::All(service, *ownership)) {
      auto answer = Basic();
      answer.keys.push_back(std::move(part));
      mesh_.SendTo(aAsker, answer);
    }
  }
}

void GossipDuty::Announce()
{
  mesh_.SendToDomain(Basic());
}

void GossipDuty::OnReceived(const wire::Gossip& aGossip,
                            const Endpoint& aOrigin,
                            const Endpoint& aSender)
{
  if (aGossip.instance == self_.instance_) {
    return;
  }
  mesh_.NoteHeard(aGossip, aOrigin);
  if (aGossip.leading) {
    mesh_.NoteMembers(aGossip.members);
  }
  election_.OnGossip(aGossip);
  bool changed = false;
  for (const auto& keys : aGossip.keys) {
    changed |= KeyGossip::Apply(keys, forwarder_.Keys());
  }
  if (changed) {
    forwarder_.OnRoutingStateChanged();
  }
  TakeLoads(aGossip);
  TakeAdmissions(aGossip);
  if (!aGossip.leavingServers.empty()) {
    handlers_.onLeaving_(aGossip.leavingServers);
  }
  TakeSuspects(aGossip);
  CompareSuspects(aGossip, aOrigin);
  if (election_.IsLeading()) {
    TakeKeyCounts(aGossip);
    if (aGossip.wantsKeys) {
      AnswerWantedKeys(aOrigin);
    }
  }
  relay_.OnGossip(aGossip, aSender);
}

void GossipDuty::TakeKeyCounts(const wire::Gossip& aGossip)
{
  for (const auto& keys : aGossip.keyCounts) {
    for (size_t index = 0; index + 1 < keys.counts.size(); index += 2) {
      director_.AddLoad(keys.serviceName,
                        static_cast<uint32_t>(keys.counts[index]),
                        keys.counts[index + 1]);
    }
  }
}

void GossipDuty::TakeLoads(const wire::Gossip& aGossip)
{
  const auto& loads = aGossip.backendLoads;
  for (size_t index = 0; index + detail::kLoadFields <= loads.size();
       index += detail::kLoadFields) {
    const BoardEntry entry{ static_cast<uint32_t>(loads[index]),
                            loads[index + 1] / detail::kUsPerMs,
                            static_cast<double>(loads[index + 2]) };
    if (election_.IsLeading()) {
      board_.Add(entry, loop_.NowMs());
    }
    forwarder_.Pool().ApplySharedLoad(entry);
  }
}

void GossipDuty::TakeSuspects(const wire::Gossip& aGossip)
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
      std::ranges::transform(
        aEntry.marks, std::back_inserter(suspect.marks_), UnpackMark);
      return suspect;
    });
  const bool isNew =
    suspects_.OnTold(suspects, loop_.NowMs(), election_.IsLeading());
  ScheduleSuspects();
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

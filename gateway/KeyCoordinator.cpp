#include "gateway/KeyCoordinator.hpp"

#include "common/ShortHash.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

/// A separate kind that is not watched, because gossip reports moves sooner and
/// without calls to the store.
constexpr const char* kTableKind = "cactuspitch-keys";
constexpr const char* kTableName = "keys";
constexpr TimeMs kCoordinatorTickMs = 30;
/// Minimum interval between writes, so that one write carries several changes.
constexpr TimeMs kWriteIntervalMs = 100;
constexpr TimeMs kWriteRetryMs = 200;
constexpr TimeMs kBalanceIntervalMs = 400;
constexpr TimeMs kRejectionIntervalMs = 1000;
/// A fence holds the term in its upper bits and a counter in this many lower
/// bits, so that fences of a later leader are higher than all earlier ones.
constexpr int kFenceBits = 24;
/// Fences after which a leader ends its term.
constexpr int64_t kMaxFences = (int64_t{ 1 } << kFenceBits) - 1000000;
constexpr double kMinSpeed = 0.3;
constexpr double kMaxSpeed = 3;
constexpr double kColdCapacity = 0.6;
constexpr double kMinRate = 5;
constexpr double kDefaultServiceTimeMs = 100;
constexpr double kMsPerSecond = 1000;

}

KeyCoordinator::KeyCoordinator(EventLoop& aLoop,
                               EventLog& aLog,
                               StoreClient& aStore,
                               HttpClient& aClient,
                               const CommandProtocol& aProtocol,
                               const FleetLoadTable& aFleetLoads,
                               TimeMs aMaxLeaseMs,
                               Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , store_(aStore)
  , sender_(
      aLoop,
      aLog,
      aClient,
      aProtocol,
      { [this](TimeMs aSinceMs) { return handlers_.grantScope_(aSinceMs); },
        [this](TimeMs aSinceMs) { handlers_.requireConfirmation_(aSinceMs); },
        [this](const KeyCommand& aCommand, const CommandResponse& aResponse) {
          OnCommandDone(aCommand, aResponse);
        },
        [this](const CommandSender::Notice& aNotice) {
          handlers_.onNotice_(aNotice);
        } })
  , fleetLoads_(aFleetLoads)
  , maxLeaseMs_(aMaxLeaseMs)
  , handlers_(std::move(aHandlers))
  , timer_(aLoop, [this] { Tick(); })
  , retryTimer_(aLoop, [this] { std::exchange(retryTask_, nullptr)(); })
{
}

void KeyCoordinator::RetryLater(std::function<void()> aTask)
{
  retryTask_ = std::move(aTask);
  retryTimer_.Start(detail::kWriteRetryMs / 2 +
                    store_.Jitter(detail::kWriteRetryMs / 2));
}

StoreRequest KeyCoordinator::TableReadRequest(const ObjectProtocol& aProtocol)
{
  return aProtocol.Get(detail::kTableKind, detail::kTableName);
}

void KeyCoordinator::Start(int64_t aTerm)
{
  running_ = true;
  loaded_ = false;
  earlierLeadersEnded_ = false;
  unknownLeasesEndMs_ = 0;
  writing_ = false;
  timing_.reset();
  ++generation_;
  term_ = aTerm;
  fenceCounter_ = 0;
  services_.clear();
  reportedRevisions_.clear();
  rejectionsMs_.clear();
  sender_.Reset();
  LoadTable();
  timer_.Start(detail::kCoordinatorTickMs);
}

void KeyCoordinator::Stop()
{
  running_ = false;
  ++generation_;
  timer_.Stop();
  retryTimer_.Stop();
  services_.clear();
  loads_.clear();
  sender_.Reset();
}

void KeyCoordinator::OnEarlierLeadersEnded()
{
  earlierLeadersEnded_ = true;
  unknownLeasesEndMs_ =
    std::min(unknownLeasesEndMs_, LeaseEndMs(loop_.NowMs(), kLongestLeaseMs));
  for (auto& [name, ownership] : services_) {
    ownership->OnEarlierLeadersEnded(loop_.NowMs());
  }
}

int64_t KeyCoordinator::NextFence()
{
  if (fenceCounter_ == detail::kMaxFences) {
    // A new term has as many again. The rest is for commands until then.
    loop_.Defer([this, generation = generation_] {
      if (generation == generation_) {
        handlers_.onSuperseded_("fences used up");
      }
    });
  }
  return (term_ << detail::kFenceBits) | ++fenceCounter_;
}

void KeyCoordinator::LoadTable()
{
  store_.Call(TableReadRequest(store_.Protocol()),
              [this, generation = generation_](const StoreResponse& aResponse) {
                if (generation == generation_) {
                  OnTableLoaded(aResponse);
                }
              });
}

void KeyCoordinator::OnTableLoaded(const StoreResponse& aResponse)
{
  KeyTable table;
  bool isReadable = true;
  if (aResponse.status_ == StoreStatus::NotFound) {
    revision_ = 0;
  } else if (aResponse.status_ == StoreStatus::Ok) {
    revision_ = aResponse.object_.revision_;
    isReadable = DecodeKeyTable(aResponse.object_.spec_, table);
    if (!isReadable) {
      log_.Write(LogLevel::Error,
                 "key-table-unreadable",
                 { { "revision", RevisionNumber(revision_) } });
      table.leaseMs_ = kLongestLeaseMs;
      WaitForUnknownOwners();
    }
    if (table.term_ > term_) {
      handlers_.onSuperseded_("newer key table");
      return;
    }
  } else {
    // No command may be sent before the earlier leader's table is known.
    RetryLater([this] { LoadTable(); });
    return;
  }
  if (!isReadable || store_.Era() > table.era_) {
    CompleteRestoredTable(table);
  }
  if (!table.services_.empty()) {
    DecideTiming(table);
  }
  for (auto& [name, segments] : table.services_) {
    auto ownership = std::make_unique<KeyOwnership>(name, *timing_);
    ownership->Adopt(
      std::move(segments), [this] { return NextFence(); }, loop_.NowMs());
    if (earlierLeadersEnded_) {
      ownership->OnEarlierLeadersEnded(loop_.NowMs());
    }
    services_[name] = std::move(ownership);
  }
  loaded_ = true;
  UpdateCandidates();
  std::map<std::string, KeySegments> adopted;
  for (const auto& [name, ownership] : services_) {
    adopted[name] = ownership->Segments();
  }
  if (!adopted.empty()) {
    // New fences must be durable before they are used.
    WriteTable(std::move(adopted));
  }
}

void KeyCoordinator::WaitForUnknownOwners()
{
  const TimeMs leaderEndMs =
    loop_.NowMs() +
    (earlierLeadersEnded_ ? 0 : LeaseTiming{}.earlierLeaderRenewMs_);
  unknownLeasesEndMs_ = LeaseEndMs(leaderEndMs, kLongestLeaseMs);
}

void KeyCoordinator::CompleteRestoredTable(KeyTable& aTable) const
{
  const auto startTimeMs = [&](const std::string& aServer) {
    const auto found = backends_.find(aServer);
    return found == backends_.end() ? 0 : found->second.startTimeMs_;
  };
  auto names = keyedServices_;
  for (const auto& [name, segments] : aTable.services_) {
    names.insert(name);
  }
  for (const auto& name : names) {
    auto segments = MergeKnownOwners(std::move(aTable.services_[name]),
                                     handlers_.knownOwners_(name),
                                     startTimeMs);
    if (segments.empty()) {
      aTable.services_.erase(name);
    } else {
      aTable.services_[name] = std::move(segments);
    }
  }
  if (aTable.services_.empty()) {
    return; // the first start of the deployment
  }
  log_.Write(LogLevel::Warning,
             "key-table-restored",
             { { "term", aTable.term_ },
               { "table_era", aTable.era_ },
               { "store_era", store_.Era() },
               { "services", aTable.services_.size() } });
}

void KeyCoordinator::SetKeyedServices(std::set<std::string> aKeyedServices)
{
  keyedServices_ = std::move(aKeyedServices);
  UpdateCandidates();
}

void KeyCoordinator::UpdateBackends(
  const std::map<std::string, BackendEntry>& aEntries,
  const std::set<std::string>& aChanged)
{
  for (const auto& id : aChanged) {
    const auto entry = aEntries.find(id);
    if (entry == aEntries.end()) {
      backends_.erase(id);
      continue;
    }
    Endpoint endpoint;
    if (Endpoint::Parse(entry->second.address_, endpoint)) {
      sender_.SetServer(id, endpoint, entry->second.startTimeMs_);
    }
    backends_[id] = entry->second;
  }
  UpdateCandidates();
}

void KeyCoordinator::DecideTiming(const KeyTable& aEarlier)
{
  // The timing is fixed for a whole term, because the table tells the next
  // leader how long its leases are.
  std::set<std::string_view> owners;
  for (const auto& [name, segments] : aEarlier.services_) {
    for (const auto& segment : segments) {
      owners.insert(segment.owner_);
    }
  }
  timing_ =
    LeaseTiming::For(std::max(backends_.size(), owners.size()), maxLeaseMs_);
  timing_->maxEarlierLeaseMs_ = std::max(timing_->leaseMs_, aEarlier.leaseMs_);
}

double KeyCoordinator::MeanServiceTimeMs(const std::string& aService) const
{
  double sum = 0;
  int count = 0;
  for (const auto& [id, entry] : backends_) {
    const double serviceTimeMs =
      entry.service_ == aService ? fleetLoads_.ServiceTimeMs(ShortHash(id)) : 0;
    if (serviceTimeMs > 0) {
      sum += serviceTimeMs;
      ++count;
    }
  }
  return count == 0 ? detail::kDefaultServiceTimeMs : sum / count;
}

double KeyCoordinator::MeanServiceTimeSeconds(const std::string& aService) const
{
  return MeanServiceTimeMs(aService) / detail::kMsPerSecond;
}

void KeyCoordinator::UpdateCandidates()
{
  if (!running_ || !loaded_ || backends_.empty()) {
    return;
  }
  if (!timing_) {
    DecideTiming({});
  }
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& name : keyedServices_) {
    auto& ownership = services_[name];
    if (ownership == nullptr) {
      ownership = std::make_unique<KeyOwnership>(name, *timing_);
    }
    const double meanMs = MeanServiceTimeMs(name);
    const double meanSeconds = meanMs / detail::kMsPerSecond;
    std::map<std::string, OwnerCandidate> candidates;
    for (const auto& [id, entry] : backends_) {
      if (entry.service_ != name) {
        continue;
      }
      OwnerCandidate candidate;
      candidate.startTimeMs_ = entry.startTimeMs_;
      candidate.usable_ =
        entry.TakesNewWork() && !handlers_.isEvacuated_(entry.failureDomain_);
      double speed = 1;
      if (const double serviceTimeMs = fleetLoads_.ServiceTimeMs(ShortHash(id));
          serviceTimeMs > 0) {
        speed = std::clamp(
          meanMs / serviceTimeMs, detail::kMinSpeed, detail::kMaxSpeed);
      }
      candidate.capacity_ = entry.slots_ * speed;
      if (nowMs < entry.coldUntilMs_) {
        candidate.capacity_ *= detail::kColdCapacity;
      }
      candidate.capacity_ = std::min(
        candidate.capacity_, handlers_.requestLimit_(entry) * meanSeconds);
      candidates[id] = candidate;
    }
    ownership->SetCandidates(std::move(candidates), nowMs);
  }
}

void KeyCoordinator::AddLoad(const std::string& aService,
                             uint32_t aKey,
                             int aRequests)
{
  if (running_) {
    const bool large = backends_.size() > LeaseTiming::kLargeFleetServers;
    const auto [load, isNew] = loads_.try_emplace(
      aService, large ? KeyLoad::kLargeFleetHalfLifeMs : KeyLoad::kHalfLifeMs);
    load->second.Add(aKey, aRequests, loop_.NowMs());
  }
}

void KeyCoordinator::Tick()
{
  timer_.Start(detail::kCoordinatorTickMs);
  if (!loaded_ || !handlers_.maySendCommands_()) {
    return;
  }
  ProposeChanges();
  SendCommands();
  ReportChanges();
}

std::vector<KeyOwnership::Move> KeyCoordinator::PlanMoves(
  const std::string& aService,
  const KeyOwnership& aOwnership)
{
  const TimeMs nowMs = loop_.NowMs();
  const auto load = loads_.find(aService);
  if (load == loads_.end() ||
      nowMs - lastBalanceMs_ < detail::kBalanceIntervalMs ||
      load->second.TotalRate(nowMs) < detail::kMinRate) {
    return {};
  }
  lastBalanceMs_ = nowMs;
  const auto rates = load->second.Rates(nowMs);
  auto moves = KeyBalancer().Plan(
    aOwnership, rates, MeanServiceTimeSeconds(aService), nowMs);
  for (const auto& move : moves) {
    log_.Write(LogLevel::Info,
               "keys-balanced",
               { { "service", aService },
                 { "first", move.first_ },
                 { "last", move.last_ },
                 { "to", move.target_ },
                 { "rate", rates.Rate(move.first_, move.last_) },
                 { "total_rate", rates.Total() } });
  }
  return moves;
}

std::vector<OwnerDemand> KeyCoordinator::Demands() const
{
  const TimeMs nowMs = loop_.NowMs();
  std::vector<OwnerDemand> demands;
  for (const auto& [name, ownership] : services_) {
    const auto load = loads_.find(name);
    if (load == loads_.end() ||
        load->second.TotalRate(nowMs) < detail::kMinRate) {
      continue;
    }
    const auto rates = load->second.Rates(nowMs);
    std::map<std::string_view, double> byOwner;
    for (const auto& segment : ownership->Segments()) {
      byOwner[segment.owner_] += rates.Rate(segment.first_, segment.last_);
    }
    const double serviceTimeSeconds = MeanServiceTimeSeconds(name);
    for (const auto& [id, candidate] : ownership->Candidates()) {
      const auto rate = byOwner.find(id);
      if (rate != byOwner.end()) {
        demands.push_back({ ShortHash(id),
                            rate->second,
                            candidate.capacity_ / serviceTimeSeconds });
      }
    }
  }
  return demands;
}

bool KeyCoordinator::HasDemand(const std::string& aService) const
{
  const auto load = loads_.find(aService);
  return load != loads_.end() && load->second.TotalRate(loop_.NowMs()) > 0;
}

void KeyCoordinator::ProposeChanges()
{
  const TimeMs nowMs = loop_.NowMs();
  if (writing_ || nowMs - lastWriteMs_ < detail::kWriteIntervalMs ||
      !store_.IsReachable()) {
    return;
  }
  UpdateCandidates();
  std::map<std::string, KeySegments> proposed;
  bool changed = false;
  for (const auto& service : services_) {
    const auto& name = service.first;
    const auto& ownership = service.second;
    const bool mayBegin =
      nowMs >= unknownLeasesEndMs_ &&
      ownership->IsReadyForFirstTable({}, HasDemand(name), nowMs);
    if (ownership->Segments().empty() && !mayBegin) {
      continue;
    }
    auto change =
      ownership->Propose([this] { return NextFence(); },
                         [this, &name](const KeyOwnership& aOwnership) {
                           return PlanMoves(name, aOwnership);
                         },
                         nowMs);
    changed |= change.has_value();
    proposed[name] = change ? *change : ownership->Segments();
  }
  if (changed) {
    WriteTable(std::move(proposed));
  }
}

void KeyCoordinator::WriteTable(std::map<std::string, KeySegments> aProposed)
{
  writing_ = true;
  lastWriteMs_ = loop_.NowMs();
  written_ = std::move(aProposed);
  writtenEra_ = store_.Era();
  const auto spec = EncodeKeyTable(KeyTable{
    term_, ++writeId_, timing_->maxEarlierLeaseMs_, writtenEra_, written_ });
  const auto& protocol = store_.Protocol();
  store_.Call(revision_ == 0
                ? protocol.Create(detail::kTableKind, detail::kTableName, spec)
                : protocol.Replace(
                    detail::kTableKind, detail::kTableName, spec, revision_),
              [this, generation = generation_](const StoreResponse& aResponse) {
                if (generation == generation_) {
                  OnTableWritten(aResponse);
                }
              });
}

void KeyCoordinator::OnStoreRestored()
{
  // A pending write shows the restore in its response.
  if (running_ && loaded_ && !writing_) {
    RewriteTable();
  }
}

void KeyCoordinator::RewriteTable()
{
  std::map<std::string, KeySegments> segments;
  for (const auto& [name, ownership] : services_) {
    segments[name] = ownership->Segments();
  }
  if (segments.empty()) {
    return;
  }
  writing_ = true;
  written_ = std::move(segments);
  ResolveUnknownWrite();
}

void KeyCoordinator::OnTableWritten(const StoreResponse& aResponse)
{
  switch (aResponse.status_) {
    case StoreStatus::Ok:
      OnCommitted(aResponse.object_.revision_);
      break;
    case StoreStatus::NotApplied:
      // The write was not applied; a later tick makes a new proposal. Only the
      // first write of a term is retried as it is, because it carries the new
      // fences and must precede all others.
      lastWriteMs_ = loop_.NowMs() + detail::kWriteRetryMs;
      if (reportedRevisions_.empty() && !services_.empty()) {
        RetryLater([this] { ResolveUnknownWrite(); });
      } else {
        writing_ = false;
      }
      break;
    default:
      ResolveUnknownWrite();
  }
}

void KeyCoordinator::ResolveUnknownWrite()
{
  store_.Call(TableReadRequest(store_.Protocol()),
              [this, generation = generation_](const StoreResponse& aResponse) {
                if (generation != generation_) {
                  return;
                }
                if (aResponse.status_ == StoreStatus::NotApplied ||
                    aResponse.status_ == StoreStatus::Unknown ||
                    aResponse.status_ == StoreStatus::Restored) {
                  RetryLater([this] { ResolveUnknownWrite(); });
                  return;
                }
                KeyTable table;
                const bool readable =
                  aResponse.status_ == StoreStatus::Ok &&
                  DecodeKeyTable(aResponse.object_.spec_, table);
                const bool isCopy =
                  table.era_ != RevisionEra(aResponse.object_.revision_);
                if (readable && table.term_ > term_) {
                  handlers_.onSuperseded_("newer key table");
                  return;
                }
                if (readable && !isCopy && table.term_ == term_ &&
                    table.writeId_ == writeId_) {
                  OnCommitted(aResponse.object_.revision_);
                  return;
                }
                // The write was not applied, but may still be as long as its
                // expected revision is current. Writing the same content again
                // changes the revision.
                revision_ = aResponse.status_ == StoreStatus::Ok
                              ? aResponse.object_.revision_
                              : 0;
                WriteTable(std::exchange(written_, {}));
              });
}

void KeyCoordinator::OnCommitted(int64_t aRevision)
{
  revision_ = aRevision;
  writing_ = false;
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& [name, segments] : written_) {
    const auto found = services_.find(name);
    if (found == services_.end()) {
      continue;
    }
    for (const auto& segment : segments) {
      const auto* before =
        FindSegment(found->second->Segments(), segment.first_);
      if (before != nullptr && before->owner_ != segment.owner_ &&
          !segment.previous_.empty()) {
        log_.Write(LogLevel::Info,
                   "keys-moved",
                   { { "service", name },
                     { "first", segment.first_ },
                     { "last", segment.last_ },
                     { "from", segment.previous_.front() },
                     { "to", segment.owner_ },
                     { "fence", segment.fence_ } });
      }
    }
    if (found->second->Segments() != segments) {
      found->second->Commit(segments, nowMs);
    }
    reportedRevisions_.try_emplace(name, 0);
  }
  SendCommands();
  ReportChanges();
  if (writtenEra_ != RevisionEra(aRevision)) {
    // The store was restored between the call and the write.
    RewriteTable();
  }
}

void KeyCoordinator::SendCommands()
{
  const TimeMs nowMs = loop_.NowMs();
  const auto scope = handlers_.grantScope_(0);
  for (const auto& [name, ownership] : services_) {
    if (!reportedRevisions_.contains(name)) {
      continue; // the term is not durable yet
    }
    if (scope == GrantScope::All) {
      ownership->ReplaceUsedFences([this] { return NextFence(); });
    }
    for (const auto& command : ownership->TakeCommands(nowMs, scope)) {
      sender_.Send(command);
    }
  }
}

void KeyCoordinator::OnCommandDone(const KeyCommand& aCommand,
                                   const CommandResponse& aResponse)
{
  const auto found = services_.find(aCommand.service_);
  if (found == services_.end()) {
    return;
  }
  found->second->OnCommandDone(
    aCommand, aResponse.result_, aResponse.handover_, loop_.NowMs());
  if (aResponse.result_ == KeyCommandResult::OlderFence) {
    ReportRejectedFence(aCommand, *found->second);
  }
  // Send the grant that follows a release without delay. Responses to grants
  // do not trigger this: a new leader receives about a thousand of them within
  // a second, and no new command is due after each.
  if (aCommand.kind_ == KeyCommandKind::Release &&
      handlers_.maySendCommands_()) {
    SendCommands();
  }
  ReportChanges();
}

void KeyCoordinator::ReportRejectedFence(const KeyCommand& aCommand,
                                         const KeyOwnership& aOwnership)
{
  const auto* segment = FindSegment(aOwnership.Segments(), aCommand.first_);
  if (segment == nullptr || segment->fence_ != aCommand.fence_) {
    return; // superseded by a fence of this term
  }
  const TimeMs nowMs = loop_.NowMs();
  const auto [reported, isFirst] =
    rejectionsMs_.try_emplace(aCommand.backend_, nowMs);
  if (isFirst || nowMs - reported->second >= detail::kRejectionIntervalMs) {
    reported->second = nowMs;
    handlers_.onFenceRejected_();
  }
}

void KeyCoordinator::ReportChanges()
{
  bool changed = false;
  for (auto& [name, revision] : reportedRevisions_) {
    const auto found = services_.find(name);
    if (found != services_.end()) {
      const auto known = std::exchange(revision, found->second->Revision());
      changed |= known != revision;
    }
  }
  if (changed) {
    handlers_.onChanged_();
  }
}

}

#include "scheduling/SlotScheduler.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxWaiting = 4096;
/// Decided requests that are kept to answer repeats, and for how long.
constexpr size_t kMaxDecided = 8192;
constexpr TimeMs kKeepDecidedMs = 250;
/// A slot is dropped this long after the deadline of its request.
constexpr TimeMs kLostSlotMs = 100;
/// Requests that started earlier are known to their server.
constexpr TimeMs kKnownToServerMs = 200;
constexpr TimeMs kLateCheckMs = 10;
/// Limit of all times in messages.
constexpr TimeMs kMaxTimeMs = 3600000;
constexpr size_t kMaxNamedServers = 64;
/// Most requests take no longer than this multiple of the mean time.
constexpr double kLikelyFactor = 1.5;
/// Most waits are no longer than this multiple of the expected one.
constexpr double kLikelyWaitFactor = 1.5;
/// Expected wait while no server can be reached.
constexpr double kUnreachableWaitMs = 300;
/// Work owed to lower ranks is limited to what accrues in this time.
constexpr double kOwedMs = 3000;
constexpr double kReturnJitter = 0.2;

}

size_t SlotScheduler::EntryKeyHash::operator()(const EntryKey& aKey) const
{
  constexpr uint64_t kOddFactor = 0x9e3779b97f4a7c15;
  constexpr int kHighBits = 32;
  const uint64_t mixed = (static_cast<uint64_t>(aKey.second) ^
                          (static_cast<uint64_t>(aKey.first) << kHighBits)) *
                         kOddFactor;
  return mixed ^ (mixed >> kHighBits);
}

SlotScheduler::SlotScheduler(SlotOptions aOptions,
                             DomainCrossing& aCrossing,
                             uint32_t aSeed)
  : options_(aOptions)
  , crossing_(aCrossing)
  , random_(aSeed)
  , servers_(aOptions.cold_)
{
}

void SlotScheduler::SetServers(const std::vector<SlotServer>& aServers,
                               TimeMs aNowMs)
{
  servers_.Set(aServers, aNowMs);
  capacityMs_ = -1;
  std::vector<uint32_t> unlisted;
  for (auto& [id, server] : servers_.All()) {
    if (!server.slots_.IsListed()) {
      unlisted.push_back(id);
      for (auto* entry : server.queue_.Entries()) {
        RefuseNoServer(*entry, aNowMs);
      }
    }
  }
  std::ranges::for_each(unlisted,
                        [&](uint32_t aId) { servers_.EraseUnused(aId); });
  for (auto* entry : queue_.Entries()) {
    if (!servers_.AnyReachable(*entry, aNowMs) &&
        !TryLeave(*entry, 0, aNowMs) && !servers_.AnyListed(*entry)) {
      RefuseNoServer(*entry, aNowMs);
    }
  }
  FillAll(aNowMs);
}

void SlotScheduler::OnRequest(const SlotRequest& aRequest, TimeMs aNowMs)
{
  const auto known = entries_.find({ aRequest.gateway_, aRequest.number_ });
  if (known != entries_.end()) {
    auto& entry = known->second;
    if (entry.request_.server_ == aRequest.server_ &&
        entry.request_.route_ == aRequest.route_) {
      if (entry.phase_ != SlotPhase::Ended) {
        answers_.push_back(entry.answer_);
      }
      return;
    }
    // A restarted gateway counts its requests anew.
    Drop(entry, aNowMs);
  }
  Decide(AddEntry(aRequest, aNowMs), aNowMs);
}

void SlotScheduler::Drop(SlotEntry& aEntry, TimeMs aNowMs)
{
  const EntryKey key{ aEntry.request_.gateway_, aEntry.request_.number_ };
  if (aEntry.phase_ == SlotPhase::InUse) {
    ReleaseSlot(aEntry, aNowMs);
  } else {
    Close(aEntry, SlotPhase::Ended, aNowMs);
  }
  if (const auto left = entries_.find(key); left != entries_.end()) {
    Forget(left->second);
  }
}

SlotEntry& SlotScheduler::AddEntry(const SlotRequest& aRequest, TimeMs aNowMs)
{
  auto& entry = entries_[{ aRequest.gateway_, aRequest.number_ }];
  entry.request_ = aRequest;
  auto& request = entry.request_;
  constexpr auto kMaxMs = detail::kMaxTimeMs;
  request.objectiveMs_ = std::clamp<TimeMs>(aRequest.objectiveMs_, 0, kMaxMs);
  request.objectiveLeftMs_ =
    std::clamp<TimeMs>(aRequest.objectiveLeftMs_, -kMaxMs, kMaxMs);
  request.remainingMs_ = std::clamp<TimeMs>(aRequest.remainingMs_, 0, kMaxMs);
  for (auto* named : { &request.avoided_, &request.connected_ }) {
    named->resize(std::min(named->size(), detail::kMaxNamedServers));
  }
  entry.answer_.gateway_ = request.gateway_;
  entry.answer_.number_ = request.number_;
  entry.sequence_ = ++sequence_;
  entry.rank_ = static_cast<size_t>(
    std::clamp(aRequest.rank_, 0, static_cast<int>(SlotQueue::kRanks) - 1));
  entry.workMs_ = work_.WorkMs(request.route_);
  entry.arrivedMs_ = aNowMs;
  entry.objectiveAtMs_ = aNowMs + request.objectiveLeftMs_;
  entry.deadlineMs_ = aNowMs + request.remainingMs_;
  entry.late_ =
    static_cast<double>(request.objectiveLeftMs_) < ExpectedMs(entry, aNowMs);
  SetDue(entry, entry.deadlineMs_);
  return entry;
}

void SlotScheduler::Decide(SlotEntry& aEntry, TimeMs aNowMs)
{
  const auto& request = aEntry.request_;
  if (request.remainingMs_ == 0) {
    Refuse(aEntry, SlotCause::Full, 0, aNowMs);
    return;
  }
  const bool anyServer = request.server_ == 0;
  if (!anyServer && servers_.FindListed(request.server_) == nullptr) {
    RefuseNoServer(aEntry, aNowMs);
    return;
  }
  if (anyServer && request.crossing_) {
    DecideCrossing(aEntry, aNowMs);
    return;
  }
  if (TryAssignNow(aEntry, aNowMs)) {
    return;
  }
  const auto forecast = Predict(aEntry, aNowMs);
  if (TryLeave(aEntry, forecast.waitMs_, aNowMs)) {
    return;
  }
  if (anyServer && !servers_.AnyListed(aEntry)) {
    RefuseNoServer(aEntry, aNowMs);
    return;
  }
  // Tokens of a cold server come at a known pace.
  const double waitFactor =
    forecast.cause_ == SlotCause::ColdServer ? 1 : detail::kLikelyWaitFactor;
  const double doneMs =
    waitFactor * forecast.waitMs_ + LikelyMs(aEntry, aNowMs);
  const bool tooLate =
    doneMs > static_cast<double>(request.objectiveLeftMs_) &&
    forecast.waitMs_ > static_cast<double>(MinWaitMs(aEntry));
  // Where a slot is free, late is better than not at all.
  if ((tooLate && !(anyServer && servers_.AnyRoom(aEntry, aNowMs))) ||
      waiting_ >= detail::kMaxWaiting) {
    Refuse(
      aEntry, forecast.cause_, RetryAfterMs(aEntry, forecast, aNowMs), aNowMs);
    return;
  }
  Enqueue(aEntry, aNowMs);
}

void SlotScheduler::DecideCrossing(SlotEntry& aEntry, TimeMs aNowMs)
{
  if (servers_.Room(aNowMs) <= queue_.Size() || !TryAssignNow(aEntry, aNowMs)) {
    Refuse(aEntry, SlotCause::Full, 0, aNowMs);
  }
}

bool SlotScheduler::TryAssignNow(SlotEntry& aEntry, TimeMs aNowMs)
{
  ScheduledServer* server = nullptr;
  if (aEntry.request_.server_ == 0) {
    server = servers_.Best(aEntry, queue_.MoreUrgent(aEntry.rank_), aNowMs);
  } else {
    server = servers_.FindListed(aEntry.request_.server_);
    if (server->queue_.Size() > 0 || server->slots_.OwnerRoom(aNowMs) == 0) {
      return false;
    }
  }
  if (server == nullptr) {
    return false;
  }
  (aEntry.request_.server_ == 0 ? queue_ : ownerBound_)
    .OnAccepted(aEntry.rank_, aEntry.workMs_, aNowMs);
  if (aEntry.request_.server_ != 0) {
    server->queue_.OnAccepted(aEntry.rank_, aEntry.workMs_, aNowMs);
  }
  Assign(aEntry, *server, aNowMs);
  return true;
}

bool SlotScheduler::TryLeave(SlotEntry& aEntry, double aWaitMs, TimeMs aNowMs)
{
  const auto& request = aEntry.request_;
  if (request.server_ != 0 || request.crossing_ || request.returned_) {
    return false;
  }
  const auto domain =
    crossing_.Choose({ .localWaitMs_ = static_cast<TimeMs>(std::min(
                         aWaitMs, static_cast<double>(detail::kMaxTimeMs))),
                       .noLocalServer_ = !servers_.AnyReachable(aEntry, aNowMs),
                       .objectiveMs_ = request.objectiveMs_,
                       .objectiveLeftMs_ = aEntry.objectiveAtMs_ - aNowMs,
                       .bytes_ = request.bytes_ },
                     aNowMs);
  if (domain == 0) {
    return false;
  }
  aEntry.answer_.domain_ = domain;
  Send(aEntry, SlotVerdict::Elsewhere);
  Close(aEntry, SlotPhase::Decided, aNowMs);
  return true;
}

void SlotScheduler::Enqueue(SlotEntry& aEntry, TimeMs aNowMs)
{
  auto& queue = QueueOf(aEntry);
  queue.OnAccepted(aEntry.rank_, aEntry.workMs_, aNowMs);
  if (aEntry.request_.server_ != 0) {
    ownerBound_.OnAccepted(aEntry.rank_, aEntry.workMs_, aNowMs);
  }
  queue.Push(aEntry);
  ++waiting_;
  aEntry.phase_ = SlotPhase::Waiting;
  const auto lateMs =
    aEntry.late_
      ? aNowMs + MinWaitMs(aEntry)
      : aEntry.objectiveAtMs_ - static_cast<TimeMs>(LikelyMs(aEntry, aNowMs));
  SetDue(aEntry, std::min(aEntry.deadlineMs_, lateMs));
  Send(aEntry, SlotVerdict::Queued);
}

void SlotScheduler::Assign(SlotEntry& aEntry,
                           ScheduledServer& aServer,
                           TimeMs aNowMs)
{
  LeaveQueue(aEntry);
  aEntry.phase_ = SlotPhase::InUse;
  aEntry.startedMs_ = aNowMs;
  aEntry.slowness_ = aServer.slots_.Slowness(aNowMs);
  aEntry.answer_.server_ = aServer.slots_.Id();
  aServer.slots_.Take(aNowMs);
  aServer.inUse_.push_back(&aEntry);
  ++inUse_;
  SetDue(aEntry, aEntry.deadlineMs_ + detail::kLostSlotMs);
  Send(aEntry, SlotVerdict::Assigned);
}

void SlotScheduler::LeaveQueue(const SlotEntry& aEntry)
{
  if (aEntry.phase_ == SlotPhase::Waiting) {
    QueueOf(aEntry).Remove(aEntry);
    --waiting_;
  }
}

void SlotScheduler::Refuse(SlotEntry& aEntry,
                           SlotCause aCause,
                           TimeMs aRetryAfterMs,
                           TimeMs aNowMs)
{
  aEntry.answer_.cause_ = aCause;
  aEntry.answer_.retryAfterMs_ = aRetryAfterMs;
  Send(aEntry, SlotVerdict::Refused);
  Close(aEntry, SlotPhase::Decided, aNowMs);
}

void SlotScheduler::RefuseWaiting(SlotEntry& aEntry, TimeMs aNowMs)
{
  const auto forecast = Predict(aEntry, aNowMs);
  Refuse(
    aEntry, forecast.cause_, RetryAfterMs(aEntry, forecast, aNowMs), aNowMs);
}

void SlotScheduler::RefuseNoServer(SlotEntry& aEntry, TimeMs aNowMs)
{
  const auto retryMs =
    WithinRetryLimits(aEntry, static_cast<double>(detail::kMaxTimeMs), aNowMs);
  Refuse(aEntry, SlotCause::NoServer, retryMs, aNowMs);
}

void SlotScheduler::Close(SlotEntry& aEntry, SlotPhase aPhase, TimeMs aNowMs)
{
  LeaveQueue(aEntry);
  aEntry.phase_ = aPhase;
  // Only the answer is needed from here on.
  aEntry.request_.avoided_ = {};
  aEntry.request_.connected_ = {};
  if (entries_.size() - waiting_ - inUse_ > detail::kMaxDecided) {
    Forget(aEntry);
  } else {
    SetDue(aEntry, aNowMs + detail::kKeepDecidedMs);
  }
}

void SlotScheduler::ReleaseSlot(SlotEntry& aEntry, TimeMs aNowMs)
{
  const auto id = aEntry.answer_.server_;
  auto& server = *servers_.Find(id);
  std::erase(server.inUse_, &aEntry);
  server.slots_.Release(aNowMs);
  --inUse_;
  Close(aEntry, SlotPhase::Ended, aNowMs);
  servers_.EraseUnused(id);
}

void SlotScheduler::OnEnd(const SlotEnd& aEnd, TimeMs aNowMs)
{
  const auto known = entries_.find({ aEnd.gateway_, aEnd.number_ });
  if (known == entries_.end()) {
    return;
  }
  auto& entry = known->second;
  if (entry.phase_ == SlotPhase::Waiting) {
    Close(entry, SlotPhase::Ended, aNowMs);
    return;
  }
  const auto id = entry.answer_.server_;
  // Server 0: withdrawn before the answer arrived.
  if (entry.phase_ != SlotPhase::InUse ||
      (aEnd.server_ != id && aEnd.server_ != 0)) {
    return;
  }
  auto& server = *servers_.Find(id);
  if (aEnd.server_ == id) {
    Learn(entry, aEnd, server, aNowMs);
  }
  ReleaseSlot(entry, aNowMs);
  if (auto* left = servers_.Find(id)) {
    Fill(*left, aNowMs);
  }
}

void SlotScheduler::Learn(const SlotEntry& aEntry,
                          const SlotEnd& aEnd,
                          ScheduledServer& aServer,
                          TimeMs aNowMs)
{
  auto& slots = aServer.slots_;
  if (aEnd.load_) {
    OnReport(aEntry, *aEnd.load_, aServer, aNowMs);
  }
  switch (aEnd.outcome_) {
    case SlotOutcome::Served:
      slots.OnServed(aNowMs);
      break;
    case SlotOutcome::Rejected:
      slots.OnRejected(aEnd.load_, aNowMs);
      return;
    case SlotOutcome::Failed:
      slots.OnFailed(aNowMs);
      return;
    case SlotOutcome::Unreachable:
      slots.OnUnreachable(aNowMs);
      return;
    default:
      return;
  }
  if (aEnd.latencyMs_ <= 0 || aEnd.latencyMs_ > detail::kMaxTimeMs) {
    return;
  }
  // The host may have changed its speed while the request ran.
  const double slowness = (aEntry.slowness_ + slots.Slowness(aNowMs)) / 2;
  const double speed = slots.SpeedFactor(aNowMs);
  const double meanMs = work_.WorkMs(aEntry.request_.route_);
  const double workMs =
    work_.Add(aEntry.request_.route_,
              static_cast<double>(aEnd.latencyMs_) / slowness / speed);
  slots.OnSpeedSample(workMs * speed / meanMs, aNowMs);
}

void SlotScheduler::OnReport(const SlotEntry& aEnded,
                             const SlotLoad& aLoad,
                             ScheduledServer& aServer,
                             TimeMs aNowMs)
{
  const auto others = static_cast<int>(aServer.inUse_.size()) - 1;
  auto lost = aServer.slots_.OnReport(aLoad, others, aNowMs);
  // The ended one keeps its slot, so that the server is not erased.
  const auto isOld = [&](const SlotEntry* aEntry) {
    return aEntry != &aEnded &&
           aNowMs - aEntry->startedMs_ > detail::kKnownToServerMs;
  };
  for (; lost > 0; --lost) {
    const auto oldest = std::ranges::find_if(aServer.inUse_, isOld);
    if (oldest == aServer.inUse_.end()) {
      return;
    }
    ReleaseSlot(**oldest, aNowMs);
  }
}

void SlotScheduler::Poll(TimeMs aNowMs)
{
  while (!due_.empty() && due_.begin()->first.first <= aNowMs) {
    OnDue(*due_.begin()->second, aNowMs);
  }
  FillAll(aNowMs);
}

void SlotScheduler::OnDue(SlotEntry& aEntry, TimeMs aNowMs)
{
  if (aEntry.phase_ == SlotPhase::InUse) {
    ReleaseSlot(aEntry, aNowMs);
    return;
  }
  if (aEntry.phase_ != SlotPhase::Waiting) {
    Forget(aEntry);
    return;
  }
  auto& queue = QueueOf(aEntry);
  queue.MakeLate(aEntry);
  const bool waitedEnough = aNowMs - aEntry.arrivedMs_ >= MinWaitMs(aEntry);
  if (aNowMs >= aEntry.deadlineMs_ ||
      (waitedEnough && queue.HasBehind(aEntry))) {
    RefuseWaiting(aEntry, aNowMs);
    return;
  }
  SetDue(aEntry, std::min(aEntry.deadlineMs_, aNowMs + detail::kLateCheckMs));
}

void SlotScheduler::SetDue(SlotEntry& aEntry, TimeMs aDueMs)
{
  due_.erase({ aEntry.dueMs_, aEntry.sequence_ });
  aEntry.dueMs_ = aDueMs;
  due_.emplace(std::pair(aDueMs, aEntry.sequence_), &aEntry);
}

void SlotScheduler::Forget(const SlotEntry& aEntry)
{
  due_.erase({ aEntry.dueMs_, aEntry.sequence_ });
  entries_.erase(EntryKey{ aEntry.request_.gateway_, aEntry.request_.number_ });
}

void SlotScheduler::Send(SlotEntry& aEntry, SlotVerdict aVerdict)
{
  aEntry.answer_.verdict_ = aVerdict;
  answers_.push_back(aEntry.answer_);
}

std::vector<SlotAnswer> SlotScheduler::TakeAnswers()
{
  return std::exchange(answers_, {});
}

void SlotScheduler::FillAll(TimeMs aNowMs)
{
  if (waiting_ == 0) {
    return;
  }
  for (auto& [id, server] : servers_.All()) {
    Fill(server, aNowMs);
  }
}

void SlotScheduler::Fill(ScheduledServer& aServer, TimeMs aNowMs)
{
  while (aServer.slots_.Room(aNowMs) > 0) {
    auto* entry = Next(aServer, aNowMs);
    if (entry == nullptr) {
      break;
    }
    Assign(*entry, aServer, aNowMs);
  }
  while (aServer.slots_.OwnerRoom(aNowMs) > 0) {
    auto* entry = aServer.queue_.First();
    if (entry == nullptr) {
      return;
    }
    Assign(*entry, aServer, aNowMs);
  }
}

SlotEntry* SlotScheduler::Next(ScheduledServer& aServer, TimeMs aNowMs)
{
  SlotEntry* next = nullptr;
  std::array<bool, SlotQueue::kRanks> hasLower{};
  double lowerMs = 0;
  for (size_t rank = 0; rank < SlotQueue::kRanks; ++rank) {
    auto* entry = NextOfRank(aServer, rank, aNowMs);
    if (entry == nullptr) {
      continue;
    }
    if (next != nullptr) {
      hasLower[next->rank_] = true;
      lowerMs = std::max(lowerMs, entry->workMs_);
      if (aServer.owedMs_[next->rank_] < entry->workMs_) {
        break;
      }
    }
    next = entry;
  }
  if (next == nullptr) {
    return nullptr;
  }
  const double maxOwedMs = std::max(
    lowerMs, detail::kOwedMs * aServer.slots_.Slots() * options_.lowRankShare_);
  for (size_t rank = 0; rank <= next->rank_; ++rank) {
    if (hasLower[rank]) {
      auto& owedMs = aServer.owedMs_[rank];
      owedMs += next->workMs_ * options_.lowRankShare_;
      owedMs = std::min(owedMs, maxOwedMs);
      owedMs -= rank < next->rank_ ? next->workMs_ : 0;
    }
  }
  return next;
}

SlotEntry* SlotScheduler::NextOfRank(const ScheduledServer& aServer,
                                     size_t aRank,
                                     TimeMs aNowMs)
{
  const auto moreUrgent = queue_.MoreUrgent(aRank);
  for (const bool late : { false, true }) {
    // Other servers can run what waits for any.
    auto* entry =
      aServer.queue_.First(aRank, late, [](const auto&) { return true; });
    if (entry == nullptr) {
      entry = queue_.First(aRank, late, [&](const SlotEntry& aEntry) {
        return servers_.ShouldRun(aEntry, aServer.slots_, moreUrgent, aNowMs);
      });
    }
    if (entry != nullptr) {
      return entry;
    }
  }
  return nullptr;
}

SlotQueue& SlotScheduler::QueueOf(const SlotEntry& aEntry)
{
  return aEntry.request_.server_ == 0
           ? queue_
           : servers_.Find(aEntry.request_.server_)->queue_;
}

const SlotCapacity& SlotScheduler::Capacity(TimeMs aNowMs)
{
  if (capacityMs_ != aNowMs) {
    capacityMs_ = aNowMs;
    capacity_ = servers_.Capacity(work_.MeanMs(), aNowMs);
  }
  return capacity_;
}

double SlotScheduler::ExpectedMs(const SlotEntry& aEntry, TimeMs aNowMs)
{
  if (const auto* owner = servers_.FindListed(aEntry.request_.server_)) {
    return aEntry.workMs_ * owner->slots_.TimeFactor(aNowMs);
  }
  const auto& all = Capacity(aNowMs);
  return all.speed_ > 0 ? aEntry.workMs_ * all.slots_ / all.speed_
                        : aEntry.workMs_;
}

double SlotScheduler::LikelyMs(const SlotEntry& aEntry, TimeMs aNowMs)
{
  return detail::kLikelyFactor * ExpectedMs(aEntry, aNowMs);
}

SlotScheduler::Forecast SlotScheduler::Predict(const SlotEntry& aEntry,
                                               TimeMs aNowMs)
{
  const auto rank = aEntry.rank_;
  auto* owner = servers_.FindListed(aEntry.request_.server_);
  const auto& queue = owner == nullptr ? queue_ : owner->queue_;
  const double capacity = owner == nullptr ? Capacity(aNowMs).work_
                                           : owner->slots_.UsableSlots(aNowMs) /
                                               owner->slots_.TimeFactor(aNowMs);
  Forecast forecast;
  forecast.cause_ = owner == nullptr ? SlotCause::Full : SlotCause::OwnerFull;
  if (capacity <= 0) {
    forecast.waitMs_ = detail::kUnreachableWaitMs;
    return forecast;
  }
  const double lowRank = capacity * options_.lowRankShare_;
  const double taken =
    queue.AcceptedRate(rank, aNowMs) +
    (owner == nullptr ? ownerBound_.AcceptedRate(rank + 1, aNowMs) : 0);
  forecast.available_ = std::max(capacity - taken, lowRank);
  forecast.waitMs_ =
    queue.WaitMs(rank, aEntry.workMs_, forecast.available_, lowRank);
  if (owner != nullptr) {
    const auto& slots = owner->slots_;
    forecast.waitMs_ += std::max(0, slots.InUse() - slots.Slots()) *
                        aEntry.workMs_ / forecast.available_;
    const auto coldMs =
      static_cast<double>(owner->slots_.ColdWaitMs(queue.Ahead(rank), aNowMs));
    if (coldMs > forecast.waitMs_) {
      forecast.waitMs_ = coldMs;
      forecast.cause_ = SlotCause::ColdServer;
    }
  }
  return forecast;
}

TimeMs SlotScheduler::RetryAfterMs(const SlotEntry& aEntry,
                                   const Forecast& aForecast,
                                   TimeMs aNowMs)
{
  const auto leftMs = static_cast<double>(aEntry.objectiveAtMs_ - aNowMs);
  const double bearableMs = leftMs <= 0
                              ? 0
                              : std::max(static_cast<double>(MinWaitMs(aEntry)),
                                         leftMs - LikelyMs(aEntry, aNowMs));
  const double wantedMs =
    QueueOf(aEntry).ReserveReturn(aEntry.rank_,
                                  std::max(0.0, aForecast.waitMs_ - bearableMs),
                                  aEntry.workMs_,
                                  aForecast.available_,
                                  aNowMs);
  return WithinRetryLimits(aEntry, wantedMs, aNowMs);
}

TimeMs SlotScheduler::WithinRetryLimits(const SlotEntry& aEntry,
                                        double aWantedMs,
                                        TimeMs aNowMs)
{
  const double maxMs =
    static_cast<double>(std::max<TimeMs>(0, aEntry.deadlineMs_ - aNowMs)) *
    options_.maxRetryAfterShare_;
  std::uniform_real_distribution<double> jitter(-detail::kReturnJitter,
                                                detail::kReturnJitter);
  const double centreMs =
    std::min(aWantedMs, maxMs / (1 + detail::kReturnJitter));
  return static_cast<TimeMs>(
    std::min(maxMs,
             std::max(centreMs * (1 + jitter(random_)),
                      static_cast<double>(options_.minRetryAfterMs_))));
}

TimeMs SlotScheduler::MinWaitMs(const SlotEntry& aEntry) const
{
  return static_cast<TimeMs>(static_cast<double>(aEntry.request_.objectiveMs_) *
                             options_.minWaitShare_);
}

SlotSummary SlotScheduler::Summary(TimeMs aNowMs) const
{
  const auto capacity = servers_.Capacity(work_.MeanMs(), aNowMs);
  const auto waiting = static_cast<double>(queue_.Size());
  constexpr double kNoSlots = 1e6;
  SlotSummary summary;
  summary.freeSlots_ = std::max(0.0, capacity.free_ - waiting);
  summary.utilization_ =
    capacity.slots_ > 0
      ? (static_cast<double>(inUse_) + waiting) / capacity.slots_
      : kNoSlots;
  if (summary.freeSlots_ >= 1) {
    return summary;
  }
  const auto rank = queue_.LowestRank();
  const double available = capacity.work_ - queue_.AcceptedRate(rank, aNowMs) -
                           ownerBound_.AcceptedRate(rank + 1, aNowMs);
  const double lowRank = capacity.work_ * options_.lowRankShare_;
  const double waitMs =
    queue_.WaitMs(rank, work_.MeanMs(), std::max(available, lowRank), lowRank);
  summary.waitMs_ = static_cast<TimeMs>(
    std::min(static_cast<double>(detail::kMaxTimeMs), waitMs));
  return summary;
}

bool SlotScheduler::IsIdle() const
{
  return waiting_ == 0 && inUse_ == 0;
}

}

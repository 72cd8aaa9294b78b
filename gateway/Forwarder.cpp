#include "gateway/Forwarder.hpp"

#include "common/ShortHash.hpp"
#include "gateway/ForwardedRequest.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Interval at which queued requests are dispatched again even if no attempt
/// ends.
constexpr TimeMs kQueueIntervalMs = 10;
/// Fraction of the retry budget that is used, because the clocks and time
/// windows of other processes differ from those of this one.
constexpr double kRetryBudgetSafetyFactor = 0.8;
constexpr double kPercent = 100;
/// Retry-After time while the owner of a key is being changed.
constexpr TimeMs kMoveRetryMs = 60;
/// Fraction of the route's latency objective for which a request waits for a
/// key move; a move takes no longer if both servers respond.
constexpr double kMoveWaitShare = 0.4;
/// Lower bound of the Retry-After time of an overloaded owner, as a fraction of
/// the caller's remaining time.
constexpr double kMinRetryAfterShare = 0.1;
/// Number of non-preferred servers that are compared for one request. All
/// gateways share the same load reports, so all of them would choose the same
/// best server; choosing from a random sample spreads them.
constexpr size_t kSampledBackends = 6;
/// Servers with an idle connection that a slot request names.
constexpr size_t kMaxConnectedServers = 12;
/// Assumed response size of a route before its first response.
constexpr double kInitialResponseBytes = 2048;
/// Response bytes that are buffered for one request, and the same while the
/// responses of all requests use up their memory.
constexpr size_t kMaxBufferedBytes = 262144;
constexpr size_t kMinBufferedBytes = 16384;
constexpr size_t kMaxWaitingBytes = 1048576;
/// Shares of the memory limit for bodies of requests and for responses. A body
/// that grows is copied, which takes half as much again for a moment.
constexpr size_t kRequestMemoryDivisor = 2;
constexpr size_t kResponseMemoryDivisor = 5;
constexpr double kInitialDownloadBytes = 65536;
constexpr double kResponseBytesWeight = 0.05;

}

Forwarder::Forwarder(EventLoop& aLoop,
                     EventLog& aLog,
                     GatewayMetrics& aMetrics,
                     const RequestProtocol& aProtocol,
                     ForwardingLimits aLimits,
                     RequestLimiter& aLimiter,
                     SlotExchange& aSlots,
                     CrashDetector::ChangeCallback aOnSuspectsChanged,
                     BackendPool::Handlers aPoolHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , metrics_(aMetrics)
  , protocol_(aProtocol)
  , limits_(std::move(aLimits))
  , crashes_(aLoop, aLog, std::move(aOnSuspectsChanged))
  , pool_(aLoop,
          aLog,
          aMetrics,
          aProtocol,
          crashes_,
          aLimiter,
          std::move(aPoolHandlers))
  , admission_(std::random_device{}())
  , limiter_(aLimiter)
  , slots_(aSlots)
  , cold_(limits_.gateway_)
  , requestBudget_(std::make_shared<ByteBudget>(limits_.memoryBytes_ /
                                                detail::kRequestMemoryDivisor))
  , responseBudget_(std::make_shared<ByteBudget>(
      limits_.memoryBytes_ / detail::kResponseMemoryDivisor))
  , responseBytes_(detail::kResponseBytesWeight)
  , queueTimer_(aLoop, [this] { DispatchQueued(); })
  , random_(std::random_device{}())
{
}

Forwarder::~Forwarder() = default;

void Forwarder::SetConfig(RoutingConfig aConfig)
{
  routes_ = std::make_shared<RouteTable>(std::move(aConfig));
  std::set<std::string_view> names;
  for (const auto& route : routes_->Config().routes_) {
    names.insert(route.name_);
  }
  responseBytes_.Keep(
    [&](const std::string& aName) { return names.contains(aName); });
}

void Forwarder::UpdateBackends(
  const std::map<std::string, BackendEntry>& aEntries,
  const std::set<std::string>& aChanged)
{
  pool_.Update(aEntries, aChanged);
  AssignPreferredBackends();
  ScheduleDispatch();
}

void Forwarder::SetGateways(const std::string& aSelf,
                            const std::vector<NodeLocation>& aGateways)
{
  if (self_ != aSelf || gatewayNames_ != aGateways) {
    gatewayCount_ = std::max<size_t>(aGateways.size(), 1);
    UpdateRetryBudgets();
    self_ = aSelf;
    gatewayNames_ = aGateways;
    std::vector<std::string> names;
    std::ranges::transform(
      aGateways, std::back_inserter(names), &NodeLocation::first);
    crashes_.SetGateways(aSelf, std::move(names));
    AssignPreferredBackends();
  }
}

void Forwarder::SetEvacuatedDomains(std::set<std::string> aDomains)
{
  pool_.SetEvacuatedDomains(std::move(aDomains));
  AssignPreferredBackends();
  ScheduleDispatch();
}

ColdLimits Forwarder::ColdLimitsOf(const std::string& aService) const
{
  const auto* service =
    routes_ == nullptr ? nullptr : routes_->Service(aService);
  if (service == nullptr || service->coldPerSecond_ <= 0 ||
      limits_.coldOvershoot_ <= 0) {
    return {};
  }
  return { service->coldPerSecond_ * limits_.coldOvershoot_,
           limits_.coldSlack_ };
}

bool Forwarder::LimitsColdServers() const
{
  return routes_ != nullptr &&
         std::ranges::any_of(
           routes_->Config().services_, [this](const auto& aService) {
             return ColdLimitsOf(aService.first).perSecond_ > 0;
           });
}

void Forwarder::SetRetryLimits(double aRatio, double aExtra)
{
  limits_.retryRatio_ = aRatio;
  limits_.retryExtra_ = aExtra;
  UpdateRetryBudgets();
}

double Forwarder::RetryPercent() const
{
  return limits_.retryRatio_ * detail::kRetryBudgetSafetyFactor *
         detail::kPercent;
}

double Forwarder::RetryBurst() const
{
  return limits_.retryExtra_ * detail::kRetryBudgetSafetyFactor /
         static_cast<double>(gatewayCount_);
}

void Forwarder::UpdateRetryBudgets()
{
  for (auto& [service, budget] : retryBudgets_) {
    budget.SetLimits(RetryPercent(), RetryBurst());
  }
}

void Forwarder::AssignPreferredBackends()
{
  for (const auto& [service, backends] : pool_.Services()) {
    std::vector<NodeLocation> servers;
    for (const auto& backend : backends) {
      if (backend->IsUsable()) {
        servers.emplace_back(backend->entry_.id_,
                             backend->entry_.failureDomain_);
      }
    }
    const auto homes = PreferredServers(self_, gatewayNames_, servers);
    for (const auto& backend : backends) {
      backend->preferred_ = homes.contains(backend->entry_.id_);
    }
  }
}

size_t Forwarder::ConnectionShare(const ServiceSpec& aService) const
{
  // All gateways share the connections of a server; a tenth is left to the
  // commands of the leader.
  constexpr double kUsableShare = 0.9;
  const double share = aService.maxConnections_ * kUsableShare /
                       static_cast<double>(gatewayCount_);
  return std::max<size_t>(2, static_cast<size_t>(share));
}

PlacementCandidate Forwarder::MakeCandidate(const Backend& aBackend,
                                            const ForwardedRequest& aRequest,
                                            size_t aMaxConnections) const
{
  const TimeMs nowMs = loop_.NowMs();
  PlacementCandidate candidate;
  candidate.serviceTimeMs_ = aBackend.load_.ServiceTimeMs(nowMs);
  candidate.expectedMs_ = aBackend.load_.ExpectedMs(nowMs);
  candidate.failureShare_ = aBackend.load_.FailureShare(nowMs);
  candidate.sameDomain_ =
    aBackend.entry_.failureDomain_ == limits_.failureDomain_;
  candidate.preferred_ = aBackend.preferred_;
  candidate.down_ = aBackend.downUntilMs_ > nowMs;
  candidate.full_ =
    aBackend.pause_.IsFull(aBackend.busy_.size()) ||
    (aBackend.idle_.empty() && aBackend.Connections() >= aMaxConnections);
  candidate.tried_ = aRequest.TriedBackends().contains(aBackend.entry_.id_);
  return candidate;
}

PermitDecision Forwarder::CheckPermit(const Backend& aBackend)
{
  return limiter_.Check(
    aBackend.incarnationHash_, RequestLimiter::kAnyRequest, loop_.NowMs());
}

bool Forwarder::IsSelectable(const Backend& aBackend, TimeMs aNowMs)
{
  return aBackend.TakesRequests(aNowMs) && MaySendCold(aBackend, aNowMs) &&
         CheckPermit(aBackend).verdict_ != PermitVerdict::Denied;
}

bool Forwarder::MaySendCold(const Backend& aBackend, TimeMs aNowMs)
{
  if (!aBackend.IsCold(aNowMs)) {
    return true;
  }
  const auto limits = ColdLimitsOf(aBackend.entry_.service_);
  return limits.perSecond_ <= 0 ||
         cold_.MaySend(aBackend.incarnationHash_, limits, aNowMs);
}

void Forwarder::TakePermit(const Backend& aBackend, bool aHasSlot)
{
  limiter_.Take(aBackend.incarnationHash_);
  const TimeMs nowMs = loop_.NowMs();
  if (!aHasSlot && aBackend.IsCold(nowMs)) {
    const auto limits = ColdLimitsOf(aBackend.entry_.service_);
    if (limits.perSecond_ > 0) {
      cold_.OnSent(aBackend.incarnationHash_, limits, nowMs);
    }
  }
}

BackendChoice Forwarder::ChooseBackend(ForwardedRequest& aRequest)
{
  const auto* service = routes_->Service(aRequest.Service());
  static const ServiceSpec kUnknown;
  if (service == nullptr) {
    service = &kUnknown;
  }
  if (pool_.IsEvacuated(aRequest.Service())) {
    BackendChoice choice;
    choice.cause_ = "evacuated";
    choice.retryAfterMs_ = RandomRetryAfterMs(aRequest.RemainingMs());
    return choice;
  }
  if (slots_.IsActive()) {
    if (const auto choice = ChooseBySlot(aRequest, *service)) {
      return *choice;
    }
  }
  if (!aRequest.IsAdmitted()) {
    if (!TryAdmit(aRequest)) {
      BackendChoice refused;
      refused.cause_ = "owner-share";
      refused.retryAfterMs_ = RandomRetryAfterMs(aRequest.RemainingMs());
      return refused;
    }
    aRequest.SetAdmitted();
  }
  if (service->keyed_ && aRequest.Caller().key_) {
    return ChooseOwner(aRequest, *service);
  }
  return ChooseAny(aRequest, *service);
}

std::optional<BackendChoice> Forwarder::ChooseBySlot(
  const ForwardedRequest& aRequest,
  const ServiceSpec& aService)
{
  const TimeMs nowMs = loop_.NowMs();
  const bool keyed = aService.keyed_ && aRequest.Caller().key_;
  const auto owner = keyed ? ReadyOwner(aRequest) : nullptr;
  auto decision = Slots().Check(aRequest.Number(), nowMs);
  if (decision.state_ == SlotState::Unasked) {
    if (keyed && owner == nullptr) {
      return std::nullopt;
    }
    decision = Slots().Ask(
      aRequest.Number(),
      MakeSlotRequest(aRequest, owner.get()),
      ShortHash(keyed ? owner->entry_.failureDomain_ : limits_.failureDomain_),
      nowMs);
  }
  BackendChoice choice;
  switch (decision.state_) {
    case SlotState::Pending:
      choice.verdict_ = PlacementVerdict::Wait;
      return choice;
    case SlotState::Refused:
      if (decision.cause_ == SlotCause::NoServer) {
        // This gateway's directory may be newer than that of the broker.
        return std::nullopt;
      }
      choice.cause_ = EnumName(decision.cause_);
      choice.retryAfterMs_ =
        RetryAfterMs(options_,
                     aRequest.RemainingMs(),
                     static_cast<double>(decision.retryAfterMs_));
      return choice;
    case SlotState::Assigned:
      if (keyed && owner == nullptr) {
        ReturnUnused(decision.number_);
        return std::nullopt;
      }
      return UseSlot(decision, owner.get(), aService, aRequest.Service());
    default:
      return std::nullopt;
  }
}

void Forwarder::ReturnUnused(int64_t aSlot)
{
  if (aSlot != 0) {
    Slots().Return(aSlot, SlotOutcome::Unused, 0, {});
  }
}

std::optional<BackendChoice> Forwarder::UseSlot(const SlotDecision& aDecision,
                                                const Backend* aOwner,
                                                const ServiceSpec& aService,
                                                const std::string& aName)
{
  const TimeMs nowMs = loop_.NowMs();
  BackendChoice choice;
  choice.backend_ = pool_.FindHash(aDecision.server_);
  choice.maxConnections_ = ConnectionShare(aService);
  choice.slot_ = aDecision.number_;
  const auto* backend = choice.backend_.get();
  if (backend == nullptr || backend->entry_.service_ != aName) {
    ReturnUnused(aDecision.number_);
    return std::nullopt;
  }
  // The broker has counted the requests to cold servers.
  const auto permit = CheckPermit(*backend).verdict_;
  if (!backend->TakesRequests(nowMs) || permit == PermitVerdict::Denied ||
      permit == PermitVerdict::Pending) {
    Slots().Return(aDecision.number_, SlotOutcome::Rejected, 0, {});
    return std::nullopt;
  }
  const bool moved = aOwner != nullptr && aOwner != backend;
  const bool down = backend->downUntilMs_ > nowMs;
  if (moved || down) {
    Slots().Return(aDecision.number_,
                   down ? SlotOutcome::Unreachable : SlotOutcome::Unused,
                   0,
                   {});
    choice.verdict_ = PlacementVerdict::Wait;
    return choice;
  }
  choice.verdict_ = PlacementVerdict::Send;
  return choice;
}

SlotRequest Forwarder::MakeSlotRequest(const ForwardedRequest& aRequest,
                                       const Backend* aOwner) const
{
  const auto& route = *aRequest.GetRoute();
  SlotRequest slot;
  slot.service_ = ShortHash(aRequest.Service());
  slot.route_ = ShortHash(route.name_);
  slot.rank_ = route.priority_;
  slot.objectiveMs_ = route.objectiveMs_;
  slot.objectiveLeftMs_ = route.objectiveMs_ - aRequest.ElapsedMs();
  slot.remainingMs_ = aRequest.UsableMs();
  slot.bytes_ = static_cast<uint32_t>(std::min<size_t>(
    aRequest.BodyBytes() + MeanResponseBytes(route), UINT32_MAX));
  if (aOwner != nullptr) {
    slot.server_ = aOwner->idHash_;
    return slot;
  }
  std::ranges::transform(aRequest.TriedBackends(),
                         std::back_inserter(slot.avoided_),
                         [](const auto& aId) { return ShortHash(aId); });
  for (const auto& backend : pool_.OfService(aRequest.Service())) {
    if (slot.connected_.size() < detail::kMaxConnectedServers &&
        !backend->idle_.empty()) {
      slot.connected_.push_back(backend->idHash_);
    }
  }
  return slot;
}

BackendPool::BackendPtr Forwarder::ReadyOwner(
  const ForwardedRequest& aRequest) const
{
  const auto* owner = keys_.Find(aRequest.Service(), *aRequest.Caller().key_);
  if (owner == nullptr || !owner->active_) {
    return nullptr;
  }
  auto backend = pool_.Find(owner->id_);
  const TimeMs nowMs = loop_.NowMs();
  const bool ready = backend != nullptr && backend->TakesRequests(nowMs) &&
                     backend->downUntilMs_ <= nowMs;
  return ready ? backend : nullptr;
}

size_t Forwarder::MaxBufferedBytes() const
{
  return responseBudget_->IsUsedUp() ? detail::kMinBufferedBytes
                                     : detail::kMaxBufferedBytes;
}

size_t Forwarder::MaxWaitingBytes() const
{
  return responseBudget_->IsUsedUp() ? detail::kMinBufferedBytes
                                     : detail::kMaxWaitingBytes;
}

size_t Forwarder::MeanResponseBytes(const Route& aRoute) const
{
  const double first = aRoute.kind_ == RequestKind::Download
                         ? detail::kInitialDownloadBytes
                         : detail::kInitialResponseBytes;
  return static_cast<size_t>(responseBytes_.Get(aRoute.name_, first));
}

void Forwarder::RecordResponseBytes(const Route& aRoute, size_t aBytes)
{
  responseBytes_.Add(aRoute.name_, static_cast<double>(aBytes));
}

BackendChoice Forwarder::ChooseAny(const ForwardedRequest& aRequest,
                                   const ServiceSpec& aService)
{
  BackendChoice choice;
  choice.maxConnections_ = ConnectionShare(aService);
  const auto& backends = pool_.OfService(aRequest.Service());
  std::vector<PlacementCandidate> candidates;
  std::vector<BackendPool::BackendPtr> usable;
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& backend : backends) {
    if (backend->preferred_ && IsSelectable(*backend, nowMs)) {
      usable.push_back(backend);
    }
  }
  AddSampledBackends(backends, usable);
  for (const auto& backend : usable) {
    auto& candidate = candidates.emplace_back(
      MakeCandidate(*backend, aRequest, choice.maxConnections_));
    candidate.full_ |= CheckPermit(*backend).verdict_ == PermitVerdict::Pending;
  }
  const auto& route = *aRequest.GetRoute();
  const auto decision =
    Place(options_,
          { aRequest.UsableMs(),
            route.objectiveMs_,
            aRequest.ElapsedMs(),
            aRequest.BodyBytes() + MeanResponseBytes(route) },
          candidates);
  choice.verdict_ = decision.verdict_;
  choice.retryAfterMs_ = decision.retryAfterMs_;
  choice.cause_ = usable.empty() ? "no-backend" : "overload";
  if (usable.empty()) {
    ApplyPause(backends, choice);
    ApplyLimits(backends, choice);
    ApplyCold(backends, choice);
  }
  if (decision.verdict_ == PlacementVerdict::Send) {
    choice.backend_ = usable[decision.index_];
  }
  return choice;
}

void Forwarder::ApplyPause(const std::vector<BackendPool::BackendPtr>& aAll,
                           BackendChoice& aChoice) const
{
  const TimeMs nowMs = loop_.NowMs();
  TimeMs endMs = INT64_MAX;
  for (const auto& backend : aAll) {
    if (backend->IsUsable() && backend->pause_.IsActive(nowMs)) {
      endMs = std::min(endMs, backend->pause_.EndMs());
    }
  }
  if (endMs != INT64_MAX) {
    aChoice.retryAfterMs_ = endMs - nowMs;
    aChoice.cause_ = "all-paused";
  }
}

void Forwarder::ApplyLimits(const std::vector<BackendPool::BackendPtr>& aAll,
                            BackendChoice& aChoice)
{
  const TimeMs nowMs = loop_.NowMs();
  TimeMs waitMs = INT64_MAX;
  for (const auto& backend : aAll) {
    if (backend->TakesRequests(nowMs) &&
        limiter_.IsLimited(backend->incarnationHash_, nowMs)) {
      waitMs = std::min(waitMs, CheckPermit(*backend).retryAfterMs_);
      metrics_.OnHeldBack(backend->entry_.id_);
    }
  }
  if (waitMs != INT64_MAX) {
    aChoice.retryAfterMs_ = std::max(waitMs, aChoice.retryAfterMs_);
    aChoice.cause_ = "all-limited";
  }
}

void Forwarder::ApplyCold(const std::vector<BackendPool::BackendPtr>& aAll,
                          BackendChoice& aChoice)
{
  const TimeMs nowMs = loop_.NowMs();
  TimeMs waitMs = INT64_MAX;
  for (const auto& backend : aAll) {
    if (backend->TakesRequests(nowMs) && !MaySendCold(*backend, nowMs)) {
      waitMs = std::min({ waitMs,
                          backend->coldUntilMs_ - nowMs,
                          cold_.WaitMs(backend->incarnationHash_,
                                       ColdLimitsOf(backend->entry_.service_),
                                       nowMs) });
    }
  }
  if (waitMs != INT64_MAX) {
    aChoice.retryAfterMs_ = std::max(waitMs, aChoice.retryAfterMs_);
    aChoice.cause_ = "all-cold";
    metrics_.OnColdRefusal(aAll.front()->entry_.service_);
  }
}

void Forwarder::AddSampledBackends(
  const std::vector<BackendPool::BackendPtr>& aAll,
  std::vector<BackendPool::BackendPtr>& aUsable)
{
  const TimeMs nowMs = loop_.NowMs();
  const auto wanted = aUsable.size() + detail::kSampledBackends;
  if (aAll.size() <= wanted + detail::kSampledBackends) {
    for (const auto& backend : aAll) {
      if (!backend->preferred_ && IsSelectable(*backend, nowMs)) {
        aUsable.push_back(backend);
      }
    }
    return;
  }
  std::uniform_int_distribution<size_t> pick(0, aAll.size() - 1);
  // A draw may hit a preferred or a leaving server; twice as many draws are
  // enough.
  for (size_t draw = 0;
       draw < 2 * detail::kSampledBackends && aUsable.size() < wanted;
       ++draw) {
    const auto& backend = aAll[pick(random_)];
    if (!backend->preferred_ &&
        std::ranges::find(aUsable, backend) == aUsable.end() &&
        IsSelectable(*backend, nowMs)) {
      aUsable.push_back(backend);
    }
  }
}

BackendChoice Forwarder::ChooseOwner(const ForwardedRequest& aRequest,
                                     const ServiceSpec& aService)
{
  BackendChoice choice;
  choice.maxConnections_ = ConnectionShare(aService);
  const auto& route = *aRequest.GetRoute();
  const auto* owner = keys_.Find(aRequest.Service(), *aRequest.Caller().key_);
  const auto backend = owner == nullptr ? nullptr : pool_.Find(owner->id_);
  const TimeMs nowMs = loop_.NowMs();
  if (backend != nullptr && backend->IsUsable() &&
      backend->pause_.IsActive(nowMs)) {
    choice.retryAfterMs_ = backend->pause_.EndMs() - nowMs;
    choice.cause_ = "owner-paused";
    return choice;
  }
  const bool ready = backend != nullptr && owner->active_ &&
                     backend->IsUsable() && backend->downUntilMs_ <= nowMs;
  if (!ready) {
    const bool mayWait =
      static_cast<double>(aRequest.ElapsedMs()) <
      static_cast<double>(route.objectiveMs_) * detail::kMoveWaitShare;
    // The keys of a server that leaves are about to move.
    const bool leaves =
      backend != nullptr &&
      (!backend->entry_.TakesNewWork() || backend->evacuated_);
    const bool moving = owner != nullptr && (!owner->active_ || leaves);
    choice.verdict_ =
      moving && mayWait ? PlacementVerdict::Wait : PlacementVerdict::Refuse;
    choice.cause_ = owner == nullptr ? "no-owner"
                    : moving         ? "key-moving"
                                     : "owner-unreachable";
    choice.retryAfterMs_ = RetryAfterMs(
      options_,
      aRequest.RemainingMs(),
      static_cast<double>(moving ? detail::kMoveRetryMs : route.objectiveMs_));
    return choice;
  }
  auto candidate = MakeCandidate(*backend, aRequest, choice.maxConnections_);
  // Only the owner can execute the request, so a failed attempt is retried
  // there.
  candidate.tried_ = false;
  const auto decision =
    Place(options_,
          { aRequest.UsableMs(), route.objectiveMs_, aRequest.ElapsedMs() },
          { &candidate, 1 });
  choice.verdict_ = decision.verdict_;
  choice.retryAfterMs_ = decision.retryAfterMs_;
  choice.cause_ = "owner-overload";
  choice.backend_ = backend;
  if (choice.verdict_ == PlacementVerdict::Send) {
    RequirePermit(aRequest, choice);
  }
  if (choice.verdict_ == PlacementVerdict::Send) {
    CheckColdOwner(aRequest, choice);
  }
  return choice;
}

void Forwarder::CheckColdOwner(const ForwardedRequest& aRequest,
                               BackendChoice& aChoice)
{
  const auto& backend = *aChoice.backend_;
  const TimeMs nowMs = loop_.NowMs();
  if (MaySendCold(backend, nowMs)) {
    return;
  }
  const auto& service = backend.entry_.service_;
  const TimeMs waitMs = std::min(
    cold_.WaitMs(backend.incarnationHash_, ColdLimitsOf(service), nowMs),
    backend.coldUntilMs_ - nowMs);
  aChoice.verdict_ = PlacementVerdict::Refuse;
  aChoice.cause_ = "owner-cold";
  aChoice.retryAfterMs_ =
    std::max(waitMs, RandomRetryAfterMs(aRequest.RemainingMs()));
  metrics_.OnColdRefusal(service);
}

void Forwarder::RequirePermit(const ForwardedRequest& aRequest,
                              BackendChoice& aChoice)
{
  const auto& backend = *aChoice.backend_;
  const auto permit =
    limiter_.Check(backend.incarnationHash_, aRequest.Number(), loop_.NowMs());
  if (permit.verdict_ == PermitVerdict::Pending) {
    aChoice.verdict_ = PlacementVerdict::Wait;
  } else if (permit.verdict_ == PermitVerdict::Denied) {
    aChoice.verdict_ = PlacementVerdict::Refuse;
    aChoice.cause_ = "owner-limited";
    aChoice.retryAfterMs_ = std::max(
      permit.retryAfterMs_, RandomRetryAfterMs(aRequest.RemainingMs()));
    metrics_.OnHeldBack(backend.entry_.id_);
  }
}

void Forwarder::Enqueue(const std::shared_ptr<ForwardedRequest>& aRequest)
{
  queue_.push_back(aRequest);
  metrics_.QueuedRequests().Set(static_cast<double>(queue_.size()));
  if (!queueTimer_.IsActive()) {
    queueTimer_.Start(detail::kQueueIntervalMs);
  }
}

void Forwarder::ScheduleDispatch()
{
  if (dispatchScheduled_ || queue_.empty()) {
    return;
  }
  dispatchScheduled_ = true;
  loop_.Defer([this] {
    dispatchScheduled_ = false;
    DispatchQueued();
  });
}

void Forwarder::DispatchQueued()
{
  // By priority of the route, then in the order of arrival (the sort is
  // stable).
  auto queued = std::exchange(queue_, {});
  queued.remove_if([](const auto& aRequest) { return !aRequest->IsQueued(); });
  queued.sort([](const auto& aLeft, const auto& aRight) {
    return aLeft->GetRoute()->priority_ < aRight->GetRoute()->priority_;
  });
  std::ranges::for_each(queued,
                        [](const auto& aRequest) { aRequest->Redispatch(); });
  metrics_.QueuedRequests().Set(static_cast<double>(queue_.size()));
  if (!queue_.empty()) {
    queueTimer_.Start(detail::kQueueIntervalMs);
  }
}

void Forwarder::RejectQueued(std::string_view aCause)
{
  const auto queued = std::exchange(queue_, {});
  std::ranges::for_each(
    queued, [&](const auto& aRequest) { aRequest->RejectQueued(aCause); });
}

void Forwarder::OnFirstAttempt(const ForwardedRequest& aRequest)
{
  const auto& service = aRequest.Service();
  retryBudgets_.try_emplace(service, RetryPercent(), RetryBurst())
    .first->second.OnRequest();
  if (aRequest.Caller().key_) {
    ++keyCounts_[service][*aRequest.Caller().key_];
  }
}

bool Forwarder::TryAdmit(const ForwardedRequest& aRequest)
{
  const auto* service = routes_->Service(aRequest.Service());
  if (service == nullptr || !service->keyed_ || !aRequest.Caller().key_) {
    return true;
  }
  const auto* owner = keys_.Find(aRequest.Service(), *aRequest.Caller().key_);
  return owner == nullptr ||
         admission_.TryAdmit(ShortHash(owner->id_), loop_.NowMs());
}

TimeMs Forwarder::RandomRetryAfterMs(TimeMs aRemainingMs)
{
  std::uniform_real_distribution<double> share(detail::kMinRetryAfterShare,
                                               options_.maxRetryAfterShare_);
  return RetryAfterMs(
    options_, aRemainingMs, static_cast<double>(aRemainingMs) * share(random_));
}

bool Forwarder::TryTakeRetry(const std::string& aService)
{
  const auto budget = retryBudgets_.find(aService);
  return budget != retryBudgets_.end() && budget->second.TryTake();
}

Forwarder::KeyCounts Forwarder::TakeKeyCounts()
{
  return std::exchange(keyCounts_, {});
}

}

#include "gateway/BackendPool.hpp"

#include "common/ShortHash.hpp"
#include "common/Strings.hpp"
#include "membership/BackendDirectory.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kReconnectDelayMs = 400;
constexpr TimeMs kMaxReconnectDelayMs = 1500;
/// Idle connections are closed this long before the idle timeout of the server.
constexpr TimeMs kIdleMarginMs = 1500;
/// Reports of a cold phase are applied only if they extend it by more than the
/// tolerance, so the end may be this much later than known.
constexpr TimeMs kColdMarginMs = BackendDirectory::kColdToleranceMs;
constexpr double kMeanServiceTimeWeight = 0.02;
constexpr double kInitialServiceTimeMs = 100;

}

BackendPool::BackendPool(EventLoop& aLoop,
                         EventLog& aLog,
                         GatewayMetrics& aMetrics,
                         const RequestProtocol& aProtocol,
                         BackendObserver& aObserver,
                         RequestLimiter& aLimiter,
                         Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , metrics_(aMetrics)
  , protocol_(aProtocol)
  , observer_(aObserver)
  , limiter_(aLimiter)
  , handlers_(std::move(aHandlers))
  , serviceTimeMs_(detail::kMeanServiceTimeWeight)
  , random_(std::random_device{}())
{
}

BackendPool::~BackendPool()
{
  for (auto& [id, backend] : backends_) {
    backend->idle_.clear();
    backend->busy_.clear();
  }
}

void BackendPool::Update(const std::map<std::string, BackendEntry>& aEntries,
                         const std::set<std::string>& aChanged)
{
  for (const auto& id : aChanged) {
    const auto entry = aEntries.find(id);
    const auto known = backends_.find(id);
    const bool sameIncarnation =
      entry != aEntries.end() && known != backends_.end() &&
      entry->second.IsSameIncarnation(known->second->entry_);
    if (sameIncarnation) {
      ApplyState(entry->second, *known->second);
      if (entry->second.leaving_) {
        CloseIdleOf(*known->second);
      }
      continue;
    }
    if (known != backends_.end()) {
      Remove(known->second);
      backends_.erase(known);
    }
    if (entry != aEntries.end()) {
      Add(NewBackend(entry->second));
    }
  }
}

BackendPool::BackendPtr BackendPool::NewBackend(const BackendEntry& aEntry)
{
  auto backend = std::make_shared<Backend>();
  ApplyState(aEntry, *backend);
  Endpoint::Parse(aEntry.address_, backend->endpoint_);
  backend->idHash_ = ShortHash(aEntry.id_);
  backend->incarnationHash_ = aEntry.IncarnationHash();
  backend->load_.SetDefaultServiceTimeMs(MeanServiceTimeMs(aEntry.service_));
  return backend;
}

void BackendPool::ApplyState(const BackendEntry& aEntry,
                             Backend& aBackend) const
{
  aBackend.entry_ = aEntry;
  aBackend.evacuated_ = evacuatedDomains_.contains(aEntry.failureDomain_);
  aBackend.load_.SetSlots(aEntry.slots_);
  if (aEntry.coldUntilMs_ > 0) {
    aBackend.load_.SetColdUntil(aEntry.coldUntilMs_);
    aBackend.coldUntilMs_ = aEntry.coldUntilMs_ + detail::kColdMarginMs;
  }
}

void BackendPool::SetEvacuatedDomains(std::set<std::string> aDomains)
{
  evacuatedDomains_ = std::move(aDomains);
  for (const auto& [id, backend] : backends_) {
    backend->evacuated_ =
      evacuatedDomains_.contains(backend->entry_.failureDomain_);
  }
}

bool BackendPool::IsEvacuated(const std::string& aService) const
{
  const auto& backends = OfService(aService);
  return !backends.empty() &&
         std::ranges::all_of(
           backends, [](const auto& aBackend) { return aBackend->evacuated_; });
}

void BackendPool::Add(const BackendPtr& aBackend)
{
  const auto& entry = aBackend->entry_;
  byHash_[aBackend->idHash_] = aBackend;
  byIncarnation_[aBackend->incarnationHash_] = aBackend;
  byService_[entry.service_].push_back(aBackend);
  backends_[entry.id_] = aBackend;
  auto& last = byAddress_[entry.address_];
  if (last == nullptr) {
    last = aBackend;
  } else if (last->entry_.startTimeMs_ > entry.startTimeMs_) {
    Supersede(aBackend);
  } else {
    const auto earlier = std::exchange(last, aBackend);
    if (earlier->entry_.startTimeMs_ < entry.startTimeMs_) {
      Supersede(earlier);
    }
  }
}

void BackendPool::Supersede(const BackendPtr& aBackend)
{
  aBackend->superseded_ = true;
  log_.Write(LogLevel::Info,
             "backend-superseded",
             { { "backend", aBackend->entry_.id_ },
               { "address", aBackend->entry_.address_ } });
  observer_.OnBackendRemoved(*aBackend);
  CloseIdleOf(*aBackend);
}

void BackendPool::Remove(const BackendPtr& aBackend)
{
  aBackend->registered_ = false;
  observer_.OnBackendRemoved(*aBackend);
  CloseIdleOf(*aBackend);
  std::erase(byService_[aBackend->entry_.service_], aBackend);
  byHash_.erase(aBackend->idHash_);
  byIncarnation_.erase(aBackend->incarnationHash_);
  const auto last = byAddress_.find(aBackend->entry_.address_);
  if (last != byAddress_.end() && last->second == aBackend) {
    byAddress_.erase(last);
  }
}

BackendPool::BackendPtr BackendPool::Find(const std::string& aId) const
{
  const auto found = backends_.find(aId);
  return found == backends_.end() ? nullptr : found->second;
}

BackendPool::BackendPtr BackendPool::FindHash(uint32_t aHash) const
{
  const auto found = byHash_.find(aHash);
  return found == byHash_.end() ? nullptr : found->second;
}

BackendPool::BackendPtr BackendPool::FindIncarnation(uint32_t aHash) const
{
  const auto found = byIncarnation_.find(aHash);
  return found == byIncarnation_.end() ? nullptr : found->second;
}

const std::vector<BackendPool::BackendPtr>& BackendPool::OfService(
  const std::string& aService) const
{
  static const std::vector<BackendPtr> kNone;
  const auto found = byService_.find(aService);
  return found == byService_.end() ? kNone : found->second;
}

std::shared_ptr<BackendConnection> BackendPool::Acquire(
  const BackendPtr& aBackend,
  size_t aMaxConnections,
  TimeMs aMaxIdleMs,
  std::string_view aRequestId)
{
  const TimeMs nowMs = loop_.NowMs();
  auto& idle = aBackend->idle_;
  std::shared_ptr<BackendConnection> connection;
  // The most recently used connection is the least likely to be closed already.
  const auto usable =
    std::ranges::find_if(idle.rbegin(), idle.rend(), [&](const auto& aIdle) {
      return nowMs - aIdle->idleSinceMs_ <= aMaxIdleMs &&
             aIdle->requestId_ != aRequestId;
    });
  if (usable != idle.rend()) {
    connection = std::move(*usable);
    idle.erase(std::next(usable).base());
  } else if (aBackend->busy_.size() < aMaxConnections) {
    if (aBackend->Connections() >= aMaxConnections) {
      // No idle connection is suitable for this request; the oldest one is
      // closed to keep the limit.
      loop_.Defer([oldest = std::move(idle.front())] {});
      idle.erase(idle.begin());
    }
    connection = std::make_shared<BackendConnection>(*this, aBackend);
    ++opened_;
  } else {
    return nullptr;
  }
  aBackend->busy_.push_back(connection);
  return connection;
}

void BackendPool::CloseIdle()
{
  const TimeMs nowMs = loop_.NowMs();
  std::vector<std::shared_ptr<BackendConnection>> closed;
  for (auto& [id, backend] : backends_) {
    std::erase_if(backend->idle_, [&](const auto& aConnection) {
      const bool old = nowMs - aConnection->idleSinceMs_ >
                       aConnection->idleTimeoutMs_ - detail::kIdleMarginMs;
      if (old) {
        closed.push_back(aConnection);
      }
      return old;
    });
  }
}

std::vector<FleetLoadEntry> BackendPool::TakeLoadReports()
{
  std::vector<FleetLoadEntry> reports;
  for (const auto& [id, backend] : backends_) {
    if (std::exchange(backend->hasNewReport_, false)) {
      reports.push_back({ backend->idHash_,
                          backend->load_.MeasuredServiceTimeMs(),
                          backend->load_.ReportedTotal() });
    }
  }
  return reports;
}

void BackendPool::ApplySharedLoad(const FleetLoadEntry& aEntry)
{
  const auto found = byHash_.find(aEntry.server_);
  if (found != byHash_.end()) {
    found->second->load_.OnSharedReport(
      aEntry.load_, aEntry.serviceTimeMs_, loop_.NowMs());
  }
}

double BackendPool::MeanServiceTimeMs(const std::string& aService) const
{
  return serviceTimeMs_.Get(aService, detail::kInitialServiceTimeMs);
}

void BackendPool::OnConnectFailed(Backend& aBackend, std::string_view aCause)
{
  ++aBackend.connectFailures_;
  aBackend.downUntilMs_ = loop_.NowMs() + std::min(detail::kMaxReconnectDelayMs,
                                                   detail::kReconnectDelayMs *
                                                     aBackend.connectFailures_);
  CloseIdleOf(aBackend);
  if (aBackend.connectFailures_ == 1) {
    log_.Write(LogLevel::Warning,
               "backend-down",
               { { "backend", aBackend.entry_.id_ }, { "cause", aCause } });
  }
  observer_.OnBackendDown(aBackend);
}

void BackendPool::CloseIdleOf(Backend& aBackend)
{
  // Deferred, because the caller may be a member function of one of them.
  loop_.Defer([idle = std::exchange(aBackend.idle_, {})] {});
}

void BackendPool::OnLeaving(Backend& aBackend)
{
  if (std::exchange(aBackend.entry_.leaving_, true)) {
    return;
  }
  CloseIdleOf(aBackend);
  handlers_.onLeaving_(aBackend.entry_);
}

void BackendPool::OnPaused(Backend& aBackend, TimeMs aPauseMs)
{
  const TimeMs nowMs = loop_.NowMs();
  if (aPauseMs <= 0) {
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const bool isNew = aBackend.pause_.Begin(aPauseMs, draw(random_), nowMs);
  if (isNew) {
    metrics_.OnServerNotice("paused", aBackend.entry_.id_);
    log_.Write(LogLevel::Info,
               "backend-paused",
               { { "backend", aBackend.entry_.id_ },
                 { "service", aBackend.entry_.service_ },
                 { "for_ms", aPauseMs },
                 { "in_flight", aBackend.busy_.size() } });
  }
}

void BackendPool::OnMalformedPause(Backend& aBackend)
{
  metrics_.OnServerNotice("malformed-pause", aBackend.entry_.id_);
  if (!std::exchange(aBackend.malformedPauseLogged_, true)) {
    log_.Write(LogLevel::Warning,
               "backend-pause-malformed",
               { { "backend", aBackend.entry_.id_ } });
  }
}

void BackendPool::OnLimitNamed(Backend& aBackend,
                               std::optional<double> aLimit,
                               TimeMs aSentMs)
{
  const auto change = limiter_.OnAnswer(
    aBackend.incarnationHash_, aLimit, aSentMs, loop_.NowMs());
  if (change != LimitChange::None) {
    handlers_.onLimitChanged_(aBackend.entry_, change);
  }
}

void BackendPool::OnMalformedLimit(Backend& aBackend, std::string_view aText)
{
  metrics_.OnServerNotice("malformed-limit", aBackend.entry_.id_);
  if (!std::exchange(aBackend.malformedLimitLogged_, true)) {
    log_.Write(LogLevel::Warning,
               "backend-limit-malformed",
               { { "backend", aBackend.entry_.id_ }, { "value", aText } });
  }
}

void BackendPool::OnMalformedLoad(Backend& aBackend, std::string_view aText)
{
  metrics_.OnServerNotice("malformed-load", aBackend.entry_.id_);
  if (!std::exchange(aBackend.malformedLoadLogged_, true)) {
    log_.Write(LogLevel::Warning,
               "backend-load-malformed",
               { { "backend", aBackend.entry_.id_ }, { "value", aText } });
  }
}

void BackendPool::OnCold(const Backend& aBackend, TimeMs aRemainingMs)
{
  if (aRemainingMs > 0) {
    handlers_.onCold_(aBackend.entry_, aRemainingMs);
  }
}

void BackendPool::OnMalformedColdTime(Backend& aBackend, std::string_view aText)
{
  metrics_.OnServerNotice("malformed-cold-time", aBackend.entry_.id_);
  if (!std::exchange(aBackend.malformedColdTimeLogged_, true)) {
    log_.Write(LogLevel::Warning,
               "backend-cold-time-malformed",
               { { "backend", aBackend.entry_.id_ }, { "value", aText } });
  }
}

void BackendPool::RecordServiceTime(const Backend& aBackend, double aLatencyMs)
{
  serviceTimeMs_.Add(aBackend.entry_.service_, aLatencyMs);
}

void BackendPool::Release(const std::shared_ptr<BackendConnection>& aConnection,
                          bool aReusable)
{
  auto& backend = aConnection->GetBackend();
  std::erase(backend.busy_, aConnection);
  std::erase(backend.idle_, aConnection);
  if (aReusable && backend.registered_ && !backend.entry_.leaving_ &&
      aConnection->stream_.IsOpen()) {
    aConnection->idleSinceMs_ = loop_.NowMs();
    aConnection->stream_.PauseReading(false);
    backend.idle_.push_back(aConnection);
  } else {
    // Keeps the connection alive until its handlers have returned.
    loop_.Defer([aConnection] {});
  }
}

}

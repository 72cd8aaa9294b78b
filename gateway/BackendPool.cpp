#include "gateway/BackendPool.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxAnswerHeadBytes = 32768;
/// Servers are at most a few ms away; a lost first packet is sent again after
/// a second, which is too late for most requests.
constexpr TimeMs kConnectTimeoutMs = 300;
constexpr TimeMs kDownMs = 400;
/// A reset of a new connection arrives within a round trip of at most 2 ms and
/// the 1 ms that a server needs for the connection.
constexpr TimeMs kSettleMs = 4;
constexpr TimeMs kMaxDownMs = 1500;
/// Idle connections are closed this long before the server would do it.
constexpr TimeMs kIdleMarginMs = 1500;
constexpr TimeMs kDefaultIdleMs = 4000;
constexpr double kServiceWorkWeight = 0.02;
constexpr double kInitialWorkMs = 100;

}

uint32_t BackendHash(std::string_view aId)
{
  return XXH32(aId.data(), aId.size(), 0);
}

BackendLink::BackendLink(BackendPool& aPool, std::shared_ptr<Backend> aBackend)
  : pool_(aPool)
  , backend_(std::move(aBackend))
  , stream_(aPool.loop_, *this)
  , timer_(aPool.loop_, [this] { OnTimer(); })
  , parser_(HttpRole::Answer, detail::kMaxAnswerHeadBytes)
  , idleTimeoutMs_(detail::kDefaultIdleMs)
{
}

void BackendLink::Start(AttemptHandler& aHandler,
                        std::string aHead,
                        std::string_view aBody,
                        std::string aRequestId,
                        bool aExpectsBody,
                        bool aSettle)
{
  handler_ = &aHandler;
  busy_ = true;
  headTaken_ = false;
  skipping_ = false;
  expectsBody_ = aExpectsBody;
  requestId_ = std::move(aRequestId);
  body_.clear();
  parser_ = HttpParser(HttpRole::Answer, detail::kMaxAnswerHeadBytes);
  if (!expectsBody_) {
    parser_.ExpectNoBody();
  }
  sentBefore_ = stream_.WrittenBytes();
  sentMs_ = pool_.loop_.NowMs();
  loadAtSend_ = backend_->load_.Load(sentMs_);
  backend_->load_.OnSent(sentMs_);
  requestBytes_ = aHead.size() + aBody.size();
  if (!stream_.IsOpen()) {
    if (!stream_.Connect(backend_->endpoint_)) {
      pool_.loop_.Defer([self = shared_from_this()] {
        self->Fail(AttemptEnd::NotSent, "no socket");
      });
      return;
    }
    timer_.Start(detail::kConnectTimeoutMs);
  }
  aHead.append(aBody);
  if (aSettle && !stream_.IsConnected()) {
    unsent_ = std::move(aHead);
  } else {
    stream_.Write(aHead);
  }
}

void BackendLink::SendRequest()
{
  const auto request = std::exchange(unsent_, {});
  stream_.Write(request);
}

void BackendLink::Cancel()
{
  handler_ = nullptr;
  if (busy_) {
    stream_.Abort();
    timer_.Stop();
    Leave();
    pool_.Release(shared_from_this(), false);
  }
}

void BackendLink::Detach()
{
  handler_ = nullptr;
  stream_.PauseReading(false);
}

void BackendLink::PauseReading(bool aPaused)
{
  stream_.PauseReading(aPaused);
}

void BackendLink::OnConnected()
{
  timer_.Stop();
  backend_->connectFailures_ = 0;
  backend_->downUntilMs_ = 0;
  if (!unsent_.empty()) {
    timer_.Start(detail::kSettleMs);
  }
}

void BackendLink::OnTimer()
{
  if (stream_.IsConnected()) {
    SendRequest();
    return;
  }
  pool_.OnConnectFailed(*backend_, "time-out");
  Fail(AttemptEnd::NotSent, "connect time-out");
}

void BackendLink::OnInput()
{
  if (!busy_) {
    // Bytes without a request belong to nobody.
    stream_.Abort();
    pool_.Release(shared_from_this(), false);
    return;
  }
  const auto self = shared_from_this();
  ReadAnswers();
}

void BackendLink::ReadAnswers()
{
  while (busy_ && stream_.IsOpen()) {
    const auto state = parser_.Parse(stream_.Input(), body_);
    if (parser_.HasHead() && !headTaken_ && !skipping_ && !TakeHead()) {
      return;
    }
    if (state == ParseState::Failed) {
      Fail(AttemptEnd::MaybeRun, "malformed answer");
      return;
    }
    if (skipping_ || handler_ == nullptr) {
      body_.clear();
    } else if (!body_.empty()) {
      handler_->OnAnswerBody(body_);
    }
    if (state != ParseState::Done) {
      return;
    }
    if (!skipping_) {
      const bool wholeRequest =
        stream_.WrittenBytes() - sentBefore_ == requestBytes_;
      FinishAnswer(answerKeepsAlive_ && wholeRequest &&
                   stream_.Input().empty());
      return;
    }
    // The answer of another request is over; the own one is still to come.
    skipping_ = false;
    parser_ = HttpParser(HttpRole::Answer, detail::kMaxAnswerHeadBytes);
    if (!expectsBody_) {
      parser_.ExpectNoBody();
    }
    if (!answerKeepsAlive_) {
      Fail(AttemptEnd::MaybeRun, "answer of another request");
      return;
    }
    if (stream_.Input().empty()) {
      return;
    }
  }
}

bool BackendLink::TakeHead()
{
  auto& head = parser_.Head();
  if (head.status_ >= 100 && head.status_ < 200) {
    // An interim answer has no body and is followed by the real one.
    skipping_ = true;
    answerKeepsAlive_ = true;
    return true;
  }
  auto info = pool_.protocol_.ReadAnswer(head);
  answerKeepsAlive_ = head.KeepsAlive() && !parser_.IsUnframed();
  if (info.idleTimeoutMs_) {
    idleTimeoutMs_ = *info.idleTimeoutMs_;
  }
  const bool ownAnswer =
    info.requestId_ == requestId_ || (info.requestId_.empty() && info.notRun_);
  if (!ownAnswer) {
    if (parser_.IsUnframed() || info.requestId_.empty()) {
      Fail(AttemptEnd::MaybeRun, "answer of another request");
      return false;
    }
    skipping_ = true;
    return true;
  }
  headTaken_ = true;
  const TimeMs nowMs = pool_.loop_.NowMs();
  if (info.load_) {
    backend_->load_.OnReport(*info.load_, nowMs);
    backend_->reported_ = true;
  }
  if (info.notRun_) {
    backend_->load_.OnShed(nowMs);
  }
  if (handler_ != nullptr) {
    handler_->OnAnswerHead(head, info);
  }
  return busy_ && stream_.IsOpen();
}

void BackendLink::FinishAnswer(bool aReusable)
{
  const TimeMs nowMs = pool_.loop_.NowMs();
  const int status = parser_.Head().status_;
  if (status < 400) {
    const double latencyMs = static_cast<double>(nowMs - sentMs_);
    backend_->load_.OnAnswered(latencyMs, loadAtSend_, nowMs);
    pool_.NoteWork(*backend_, latencyMs);
  } else if (status >= 500) {
    backend_->load_.OnFailed(nowMs);
  }
  auto* handler = std::exchange(handler_, nullptr);
  Leave();
  if (!aReusable) {
    stream_.Abort();
  }
  pool_.Release(shared_from_this(), aReusable);
  if (handler != nullptr) {
    handler->OnAnswerDone();
  }
}

void BackendLink::OnStreamClosed(CloseReason aReason)
{
  const auto self = shared_from_this();
  timer_.Stop();
  if (!busy_) {
    pool_.Release(self, false);
    return;
  }
  if (aReason == CloseReason::Refused || aReason == CloseReason::Unreachable) {
    pool_.OnConnectFailed(*backend_, EnumName(aReason));
    Fail(AttemptEnd::NotSent, EnumName(aReason));
    return;
  }
  if (aReason == CloseReason::EndOfStream && headTaken_ &&
      parser_.IsUnframed() && parser_.FinishAtEnd()) {
    FinishAnswer(false);
    return;
  }
  Fail(stream_.WrittenBytes() == sentBefore_ ? AttemptEnd::NotSent
                                             : AttemptEnd::MaybeRun,
       EnumName(aReason));
}

void BackendLink::Fail(AttemptEnd aEnd, std::string_view aCause)
{
  if (!busy_) {
    return;
  }
  const auto self = shared_from_this();
  timer_.Stop();
  backend_->load_.OnFailed(pool_.loop_.NowMs());
  auto* handler = std::exchange(handler_, nullptr);
  Leave();
  stream_.Abort();
  pool_.Release(self, false);
  if (handler != nullptr) {
    handler->OnAttemptFailed(aEnd, aCause);
  }
}

void BackendLink::Leave()
{
  unsent_.clear();
  if (busy_) {
    busy_ = false;
    backend_->load_.OnEnded();
  }
}

BackendPool::BackendPool(EventLoop& aLoop,
                         EventLog& aLog,
                         const RequestProtocol& aProtocol,
                         DownTask aOnDown)
  : loop_(aLoop)
  , log_(aLog)
  , protocol_(aProtocol)
  , onDown_(std::move(aOnDown))
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
    const bool sameLife = entry != aEntries.end() && known != backends_.end() &&
                          entry->second.IsSameLife(known->second->entry_);
    if (sameLife) {
      known->second->entry_ = entry->second;
      known->second->load_.SetSlots(entry->second.slots_);
      continue;
    }
    if (known != backends_.end()) {
      Remove(known->second);
      backends_.erase(known);
    }
    if (entry != aEntries.end()) {
      auto backend = NewBackend(entry->second);
      byHash_[backend->idHash_] = backend;
      byService_[entry->second.service_].push_back(backend);
      backends_[id] = std::move(backend);
    }
  }
}

BackendPool::BackendPtr BackendPool::NewBackend(const BackendEntry& aEntry)
{
  auto backend = std::make_shared<Backend>();
  backend->entry_ = aEntry;
  Endpoint::Parse(aEntry.address_, backend->endpoint_);
  backend->idHash_ = BackendHash(aEntry.id_);
  backend->load_.SetDefaultWorkMs(ServiceWorkMs(aEntry.service_));
  backend->load_.SetSlots(aEntry.slots_);
  if (aEntry.coldRemainingMs_ > 0) {
    backend->load_.SetColdUntil(loop_.NowMs() + aEntry.coldRemainingMs_);
  }
  return backend;
}

void BackendPool::Remove(const BackendPtr& aBackend)
{
  aBackend->registered_ = false;
  auto idle = std::exchange(aBackend->idle_, {});
  loop_.Defer([idle = std::move(idle)] {});
  std::erase(byService_[aBackend->entry_.service_], aBackend);
  byHash_.erase(aBackend->idHash_);
}

BackendPool::BackendPtr BackendPool::Find(const std::string& aId) const
{
  const auto found = backends_.find(aId);
  return found == backends_.end() ? nullptr : found->second;
}

const std::vector<BackendPool::BackendPtr>& BackendPool::OfService(
  const std::string& aService) const
{
  static const std::vector<BackendPtr> kNone;
  const auto found = byService_.find(aService);
  return found == byService_.end() ? kNone : found->second;
}

std::shared_ptr<BackendLink> BackendPool::Acquire(const BackendPtr& aBackend,
                                                  size_t aMaxConnections,
                                                  TimeMs aMaxIdleMs)
{
  const TimeMs nowMs = loop_.NowMs();
  auto& idle = aBackend->idle_;
  std::shared_ptr<BackendLink> link;
  // The last one returned is the one most surely alive.
  if (!idle.empty() && nowMs - idle.back()->idleSinceMs_ <= aMaxIdleMs) {
    link = std::move(idle.back());
    idle.pop_back();
  } else if (aBackend->Connections() < aMaxConnections) {
    link = std::make_shared<BackendLink>(*this, aBackend);
    ++opened_;
  } else {
    return nullptr;
  }
  aBackend->busy_.push_back(link);
  return link;
}

void BackendPool::CloseIdle()
{
  const TimeMs nowMs = loop_.NowMs();
  std::vector<std::shared_ptr<BackendLink>> closed;
  for (auto& [id, backend] : backends_) {
    std::erase_if(backend->idle_, [&](const auto& aLink) {
      const bool old = nowMs - aLink->idleSinceMs_ >
                       aLink->idleTimeoutMs_ - detail::kIdleMarginMs;
      if (old) {
        closed.push_back(aLink);
      }
      return old;
    });
  }
}

std::vector<BoardEntry> BackendPool::TakeReports()
{
  std::vector<BoardEntry> reports;
  for (const auto& [id, backend] : backends_) {
    if (std::exchange(backend->reported_, false)) {
      reports.push_back({ backend->idHash_,
                          backend->load_.MeasuredWorkMs(),
                          backend->load_.ReportedTotal() });
    }
  }
  return reports;
}

void BackendPool::ApplyShared(const BoardEntry& aEntry)
{
  const auto found = byHash_.find(aEntry.server_);
  if (found != byHash_.end()) {
    found->second->load_.OnSharedReport(
      aEntry.load_, aEntry.workMs_, loop_.NowMs());
  }
}

double BackendPool::ServiceWorkMs(const std::string& aService) const
{
  const auto found = workMs_.find(aService);
  return found == workMs_.end() ? detail::kInitialWorkMs : found->second;
}

void BackendPool::OnConnectFailed(Backend& aBackend, std::string_view aCause)
{
  ++aBackend.connectFailures_;
  aBackend.downUntilMs_ =
    loop_.NowMs() +
    std::min(detail::kMaxDownMs, detail::kDownMs * aBackend.connectFailures_);
  auto idle = std::exchange(aBackend.idle_, {});
  loop_.Defer([idle = std::move(idle)] {});
  if (aBackend.connectFailures_ == 1) {
    log_.Write(LogLevel::Warning,
               "backend-down",
               { { "backend", aBackend.entry_.id_ }, { "cause", aCause } });
  }
  onDown_(aBackend);
}

void BackendPool::NoteWork(const Backend& aBackend, double aLatencyMs)
{
  const auto [entry, isNew] =
    workMs_.try_emplace(aBackend.entry_.service_, aLatencyMs);
  if (!isNew) {
    entry->second += (aLatencyMs - entry->second) * detail::kServiceWorkWeight;
  }
}

void BackendPool::Release(const std::shared_ptr<BackendLink>& aLink,
                          bool aReusable)
{
  auto& backend = aLink->Server();
  std::erase(backend.busy_, aLink);
  std::erase(backend.idle_, aLink);
  if (aReusable && backend.registered_ && aLink->stream_.IsOpen()) {
    aLink->idleSinceMs_ = loop_.NowMs();
    aLink->stream_.PauseReading(false);
    backend.idle_.push_back(aLink);
  } else {
    // Kept alive until its handlers have returned.
    loop_.Defer([aLink] {});
  }
}

}

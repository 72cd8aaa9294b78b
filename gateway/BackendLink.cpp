#include "gateway/BackendLink.hpp"

#include "gateway/BackendPool.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxAnswerHeadBytes = 32768;
/// Servers are at most a few ms away; a lost first packet is sent again after
/// a second, which is too late for most requests.
constexpr TimeMs kConnectTimeoutMs = 300;
/// A reset of a new connection arrives within a round trip of at most 2 ms and
/// the 1 ms that a server needs for the connection.
constexpr TimeMs kSettleMs = 4;
constexpr TimeMs kDefaultIdleMs = 4000;
/// Interim answers and late answers of other requests that are passed over
/// before the own one; a server in trouble may send them without end.
constexpr int kMaxSkippedAnswers = 8;

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

bool Backend::HasOpenConnection() const
{
  const auto isOpen = [](const auto& aLink) { return aLink->IsConnected(); };
  return std::ranges::any_of(idle_, isOpen) ||
         std::ranges::any_of(busy_, isOpen);
}

void BackendLink::Start(AttemptHandler& aHandler,
                        AttemptTag aTag,
                        std::string aHead,
                        std::string_view aBody,
                        std::string aRequestId,
                        bool aExpectsBody)
{
  handler_ = &aHandler;
  tag_ = aTag;
  ranWell_ = false;
  refused_ = false;
  busy_ = true;
  headTaken_ = false;
  skipping_ = false;
  skipped_ = 0;
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
  backend_->load_.OnSent();
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
  if (!stream_.IsConnected()) {
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
    const bool sent = stream_.WrittenBytes() > sentBefore_;
    stream_.Abort();
    timer_.Stop();
    Leave(sent ? AttemptOutcome::Abandoned : AttemptOutcome::NotRun);
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
    if (++skipped_ > detail::kMaxSkippedAnswers) {
      Fail(AttemptEnd::MaybeRun, "too many answers of others");
      return;
    }
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
  auto info = pool_.protocol_.ParseResponse(head);
  answerKeepsAlive_ = head.KeepsAlive() && !parser_.IsUnframed();
  if (info.idleTimeoutMs_) {
    idleTimeoutMs_ = *info.idleTimeoutMs_;
  }
  const bool ownAnswer = info.requestId_ == requestId_ ||
                         (info.requestId_.empty() && info.notExecuted_);
  if (!ownAnswer) {
    if (parser_.IsUnframed() || info.requestId_.empty()) {
      Fail(AttemptEnd::MaybeRun, "answer of another request");
      return false;
    }
    skipping_ = true;
    return true;
  }
  headTaken_ = true;
  constexpr int kFirstServerError = 500;
  ranWell_ =
    info.sealed_ && !info.notExecuted_ && head.status_ < kFirstServerError;
  refused_ = info.notExecuted_;
  TakeNotices(info);
  const TimeMs nowMs = pool_.loop_.NowMs();
  if (info.load_) {
    backend_->load_.OnReport(*info.load_, nowMs);
    backend_->reported_ = true;
  }
  if (info.notExecuted_) {
    backend_->load_.OnShed(nowMs);
  }
  if (handler_ != nullptr) {
    handler_->OnAnswerHead(head, info);
  }
  return busy_ && stream_.IsOpen();
}

void BackendLink::TakeNotices(const ResponseMetadata& aInfo)
{
  if (aInfo.leaving_) {
    pool_.OnLeaving(*backend_);
  }
  if (aInfo.retryAfterMs_) {
    pool_.OnPaused(*backend_, *aInfo.retryAfterMs_);
  }
  if (aInfo.malformedRetryAfter_) {
    pool_.OnMalformedPause(*backend_);
  }
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
  if (ranWell_) {
    backend_->pause_.OnRanWell(sentMs_, backend_->entry_.slots_);
  }
  auto* handler = std::exchange(handler_, nullptr);
  Leave(ranWell_   ? AttemptOutcome::RanWell
        : refused_ ? AttemptOutcome::NotRun
                   : AttemptOutcome::Other);
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
  const bool unsent = stream_.WrittenBytes() == sentBefore_;
  if (unsent) {
    // The server has as many connections as it takes.
    backend_->load_.OnShed(pool_.loop_.NowMs());
  }
  Fail(unsent ? AttemptEnd::NotSent : AttemptEnd::MaybeRun,
       EnumName(aReason),
       AttemptOutcome::Broken);
}

void BackendLink::Fail(AttemptEnd aEnd,
                       std::string_view aCause,
                       AttemptOutcome aOutcome)
{
  if (!busy_) {
    return;
  }
  const auto self = shared_from_this();
  timer_.Stop();
  backend_->load_.OnFailed(pool_.loop_.NowMs());
  auto* handler = std::exchange(handler_, nullptr);
  Leave(aEnd == AttemptEnd::NotSent ? AttemptOutcome::NotRun : aOutcome);
  stream_.Abort();
  pool_.Release(self, false);
  if (handler != nullptr) {
    handler->OnAttemptFailed(aEnd, aCause);
  }
}

void BackendLink::Leave(AttemptOutcome aOutcome)
{
  unsent_.clear();
  if (busy_) {
    busy_ = false;
    backend_->load_.OnEnded();
    pool_.observer_.OnAttemptOver(backend_, tag_, aOutcome);
  }
}

}

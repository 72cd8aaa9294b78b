#include "gateway/BackendConnection.hpp"

#include "gateway/BackendPool.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxResponseHeadBytes = 32768;
/// Servers are at most a few ms away. A lost SYN is retransmitted after 1 s,
/// which is too late for most requests.
constexpr TimeMs kConnectTimeoutMs = 300;
/// Delay before the first request on a new connection: a reset arrives within a
/// round trip of at most 2 ms plus the 1 ms that a server takes to reject it.
constexpr TimeMs kNewConnectionDelayMs = 4;
constexpr TimeMs kDefaultIdleTimeoutMs = 4000;
/// Limit of interim responses and late responses to other requests that are
/// skipped before the expected one; a faulty server may send them without end.
constexpr int kMaxSkippedResponses = 8;
/// Limit of body bytes that are read and dropped in one attempt, so that the
/// connection can be reused; a faulty server may send them without end.
constexpr size_t kMaxUnneededBytes = size_t{ 1 } << 20;
/// A larger body is passed to the stream in parts, which the stream copies.
constexpr size_t kBodyPartBytes = 65536;

}

BackendConnection::BackendConnection(BackendPool& aPool,
                                     std::shared_ptr<Backend> aBackend)
  : pool_(aPool)
  , backend_(std::move(aBackend))
  , stream_(aPool.loop_, *this)
  , timer_(aPool.loop_, [this] { OnTimer(); })
  , detachedTimer_(aPool.loop_, [this] { Cancel(); })
  , parser_(HttpMessageType::Response, detail::kMaxResponseHeadBytes)
  , idleTimeoutMs_(detail::kDefaultIdleTimeoutMs)
{
}

bool Backend::HasOpenConnection() const
{
  const auto isOpen = [](const auto& aConnection) {
    return aConnection->IsConnected();
  };
  return std::ranges::any_of(idle_, isOpen) ||
         std::ranges::any_of(busy_, isOpen);
}

void BackendConnection::Start(AttemptHandler& aHandler,
                              AttemptCrashInfo aCrashInfo,
                              std::string aHead,
                              std::shared_ptr<const RequestBody> aBody,
                              std::string aRequestId,
                              bool aExpectsBody,
                              int64_t aSlot)
{
  handler_ = &aHandler;
  crashInfo_ = aCrashInfo;
  succeeded_ = false;
  refused_ = false;
  ambiguous_ = false;
  busy_ = true;
  headReceived_ = false;
  skippingResponse_ = false;
  skippedResponses_ = 0;
  unneededBytes_ = 0;
  slot_ = aSlot;
  connectFailed_ = false;
  reportedLoad_.reset();
  expectsBody_ = aExpectsBody;
  requestId_ = std::move(aRequestId);
  body_.clear();
  parser_ = NewParser();
  writtenBytesAtStart_ = stream_.WrittenBytes();
  sentMs_ = pool_.loop_.NowMs();
  loadAtSend_ = backend_->load_.Load(sentMs_);
  backend_->load_.OnSent();
  requestBytes_ = aHead.size() + aBody->text_.size();
  if (aBody->text_.size() > detail::kBodyPartBytes) {
    unsentBody_ = std::move(aBody);
    bodyOffset_ = 0;
  } else {
    aHead.append(aBody->text_);
  }
  if (!stream_.IsOpen()) {
    if (!stream_.Connect(backend_->endpoint_)) {
      pool_.loop_.Defer([self = shared_from_this()] {
        self->Fail(AttemptFailure::NotSent, "no socket");
      });
      return;
    }
    timer_.Start(detail::kConnectTimeoutMs);
  }
  unsentRequest_ = std::move(aHead);
  if (stream_.IsConnected()) {
    SendRequest();
  }
}

HttpParser BackendConnection::NewParser() const
{
  HttpParser parser(HttpMessageType::Response, detail::kMaxResponseHeadBytes);
  if (!expectsBody_) {
    parser.ExpectNoBody();
  }
  return parser;
}

void BackendConnection::SendRequest()
{
  const auto request = std::exchange(unsentRequest_, {});
  stream_.Write(request);
  SendBody();
}

void BackendConnection::SendBody()
{
  while (unsentBody_ != nullptr && unsentRequest_.empty() &&
         stream_.PendingOutput() < detail::kBodyPartBytes) {
    const auto rest = std::string_view(unsentBody_->text_).substr(bodyOffset_);
    const auto part = rest.substr(0, detail::kBodyPartBytes);
    bodyOffset_ += part.size();
    stream_.Write(part);
    if (part.size() == rest.size()) {
      unsentBody_ = nullptr;
    }
  }
}

void BackendConnection::Cancel(SlotOutcome aSlotOutcome)
{
  handler_ = nullptr;
  if (busy_) {
    const bool sent = stream_.WrittenBytes() > writtenBytesAtStart_;
    stream_.Abort();
    timer_.Stop();
    FreeSlot(aSlotOutcome);
    EndAttempt(sent ? AttemptOutcome::Cancelled : AttemptOutcome::NotExecuted);
    pool_.Release(shared_from_this(), false);
  }
}

void BackendConnection::Detach(TimeMs aMaxMs)
{
  handler_ = nullptr;
  stream_.PauseReading(false);
  if (busy_) {
    detachedTimer_.Start(aMaxMs);
  }
}

void BackendConnection::PauseReading(bool aPaused)
{
  stream_.PauseReading(aPaused);
}

void BackendConnection::OnConnected()
{
  timer_.Stop();
  backend_->connectFailures_ = 0;
  backend_->downUntilMs_ = 0;
  if (!unsentRequest_.empty()) {
    timer_.Start(detail::kNewConnectionDelayMs);
  }
}

void BackendConnection::OnTimer()
{
  if (stream_.IsConnected()) {
    SendRequest();
    return;
  }
  connectFailed_ = true;
  pool_.OnConnectFailed(*backend_, "time-out");
  Fail(AttemptFailure::NotSent, "connect time-out");
}

void BackendConnection::OnInput()
{
  if (!busy_) {
    // Unsolicited bytes: no request is in progress.
    stream_.Abort();
    pool_.Release(shared_from_this(), false);
    return;
  }
  const auto self = shared_from_this();
  ReadResponses();
}

void BackendConnection::ReadResponses()
{
  while (busy_ && stream_.IsOpen()) {
    const auto state = parser_.Parse(stream_.Input(), body_);
    if (parser_.HasHead() && !headReceived_ && !skippingResponse_ &&
        !HandleHead()) {
      return;
    }
    if (state == ParseState::Failed) {
      Fail(AttemptFailure::MaybeExecuted, "malformed answer");
      return;
    }
    if (skippingResponse_ || handler_ == nullptr || !bodyNeeded_) {
      unneededBytes_ += body_.size();
      body_.clear();
    } else if (!body_.empty()) {
      handler_->OnResponseBody(body_);
    }
    if (unneededBytes_ > detail::kMaxUnneededBytes) {
      DropUnneeded();
      return;
    }
    if (state != ParseState::Done) {
      return;
    }
    if (!skippingResponse_) {
      const bool wroteWholeRequest =
        stream_.WrittenBytes() - writtenBytesAtStart_ == requestBytes_;
      FinishResponse(responseKeepsAlive_ && wroteWholeRequest &&
                     stream_.Input().empty());
      return;
    }
    // The skipped response is complete; the expected one follows.
    skippingResponse_ = false;
    if (++skippedResponses_ > detail::kMaxSkippedResponses) {
      Fail(AttemptFailure::MaybeExecuted, "too many answers of others");
      return;
    }
    parser_ = NewParser();
    if (!responseKeepsAlive_) {
      Fail(AttemptFailure::MaybeExecuted, "answer of another request");
      return;
    }
    if (stream_.Input().empty()) {
      return;
    }
  }
}

void BackendConnection::DropUnneeded()
{
  if (skippingResponse_) {
    Fail(AttemptFailure::MaybeExecuted, "answer of another request");
  } else {
    FinishResponse(false);
  }
}

bool BackendConnection::HandleHead()
{
  auto& head = parser_.Head();
  if (head.IsInterim()) {
    skippingResponse_ = true;
    responseKeepsAlive_ = true;
    return true;
  }
  auto info = pool_.protocol_.ParseResponse(head);
  responseKeepsAlive_ = head.KeepsAlive() && !parser_.IsCloseDelimited();
  if (info.idleTimeoutMs_) {
    idleTimeoutMs_ = *info.idleTimeoutMs_;
  }
  const bool isOwnResponse = info.requestId_ == requestId_ ||
                             (info.requestId_.empty() && info.notExecuted_);
  if (!isOwnResponse) {
    if (parser_.IsCloseDelimited() || info.requestId_.empty()) {
      Fail(AttemptFailure::MaybeExecuted, "answer of another request");
      return false;
    }
    skippingResponse_ = true;
    return true;
  }
  headReceived_ = true;
  if (info.requestId_.empty()) {
    // A copy of this answer could be taken for the answer of a later request.
    responseKeepsAlive_ = false;
  }
  constexpr int kFirstServerError = 500;
  ambiguous_ = info.ambiguous_;
  succeeded_ = info.sealed_ && !info.notExecuted_ && !ambiguous_ &&
               head.status_ < kFirstServerError;
  refused_ = info.notExecuted_ && !info.requestId_.empty();
  HandleNotices(info);
  const TimeMs nowMs = pool_.loop_.NowMs();
  if (info.load_) {
    backend_->load_.OnReport(*info.load_, nowMs);
    backend_->hasNewReport_ = true;
    reportedLoad_ = SlotLoad{ info.load_->running_,
                              info.load_->waiting_,
                              info.load_->slowness_.value_or(1) };
  }
  if (info.notExecuted_) {
    backend_->load_.OnShed(nowMs);
  }
  if (succeeded_) {
    // The server has done the work; the body may take long on a narrow link.
    FreeSlot(SlotOutcome::Served);
  }
  bodyNeeded_ = handler_ != nullptr && handler_->OnResponseHead(head, info);
  if (!bodyNeeded_ &&
      head.contentLength_.value_or(0) > detail::kMaxUnneededBytes) {
    FinishResponse(false);
  }
  return busy_ && stream_.IsOpen();
}

void BackendConnection::HandleNotices(const ResponseMetadata& aInfo)
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
  if (aInfo.malformedLoad_) {
    pool_.OnMalformedLoad(*backend_, *aInfo.malformedLoad_);
  }
  if (aInfo.coldRemainingMs_) {
    pool_.OnCold(*backend_, *aInfo.coldRemainingMs_);
  }
  if (aInfo.malformedColdTime_) {
    pool_.OnMalformedColdTime(*backend_, *aInfo.malformedColdTime_);
  }
  if (aInfo.malformedRequestLimit_) {
    pool_.OnMalformedLimit(*backend_, *aInfo.malformedRequestLimit_);
  } else if (aInfo.requestLimit_ || aInfo.sealed_) {
    pool_.OnLimitNamed(*backend_, aInfo.requestLimit_, sentMs_);
  }
}

void BackendConnection::FinishResponse(bool aReusable)
{
  const TimeMs nowMs = pool_.loop_.NowMs();
  const int status = parser_.Head().status_;
  if (ambiguous_ || status >= 500) {
    backend_->load_.OnFailed(nowMs);
  } else if (status < 400) {
    const double latencyMs = static_cast<double>(nowMs - sentMs_);
    backend_->load_.OnResponse(latencyMs, loadAtSend_, nowMs);
    pool_.RecordServiceTime(*backend_, latencyMs);
  }
  if (succeeded_) {
    backend_->pause_.OnRequestSucceeded(sentMs_, backend_->entry_.slots_);
  }
  auto* handler = std::exchange(handler_, nullptr);
  EndAttempt(succeeded_ ? AttemptOutcome::Succeeded
             : refused_ ? AttemptOutcome::NotExecuted
                        : AttemptOutcome::Other);
  if (!aReusable) {
    stream_.Abort();
  }
  pool_.Release(shared_from_this(), aReusable);
  if (handler != nullptr) {
    handler->OnResponseDone();
  }
}

void BackendConnection::OnStreamClosed(CloseReason aReason)
{
  const auto self = shared_from_this();
  timer_.Stop();
  if (!busy_) {
    pool_.Release(self, false);
    return;
  }
  if (aReason == CloseReason::Refused || aReason == CloseReason::Unreachable) {
    connectFailed_ = true;
    pool_.OnConnectFailed(*backend_, EnumName(aReason));
    Fail(AttemptFailure::NotSent, EnumName(aReason));
    return;
  }
  if (aReason == CloseReason::EndOfStream && headReceived_ &&
      parser_.IsCloseDelimited() && parser_.FinishAtEof()) {
    FinishResponse(false);
    return;
  }
  const bool unsent = stream_.WrittenBytes() == writtenBytesAtStart_;
  if (unsent) {
    // The server has reached its limit of connections.
    backend_->load_.OnShed(pool_.loop_.NowMs());
  }
  Fail(unsent ? AttemptFailure::NotSent : AttemptFailure::MaybeExecuted,
       EnumName(aReason),
       AttemptOutcome::ConnectionLost);
}

void BackendConnection::Fail(AttemptFailure aFailure,
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
  EndAttempt(aFailure == AttemptFailure::NotSent ? AttemptOutcome::NotExecuted
                                                 : aOutcome);
  stream_.Abort();
  pool_.Release(self, false);
  if (handler != nullptr) {
    handler->OnAttemptFailed(aFailure, aCause);
  }
}

void BackendConnection::EndAttempt(AttemptOutcome aOutcome)
{
  unsentRequest_.clear();
  unsentBody_ = nullptr;
  detachedTimer_.Stop();
  if (busy_) {
    busy_ = false;
    backend_->load_.OnEnded();
    pool_.observer_.OnAttemptFinished(backend_, crashInfo_, aOutcome);
    FreeSlot(SlotOutcomeOf(aOutcome));
  }
}

void BackendConnection::FreeSlot(SlotOutcome aOutcome)
{
  if (const auto slot = std::exchange(slot_, 0); slot != 0) {
    pool_.handlers_.onSlotFreed_(
      slot, { aOutcome, pool_.loop_.NowMs() - sentMs_, reportedLoad_ });
  }
}

SlotOutcome BackendConnection::SlotOutcomeOf(AttemptOutcome aOutcome) const
{
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      return SlotOutcome::Served;
    case AttemptOutcome::NotExecuted:
      return connectFailed_ ? SlotOutcome::Unreachable : SlotOutcome::Rejected;
    case AttemptOutcome::Cancelled:
      return SlotOutcome::Unused;
    default:
      return SlotOutcome::Failed;
  }
}

}

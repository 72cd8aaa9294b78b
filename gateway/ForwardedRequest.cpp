#include "gateway/ForwardedRequest.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kNoConfigRetryMs = 250;
constexpr TimeMs kDefaultDeadlineMs = 30000;
/// The server itself ends the request at the deadline that it was given; this
/// is the time for its response to arrive.
constexpr TimeMs kDeadlineSlackMs = 25;
/// With less remaining time than this, a retry cannot get a response.
constexpr TimeMs kMinRetryTimeMs = 20;
/// Bodies beyond this size count towards the memory limit before they arrive.
constexpr size_t kSmallBodyBytes = 65536;
/// Limit of failed connections for one request; more of them only keep a full
/// server busy.
constexpr int kMaxUnsentAttempts = 3;
/// A connection idle for longer may be closed already; a non-idempotent request
/// is not risked on it.
constexpr TimeMs kMaxIdleNonIdempotentMs = 1500;
constexpr TimeMs kMaxIdleMs = 8000;

std::string_view ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

}

ForwardedRequest::ForwardedRequest(Forwarder& aForwarder,
                                   ResponseSink& aSink,
                                   HttpHead aHead)
  : forwarder_(aForwarder)
  , sink_(&aSink)
  , head_(std::move(aHead))
  , body_(std::make_shared<RequestBody>(aForwarder.RequestBudget()))
  , bufferedBytes_(aForwarder.ResponseBudget())
  , number_(aForwarder.NextRequestNumber())
  , receivedMs_(aForwarder.Loop().NowMs())
  , deadlineTimer_(aForwarder.Loop(), [this] { OnDeadline(); })
{
  forwarder_.AddActive();
}

ForwardedRequest::~ForwardedRequest()
{
  forwarder_.RemoveActive();
  forwarder_.Slots().Withdraw(number_);
  if (connection_ != nullptr) {
    connection_->Detach(RemainingMs() + detail::kDeadlineSlackMs);
  }
}

bool ForwardedRequest::IsIdempotent() const
{
  return route_ != nullptr && cactuspitch::IsRepeatable(route_->kind_);
}

TimeMs ForwardedRequest::RemainingMs() const
{
  return deadlineMs_ - forwarder_.Loop().NowMs();
}

TimeMs ForwardedRequest::UsableMs() const
{
  return std::min(deadlineMs_, forwarder_.ExitMs()) - forwarder_.Loop().NowMs();
}

TimeMs ForwardedRequest::ElapsedMs() const
{
  return forwarder_.Loop().NowMs() - receivedMs_;
}

void ForwardedRequest::Begin()
{
  begun_ = true;
  routes_ = forwarder_.Routes();
  caller_ = forwarder_.Protocol().ParseRequest(head_);
  if (forwarder_.IsStopping()) {
    Reject(503, "stopping", 0);
    return;
  }
  if (routes_ == nullptr) {
    Reject(503, "no-config", detail::kNoConfigRetryMs);
    return;
  }
  if (head_.Field("Host").empty() || caller_.requestId_.empty()) {
    Reject(400, "missing-field", 0);
    return;
  }
  route_ = routes_->Find(head_.Field("Host"), head_.target_);
  if (route_ == nullptr) {
    Reject(404, "no-route", 0);
    return;
  }
  const auto bodyBytes = head_.contentLength_.value_or(0);
  if (bodyBytes > routes_->Config().limits_.bodyBytes_) {
    Reject(413, "body-too-large", 0);
    return;
  }
  service_ = routes_->NextTarget(*route_).service_;
  const TimeMs deadlineMs =
    caller_.remainingMs_.value_or(detail::kDefaultDeadlineMs);
  deadlineMs_ = receivedMs_ + std::min(deadlineMs, route_->timeoutMs_);
  deadlineTimer_.Start(deadlineMs_ - receivedMs_ + detail::kDeadlineSlackMs);
  forwarder_.Metrics().OnRequest(route_->name_);
  if (bodyBytes > detail::kSmallBodyBytes) {
    ReserveBody(bodyBytes);
  }
}

void ForwardedRequest::ReserveBody(size_t aBytes)
{
  if (!body_->share_.TryGrowTo(aBytes)) {
    Reject(503, "memory-short", forwarder_.RandomRetryAfterMs(RemainingMs()));
    return;
  }
  body_->text_.reserve(aBytes);
}

void ForwardedRequest::OnBodyRead()
{
  const auto limitBytes =
    routes_ == nullptr ? 0 : routes_->Config().limits_.bodyBytes_;
  if (completed_) {
    return;
  }
  if (BodyBytes() > limitBytes) {
    Reject(413, "body-too-large", 0);
    return;
  }
  // The buffer of a body without a length grows by a factor of two.
  const auto reserved = body_->share_.Bytes();
  if (!head_.contentLength_ && BodyBytes() > detail::kSmallBodyBytes &&
      reserved < limitBytes &&
      BodyBytes() + detail::kSmallBodyBytes > reserved) {
    ReserveBody(std::min(2 * BodyBytes(), limitBytes));
  }
}

void ForwardedRequest::OnRequestRead(bool aMayDispatch)
{
  requestRead_ = true;
  if (completed_) {
    return;
  }
  const auto seed = XXH3_64bits(head_.target_.data(), head_.target_.size());
  fingerprint_ = XXH3_64bits_withSeed(
    body_->text_.data(), BodyBytes(), seed + head_.method_.size());
  if (aMayDispatch) {
    AllowDispatch();
  }
}

void ForwardedRequest::AllowDispatch()
{
  if (completed_ || dispatched_ || !requestRead_) {
    return;
  }
  if (forwarder_.IsStopping()) {
    Reject(503, "stopping", 0);
    return;
  }
  dispatched_ = true;
  forwarder_.OnFirstAttempt(*this);
  Dispatch();
}

void ForwardedRequest::Redispatch()
{
  queued_ = false;
  if (!completed_ && sink_ != nullptr) {
    Dispatch();
  }
}

void ForwardedRequest::RejectQueued(std::string_view aCause)
{
  if (queued_ && sink_ != nullptr) {
    RejectUnserved(aCause, 0);
  }
}

void ForwardedRequest::OnExit()
{
  if (completed_) {
    return;
  }
  const auto self = shared_from_this();
  if (!WithdrawResponse()) {
    AbortResponse("stopped-in-progress");
    return;
  }
  const auto connection = std::exchange(connection_, nullptr);
  if (connection != nullptr) {
    connection->Cancel();
  }
  if (connection != nullptr || mayHaveExecuted_) {
    Reject(502, "stopped-in-progress", 0);
  } else {
    Reject(503, "stopping", 0);
  }
}

void ForwardedRequest::Dispatch()
{
  const auto choice = forwarder_.ChooseBackend(*this);
  switch (choice.verdict_) {
    case PlacementVerdict::Send:
      SendTo(choice);
      break;
    case PlacementVerdict::Wait:
      queued_ = true;
      forwarder_.Enqueue(shared_from_this());
      break;
    default:
      RejectUnserved(choice.cause_, choice.retryAfterMs_);
  }
}

std::string ForwardedRequest::MakeRequestHead(const Backend& aBackend) const
{
  auto text = Concat(head_.method_, " ", head_.target_, " HTTP/1.1\r\n");
  for (const auto& [name, value] : EndToEndFields(head_)) {
    if (!forwarder_.Protocol().IsReplacedRequestField(name) &&
        !EqualsIgnoreCase(name, "Expect")) {
      AppendTo(text, name, ": ", value, "\r\n");
    }
  }
  forwarder_.Protocol().AddRequestFields(
    text, std::max<TimeMs>(RemainingMs(), 1), aBackend.entry_.id_);
  if (BodyBytes() > 0 || head_.contentLength_ || head_.chunked_) {
    AppendTo(text, "Content-Length: ", BodyBytes(), "\r\n");
  }
  text += "\r\n";
  return text;
}

bool ForwardedRequest::PassesQuarantine(const SuspectDecision& aDecision)
{
  if (aDecision.verdict_ == SuspectVerdict::Refuse) {
    RejectUnserved("quarantined",
                   aDecision.waitMs_ > 0 ? aDecision.waitMs_ : RemainingMs());
  } else if (aDecision.verdict_ == SuspectVerdict::Wait) {
    queued_ = true;
    forwarder_.Enqueue(shared_from_this());
  }
  return aDecision.verdict_ == SuspectVerdict::Run;
}

void ForwardedRequest::SendTo(const BackendChoice& aChoice)
{
  const auto& backend = aChoice.backend_;
  auto& crashes = forwarder_.Crashes();
  const auto decision = crashes.TryBegin(fingerprint_, *backend);
  if (!PassesQuarantine(decision)) {
    forwarder_.ReturnUnused(aChoice.slot_);
    return;
  }
  auto connection = forwarder_.Pool().Acquire(
    backend,
    aChoice.maxConnections_,
    IsIdempotent() ? detail::kMaxIdleMs : detail::kMaxIdleNonIdempotentMs,
    caller_.requestId_);
  if (connection == nullptr) {
    crashes.CancelBegin(fingerprint_, *backend);
    forwarder_.ReturnUnused(aChoice.slot_);
    queued_ = true;
    forwarder_.Enqueue(shared_from_this());
    return;
  }
  forwarder_.TakePermit(*backend, aChoice.slot_ != 0);
  ++attempts_;
  lastBackend_ = backend->entry_.id_;
  discardResponse_ = false;
  responseBody_.clear();
  connection_ = connection;
  connection->Start(*this,
                    { fingerprint_, decision.knownCrashes_ },
                    MakeRequestHead(*backend),
                    body_,
                    caller_.requestId_,
                    head_.method_ != "HEAD",
                    aChoice.slot_);
}

bool ForwardedRequest::OnResponseHead(const HttpHead& aHead,
                                      const ResponseMetadata& aInfo)
{
  responseHead_ = aHead;
  responseInfo_ = aInfo;
  if (!aInfo.notExecuted_ || aInfo.requestId_.empty()) {
    mayHaveExecuted_ = true;
  }
  const bool success = responseHead_.status_ < 300;
  if (aInfo.notExecuted_ || aInfo.ambiguous_ || (success && !aInfo.sealed_) ||
      responseHead_.HasField("Content-Encoding")) {
    discardResponse_ = true;
  }
  if (aInfo.ambiguous_) {
    forwarder_.Log().Write(LogLevel::Info,
                           "answer-ambiguous",
                           { { "id", caller_.requestId_ },
                             { "backend", lastBackend_ },
                             { "status", responseHead_.status_ },
                             { "sealed", aInfo.sealed_ ? 1 : 0 },
                             { "attempt", attempts_ } });
  }
  return !discardResponse_;
}

void ForwardedRequest::OnResponseBody(std::string& aBody)
{
  if (headWritten_) {
    if (responseHead_.contentLength_) {
      output_.append(aBody);
    } else {
      AppendTo(output_, absl::Hex(aBody.size()), "\r\n", aBody, "\r\n");
    }
    aBody.clear();
    UpdateBufferedBytes();
    PauseIfOutputIsLarge();
    sink_->OnResponseBytes();
    return;
  }
  responseBody_.append(aBody);
  aBody.clear();
  UpdateBufferedBytes();
  // A response that is complete can be retried if it was truncated, so only
  // large ones are streamed.
  if (responseBody_.size() > forwarder_.MaxBufferedBytes()) {
    StartResponse(false);
    PauseIfOutputIsLarge();
  }
}

size_t ForwardedRequest::MaxOutputBytes() const
{
  return outputTaken_ ? forwarder_.MaxBufferedBytes()
                      : forwarder_.MaxWaitingBytes();
}

void ForwardedRequest::PauseIfOutputIsLarge()
{
  if (connection_ != nullptr && output_.size() > MaxOutputBytes()) {
    connection_->PauseReading(true);
  }
}

bool ForwardedRequest::WithdrawResponse()
{
  if (outputTaken_) {
    return false;
  }
  headWritten_ = false;
  announcedClose_ = false;
  std::string().swap(output_);
  std::string().swap(responseBody_);
  UpdateBufferedBytes();
  return true;
}

void ForwardedRequest::UpdateBufferedBytes()
{
  bufferedBytes_.Set(responseBody_.size() + output_.size());
}

void ForwardedRequest::AbortResponse(std::string_view aCause)
{
  completed_ = true;
  deadlineTimer_.Stop();
  LogCompletion(responseHead_.status_, aCause, lastBackend_);
  if (auto connection = std::exchange(connection_, nullptr)) {
    connection->Cancel();
  }
  if (sink_ != nullptr) {
    sink_->OnResponseAborted();
  }
}

void ForwardedRequest::OnResponseDone()
{
  connection_ = nullptr;
  const auto self = shared_from_this();
  forwarder_.OnAttemptEnded();
  if (sink_ == nullptr || completed_) {
    return;
  }
  if (responseInfo_.notExecuted_) {
    forwarder_.Metrics().OnAttempt("not-run");
    OnNotExecuted();
    return;
  }
  if (responseInfo_.ambiguous_) {
    forwarder_.Metrics().OnAttempt("ambiguous");
    OnOutcomeUnknown("ambiguous-answer");
    return;
  }
  if (discardResponse_) {
    forwarder_.Metrics().OnAttempt("unsealed");
    OnOutcomeUnknown("unsealed-answer");
    return;
  }
  forwarder_.Metrics().OnAttempt("answered");
  forwarder_.RecordResponseBytes(
    *route_, responseHead_.contentLength_.value_or(responseBody_.size()));
  if (responseHead_.status_ >= 500 && IsIdempotent() && !headWritten_ &&
      TryRetry("server-error", true)) {
    return;
  }
  if (headWritten_) {
    if (!responseHead_.contentLength_) {
      output_ += "0\r\n\r\n";
    }
  } else {
    StartResponse(true);
  }
  FinishResponse();
}

void ForwardedRequest::OnAttemptFailed(AttemptFailure aFailure,
                                       std::string_view aCause)
{
  const auto connection = std::exchange(connection_, nullptr);
  const auto self = shared_from_this();
  forwarder_.Metrics().OnAttempt(EnumName(aFailure));
  forwarder_.OnAttemptEnded();
  if (aFailure == AttemptFailure::MaybeExecuted) {
    mayHaveExecuted_ = true;
  }
  if (sink_ == nullptr || completed_) {
    return;
  }
  if (!WithdrawResponse()) {
    AbortResponse("broken-answer");
    return;
  }
  if (aFailure == AttemptFailure::NotSent) {
    --attempts_;
    ++unsentAttempts_;
    triedBackends_.insert(lastBackend_);
    if (unsentAttempts_ > detail::kMaxUnsentAttempts ||
        !TryRetry(aCause, false)) {
      if (mayHaveExecuted_) {
        Reject(502, aCause, 0);
      } else {
        Reject(503,
               "backend-unreachable",
               RetryAfterMs(forwarder_.Options(), RemainingMs(), 0));
      }
    }
    return;
  }
  OnOutcomeUnknown(aCause);
}

void ForwardedRequest::OnNotExecuted()
{
  const std::string_view cause =
    responseHead_.status_ == 421 ? "misdirected" : "backend-shed";
  if (responseInfo_.requestId_.empty()) {
    // The response may belong to another request.
    OnOutcomeUnknown(cause);
    return;
  }
  triedBackends_.insert(lastBackend_);
  if (TryRetry(cause, true)) {
    return;
  }
  if (mayHaveExecuted_) {
    // An earlier attempt may have been executed, so 503 would be wrong.
    Reject(502, "attempts-exhausted", 0);
    return;
  }
  Reject(503, cause, RetryAfterMs(forwarder_.Options(), RemainingMs(), 0));
}

void ForwardedRequest::OnOutcomeUnknown(std::string_view aCause)
{
  triedBackends_.insert(lastBackend_);
  if (IsIdempotent() && TryRetry(aCause, true)) {
    return;
  }
  Reject(502, aCause, 0);
}

bool ForwardedRequest::TryRetry(std::string_view aCause, bool aUsesBudget)
{
  std::string_view decision = "retried";
  if (attempts_ >= route_->maxAttempts_) {
    decision = "attempts used up";
  } else if (UsableMs() < detail::kMinRetryTimeMs) {
    decision = "deadline too near";
  } else if (aUsesBudget && !forwarder_.TryTakeRetry(service_)) {
    decision = "retry budget used up";
  }
  const bool retried = decision == "retried";
  if (forwarder_.Log().Allows(LogLevel::Info, "attempt-failed")) {
    forwarder_.Log().Write(LogLevel::Info,
                           "attempt-failed",
                           { { "id", caller_.requestId_ },
                             { "cause", aCause },
                             { "backend", lastBackend_ },
                             { "attempt", attempts_ },
                             { "fingerprint", absl::Hex(fingerprint_) },
                             { "decision", decision },
                             { "remaining_ms", RemainingMs() } });
  }
  if (!retried) {
    return false;
  }
  if (aUsesBudget) {
    forwarder_.Metrics().OnRetry();
  }
  // Deferred, because the handler of the connection that has just ended is
  // running.
  queued_ = true;
  forwarder_.Loop().Defer([self = shared_from_this()] {
    if (self->queued_) {
      self->Redispatch();
    }
  });
  return true;
}

void ForwardedRequest::OnDeadline()
{
  if (completed_) {
    return;
  }
  const auto self = shared_from_this();
  // Keeps the request, which owns the running timer, alive.
  forwarder_.Loop().Defer([self] {});
  const bool inProgress = connection_ != nullptr;
  if (!WithdrawResponse()) {
    AbortResponse("deadline-in-answer");
    return;
  }
  if (auto connection = std::exchange(connection_, nullptr)) {
    connection->Cancel(SlotOutcome::Failed);
  }
  if (sink_ == nullptr) {
    completed_ = true;
    return;
  }
  if (!requestRead_) {
    Reject(408, "request-incomplete", 0);
  } else if (inProgress || mayHaveExecuted_) {
    Reject(504, "deadline", 0);
  } else {
    Reject(503, "deadline-unsent", 0);
  }
}

void ForwardedRequest::RejectUnserved(std::string_view aCause,
                                      TimeMs aRetryAfterMs)
{
  // 503 promises that the request was not executed.
  Reject(mayHaveExecuted_ ? 502 : 503, aCause, aRetryAfterMs);
}

void ForwardedRequest::Reject(int aStatus,
                              std::string_view aCause,
                              TimeMs aRetryAfterMs)
{
  if (completed_) {
    return;
  }
  const auto status = Concat(aStatus, " ", detail::ReasonPhrase(aStatus));
  const auto body = Concat(aCause, "\n");
  output_ = Concat("HTTP/1.1 ", status, "\r\n");
  forwarder_.Protocol().AddGatewayResponseFields(output_, caller_.requestId_);
  if (aStatus == 503 || (aStatus == 502 && aRetryAfterMs > 0)) {
    constexpr double kMsPerSecond = 1000;
    AppendTo(output_,
             "Retry-After: ",
             static_cast<double>(aRetryAfterMs) / kMsPerSecond,
             "\r\n");
  }
  // After a partly read request, the connection cannot be used for another one.
  const bool hasBody = head_.chunked_ || head_.contentLength_.value_or(0) > 0;
  announcedClose_ = sink_->WantsClose(*this) || (hasBody && !requestRead_);
  AppendTo(output_,
           announcedClose_ ? "Connection: close\r\n" : "",
           "Content-Type: text/plain\r\nContent-Length: ",
           body.size(),
           "\r\n\r\n",
           head_.method_ == "HEAD" ? "" : body);
  LogCompletion(aStatus, aCause, lastBackend_);
  FinishResponse();
}

void ForwardedRequest::StartResponse(bool aComplete)
{
  headWritten_ = true;
  output_ = Concat(
    "HTTP/1.1 ", responseHead_.status_, " ", responseHead_.reason_, "\r\n");
  for (const auto& [name, value] : EndToEndFields(responseHead_)) {
    if (!forwarder_.Protocol().IsInternalResponseField(name)) {
      AppendTo(output_, name, ": ", value, "\r\n");
    }
  }
  announcedClose_ = sink_->WantsClose(*this);
  if (announcedClose_) {
    output_ += "Connection: close\r\n";
  }
  const int status = responseHead_.status_;
  const bool bodiless =
    head_.method_ == "HEAD" || status == 204 || status == 304;
  if (bodiless) {
    if (responseHead_.contentLength_ && status != 204) {
      AppendTo(
        output_, "Content-Length: ", *responseHead_.contentLength_, "\r\n");
    }
    output_ += "\r\n";
    responseHead_.contentLength_ = 0;
    return;
  }
  if (aComplete) {
    responseHead_.contentLength_ = responseBody_.size();
  }
  if (responseHead_.contentLength_) {
    AppendTo(output_,
             "Content-Length: ",
             *responseHead_.contentLength_,
             "\r\n\r\n",
             responseBody_);
  } else {
    AppendTo(output_,
             "Transfer-Encoding: chunked\r\n\r\n",
             absl::Hex(responseBody_.size()),
             "\r\n",
             responseBody_,
             "\r\n");
  }
  std::string().swap(responseBody_);
  UpdateBufferedBytes();
  if (!aComplete) {
    sink_->OnResponseBytes();
  }
}

void ForwardedRequest::FinishResponse()
{
  completed_ = true;
  queued_ = false;
  deadlineTimer_.Stop();
  forwarder_.Slots().Withdraw(number_);
  if (headWritten_) {
    LogCompletion(responseHead_.status_, "answered", lastBackend_);
  }
  if (sink_ != nullptr) {
    sink_->OnResponseBytes();
  }
}

void ForwardedRequest::OnOutputWritten()
{
  outputTaken_ = true;
  UpdateBufferedBytes();
  if (connection_ != nullptr && headWritten_ &&
      output_.size() <= forwarder_.MaxBufferedBytes()) {
    connection_->PauseReading(false);
  }
}

void ForwardedRequest::OnCallerDisconnected()
{
  const auto self = shared_from_this();
  sink_ = nullptr;
  queued_ = false;
  if (completed_) {
    return;
  }
  forwarder_.Slots().Withdraw(number_);
  if (connection_ != nullptr && !IsIdempotent()) {
    // A non-idempotent request is executed to its end and its response is
    // discarded. The connection to the server stays open until the server has
    // responded.
    deadlineTimer_.Stop();
    connection_->Detach(RemainingMs() + detail::kDeadlineSlackMs);
    connection_ = nullptr;
    completed_ = true;
    LogCompletion(0, "caller-left", lastBackend_);
    return;
  }
  if (auto connection = std::exchange(connection_, nullptr)) {
    connection->Cancel();
  }
  completed_ = true;
  deadlineTimer_.Stop();
  if (begun_ && route_ != nullptr) {
    LogCompletion(0, "caller-left", lastBackend_);
  }
}

void ForwardedRequest::LogCompletion(int aStatus,
                                     std::string_view aCause,
                                     std::string_view aBackend)
{
  const TimeMs nowMs = forwarder_.Loop().NowMs();
  const TimeMs latencyMs = nowMs - receivedMs_;
  forwarder_.Metrics().OnResponse(
    aStatus, aCause, static_cast<double>(latencyMs));
  const bool good = aStatus >= 200 && aStatus < 300;
  const auto event = good ? "request-served" : "request-failed";
  const auto level = good ? LogLevel::Debug : LogLevel::Info;
  if (!forwarder_.Log().Allows(level, event)) {
    return;
  }
  forwarder_.Log().Write(
    level,
    event,
    { { "id", caller_.requestId_ },
      { "status", aStatus },
      { "cause", aCause },
      { "route", route_ == nullptr ? std::string() : route_->name_ },
      { "service", service_ },
      { "key", caller_.key_ ? static_cast<int64_t>(*caller_.key_) : -1 },
      { "backend", aBackend },
      { "attempts", attempts_ },
      { "fingerprint", absl::Hex(fingerprint_) },
      { "held_ms", latencyMs },
      { "remaining_ms", deadlineMs_ == 0 ? 0 : deadlineMs_ - nowMs } });
}

}

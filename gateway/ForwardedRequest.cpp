#include "gateway/ForwardedRequest.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

/// Answers up to this size are sent once they are complete, so that one that
/// breaks off can be asked for again; larger ones are passed on as they come.
constexpr size_t kBufferedAnswerBytes = 262144;
/// Output of a streamed answer that the caller has not taken yet.
constexpr size_t kMaxOutputBytes = 262144;
constexpr TimeMs kNoConfigRetryMs = 250;
constexpr TimeMs kDefaultDeadlineMs = 30000;
/// The server ends the work itself at the deadline it was given; its own
/// answer is on the way for this long.
constexpr TimeMs kFinalSlackMs = 25;
/// Below this, a repeat has no chance to be answered.
constexpr TimeMs kMinAttemptMs = 20;
/// Connections that may fail for one request before it is refused; more of them
/// only keep a full server busy.
constexpr int kMaxUnsentAttempts = 3;
/// A connection idle for longer may be gone; a request that must not run twice
/// is not risked on it.
constexpr TimeMs kMaxIdleNonIdempotentMs = 1500;
constexpr TimeMs kMaxIdleMs = 8000;

std::string_view ReasonOf(int aStatus)
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
                                   AnswerSink& aSink,
                                   HttpHead aHead)
  : forwarder_(aForwarder)
  , sink_(&aSink)
  , head_(std::move(aHead))
  , readMs_(aForwarder.Loop().NowMs())
  , finalTimer_(aForwarder.Loop(), [this] { OnFinalTimer(); })
{
  forwarder_.AddActive();
}

ForwardedRequest::~ForwardedRequest()
{
  forwarder_.RemoveActive();
  if (link_ != nullptr) {
    link_->Detach();
  }
}

bool ForwardedRequest::IsIdempotent() const
{
  return route_ != nullptr && cactuspitch::IsRepeatable(route_->kind_);
}

TimeMs ForwardedRequest::RemainingMs() const
{
  return finalMs_ - forwarder_.Loop().NowMs();
}

TimeMs ForwardedRequest::HeldMs() const
{
  return forwarder_.Loop().NowMs() - readMs_;
}

void ForwardedRequest::Begin()
{
  begun_ = true;
  routes_ = forwarder_.Routes();
  caller_ = forwarder_.Protocol().ParseRequest(head_);
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
  const auto& limits = routes_->Config().limits_;
  if (head_.contentLength_.value_or(0) > limits.bodyBytes_) {
    Reject(413, "body-too-large", 0);
    return;
  }
  service_ = routes_->NextTarget(*route_).service_;
  const TimeMs deadlineMs =
    caller_.remainingMs_.value_or(detail::kDefaultDeadlineMs);
  finalMs_ = readMs_ + std::min(deadlineMs, route_->timeoutMs_);
  finalTimer_.Start(finalMs_ - readMs_ + detail::kFinalSlackMs);
  forwarder_.Metrics().OnRequest(route_->name_);
}

void ForwardedRequest::OnRead(bool aMayDispatch)
{
  read_ = true;
  if (answered_) {
    return;
  }
  if (body_.size() > routes_->Config().limits_.bodyBytes_) {
    Reject(413, "body-too-large", 0);
    return;
  }
  const auto seed = XXH3_64bits(head_.target_.data(), head_.target_.size());
  fingerprint_ = XXH3_64bits_withSeed(
    body_.data(), body_.size(), seed + head_.method_.size());
  if (aMayDispatch) {
    AllowDispatch();
  }
}

void ForwardedRequest::AllowDispatch()
{
  if (answered_ || dispatched_ || !read_) {
    return;
  }
  dispatched_ = true;
  forwarder_.OnFirstAttempt(*this);
  if (!forwarder_.TryAdmit(*this)) {
    Reject(503, "owner-share", forwarder_.SpreadRetryMs(RemainingMs()));
    return;
  }
  Dispatch();
}

void ForwardedRequest::Redispatch()
{
  parked_ = false;
  if (!answered_ && sink_ != nullptr) {
    Dispatch();
  }
}

void ForwardedRequest::RefuseParked(std::string_view aCause)
{
  if (parked_ && sink_ != nullptr) {
    Reject(sent_ ? 502 : 503, aCause, 0);
  }
}

void ForwardedRequest::Dispatch()
{
  const auto choice = forwarder_.Choose(*this);
  switch (choice.verdict_) {
    case PlacementVerdict::Send:
      SendTo(choice);
      break;
    case PlacementVerdict::Wait:
      parked_ = true;
      forwarder_.Park(shared_from_this());
      break;
    default:
      Reject(503, choice.cause_, choice.retryAfterMs_);
  }
}

std::string ForwardedRequest::RequestHead(const Backend& aBackend) const
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
  if (!body_.empty() || head_.contentLength_ || head_.chunked_) {
    AppendTo(text, "Content-Length: ", body_.size(), "\r\n");
  }
  text += "\r\n";
  return text;
}

bool ForwardedRequest::MayRunOn(const SuspectDecision& aDecision)
{
  if (aDecision.verdict_ == SuspectVerdict::Refuse) {
    // What an earlier attempt may have run is no refusal.
    Reject(sent_ ? 502 : 503,
           "quarantined",
           aDecision.waitMs_ > 0 ? aDecision.waitMs_ : RemainingMs());
  } else if (aDecision.verdict_ == SuspectVerdict::Wait) {
    parked_ = true;
    forwarder_.Park(shared_from_this());
  }
  return aDecision.verdict_ == SuspectVerdict::Run;
}

void ForwardedRequest::SendTo(const Choice& aChoice)
{
  const auto& backend = aChoice.backend_;
  auto& crashes = forwarder_.Crashes();
  const auto decision = crashes.TryBegin(fingerprint_, *backend);
  if (!MayRunOn(decision)) {
    return;
  }
  auto link = forwarder_.Pool().Acquire(
    backend,
    aChoice.maxConnections_,
    IsIdempotent() ? detail::kMaxIdleMs : detail::kMaxIdleNonIdempotentMs);
  if (link == nullptr) {
    crashes.CancelBegin(fingerprint_, *backend);
    parked_ = true;
    forwarder_.Park(shared_from_this());
    return;
  }
  ++attempts_;
  lastBackend_ = backend->entry_.id_;
  discard_ = false;
  answerBody_.clear();
  link_ = link;
  link->Start(*this,
              { fingerprint_, decision.knownCrashes_ },
              RequestHead(*backend),
              body_,
              caller_.requestId_,
              head_.method_ != "HEAD");
}

void ForwardedRequest::OnAnswerHead(const HttpHead& aHead,
                                    const ResponseMetadata& aInfo)
{
  answerHead_ = aHead;
  answerInfo_ = aInfo;
  if (!aInfo.notExecuted_) {
    sent_ = true;
  }
  const bool success = answerHead_.status_ < 300;
  if (aInfo.notExecuted_ || (success && !aInfo.sealed_) ||
      answerHead_.HasField("Content-Encoding")) {
    discard_ = true;
  }
}

void ForwardedRequest::OnAnswerBody(std::string& aBody)
{
  if (discard_) {
    aBody.clear();
    return;
  }
  if (headWritten_) {
    if (answerHead_.contentLength_) {
      output_.append(aBody);
    } else {
      AppendTo(output_, absl::Hex(aBody.size()), "\r\n", aBody, "\r\n");
    }
    aBody.clear();
    if (output_.size() > detail::kMaxOutputBytes) {
      link_->PauseReading(true);
    }
    sink_->OnAnswerBytes();
    return;
  }
  answerBody_.append(aBody);
  aBody.clear();
  if (answerBody_.size() > detail::kBufferedAnswerBytes) {
    StartAnswer(false);
  }
}

void ForwardedRequest::OnAnswerDone()
{
  link_ = nullptr;
  const auto self = shared_from_this();
  forwarder_.OnAttemptEnded();
  if (sink_ == nullptr || answered_) {
    return;
  }
  if (answerInfo_.notExecuted_) {
    forwarder_.Metrics().OnAttempt("not-run");
    OnNotRun();
    return;
  }
  if (discard_) {
    forwarder_.Metrics().OnAttempt("unsealed");
    OnUncertain("unsealed-answer");
    return;
  }
  forwarder_.Metrics().OnAttempt("answered");
  forwarder_.NoteAnswerBytes(
    *route_, answerHead_.contentLength_.value_or(answerBody_.size()));
  if (answerHead_.status_ >= 500 && IsIdempotent() && !headWritten_ &&
      TryAgain("server-error", true)) {
    return;
  }
  if (headWritten_) {
    if (!answerHead_.contentLength_) {
      output_ += "0\r\n\r\n";
    }
  } else {
    StartAnswer(true);
  }
  FinishAnswer();
}

void ForwardedRequest::OnAttemptFailed(AttemptEnd aEnd, std::string_view aCause)
{
  const auto link = std::exchange(link_, nullptr);
  const auto self = shared_from_this();
  forwarder_.Metrics().OnAttempt(EnumName(aEnd));
  forwarder_.OnAttemptEnded();
  if (aEnd == AttemptEnd::MaybeRun) {
    sent_ = true;
  }
  if (sink_ == nullptr || answered_) {
    return;
  }
  if (headWritten_) {
    answered_ = true;
    finalTimer_.Stop();
    LogEnd(answerHead_.status_, "broken-answer", lastBackend_);
    sink_->OnAnswerBroken();
    return;
  }
  if (aEnd == AttemptEnd::NotSent) {
    --attempts_;
    ++unsentAttempts_;
    tried_.insert(lastBackend_);
    if (unsentAttempts_ > detail::kMaxUnsentAttempts ||
        !TryAgain(aCause, false)) {
      if (sent_) {
        Reject(502, aCause, 0);
      } else {
        Reject(503,
               "backend-unreachable",
               RetryAfterMs(forwarder_.Options(), RemainingMs(), 0));
      }
    }
    return;
  }
  OnUncertain(aCause);
}

void ForwardedRequest::OnNotRun()
{
  tried_.insert(lastBackend_);
  const std::string_view cause =
    answerHead_.status_ == 421 ? "misdirected" : "backend-shed";
  if (TryAgain(cause, true)) {
    return;
  }
  if (sent_) {
    // An earlier attempt may have run, so this is no refusal.
    Reject(502, "attempts-exhausted", 0);
    return;
  }
  Reject(503, cause, RetryAfterMs(forwarder_.Options(), RemainingMs(), 0));
}

void ForwardedRequest::OnUncertain(std::string_view aCause)
{
  tried_.insert(lastBackend_);
  if (IsIdempotent() && TryAgain(aCause, true)) {
    return;
  }
  Reject(502, aCause, 0);
}

bool ForwardedRequest::TryAgain(std::string_view aCause, bool aCounts)
{
  std::string_view decision = "retried";
  if (attempts_ >= route_->maxAttempts_) {
    decision = "attempts used up";
  } else if (RemainingMs() < detail::kMinAttemptMs) {
    decision = "deadline too near";
  } else if (aCounts && !forwarder_.TryTakeRetry(service_)) {
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
  if (aCounts) {
    forwarder_.Metrics().OnRetry();
  }
  // Not from within the handler of the connection that has just ended.
  parked_ = true;
  forwarder_.Loop().Defer([self = shared_from_this()] {
    if (self->parked_) {
      self->Redispatch();
    }
  });
  return true;
}

void ForwardedRequest::OnFinalTimer()
{
  if (answered_) {
    return;
  }
  const auto self = shared_from_this();
  // The timer that runs this belongs to the request.
  forwarder_.Loop().Defer([self] {});
  const bool underWay = link_ != nullptr;
  if (headWritten_) {
    answered_ = true;
    LogEnd(answerHead_.status_, "deadline-in-answer", lastBackend_);
    if (auto link = std::exchange(link_, nullptr)) {
      link->Cancel();
    }
    if (sink_ != nullptr) {
      sink_->OnAnswerBroken();
    }
    return;
  }
  if (auto link = std::exchange(link_, nullptr)) {
    link->Cancel();
  }
  if (sink_ == nullptr) {
    answered_ = true;
    return;
  }
  if (!read_) {
    Reject(408, "request-incomplete", 0);
  } else if (underWay || sent_) {
    Reject(504, "deadline", 0);
  } else {
    Reject(503, "deadline-unsent", 0);
  }
}

void ForwardedRequest::Reject(int aStatus,
                              std::string_view aCause,
                              TimeMs aRetryAfterMs)
{
  if (answered_) {
    return;
  }
  const auto status = Concat(aStatus, " ", detail::ReasonOf(aStatus));
  const auto body = Concat(aCause, "\n");
  output_ = Concat("HTTP/1.1 ", status, "\r\n");
  forwarder_.Protocol().AddGatewayResponseFields(output_, caller_.requestId_);
  if (aStatus == 503) {
    constexpr double kMsPerSecond = 1000;
    AppendTo(output_,
             "Retry-After: ",
             static_cast<double>(aRetryAfterMs) / kMsPerSecond,
             "\r\n");
  }
  // A request whose end is unknown leaves the connection unusable.
  announcedClose_ = sink_->WantsClose(*this) || !read_;
  AppendTo(output_,
           announcedClose_ ? "Connection: close\r\n" : "",
           "Content-Type: text/plain\r\nContent-Length: ",
           body.size(),
           "\r\n\r\n",
           head_.method_ == "HEAD" ? "" : body);
  LogEnd(aStatus, aCause, lastBackend_);
  FinishAnswer();
}

void ForwardedRequest::StartAnswer(bool aComplete)
{
  headWritten_ = true;
  output_ =
    Concat("HTTP/1.1 ", answerHead_.status_, " ", answerHead_.reason_, "\r\n");
  for (const auto& [name, value] : EndToEndFields(answerHead_)) {
    if (!forwarder_.Protocol().IsInternalResponseField(name)) {
      AppendTo(output_, name, ": ", value, "\r\n");
    }
  }
  announcedClose_ = sink_->WantsClose(*this);
  if (announcedClose_) {
    output_ += "Connection: close\r\n";
  }
  const int status = answerHead_.status_;
  const bool bodiless =
    head_.method_ == "HEAD" || status == 204 || status == 304;
  if (bodiless) {
    if (answerHead_.contentLength_ && status != 204) {
      AppendTo(
        output_, "Content-Length: ", *answerHead_.contentLength_, "\r\n");
    }
    output_ += "\r\n";
    answerHead_.contentLength_ = 0;
    return;
  }
  if (aComplete) {
    answerHead_.contentLength_ = answerBody_.size();
  }
  if (answerHead_.contentLength_) {
    AppendTo(output_,
             "Content-Length: ",
             *answerHead_.contentLength_,
             "\r\n\r\n",
             answerBody_);
  } else {
    AppendTo(output_,
             "Transfer-Encoding: chunked\r\n\r\n",
             absl::Hex(answerBody_.size()),
             "\r\n",
             answerBody_,
             "\r\n");
  }
  answerBody_ = {};
  if (!aComplete) {
    sink_->OnAnswerBytes();
  }
}

void ForwardedRequest::FinishAnswer()
{
  answered_ = true;
  parked_ = false;
  finalTimer_.Stop();
  if (headWritten_) {
    LogEnd(answerHead_.status_, "answered", lastBackend_);
  }
  if (sink_ != nullptr) {
    sink_->OnAnswerBytes();
  }
}

void ForwardedRequest::OnOutputTaken()
{
  if (link_ != nullptr && headWritten_ &&
      output_.size() <= detail::kMaxOutputBytes) {
    link_->PauseReading(false);
  }
}

void ForwardedRequest::OnCallerGone()
{
  const auto self = shared_from_this();
  sink_ = nullptr;
  parked_ = false;
  if (answered_) {
    return;
  }
  if (link_ != nullptr && !IsIdempotent()) {
    // What is being recorded is recorded in full; nobody hears of it. The
    // request stays alive until its server has answered.
    finalTimer_.Stop();
    link_->Detach();
    link_ = nullptr;
    answered_ = true;
    LogEnd(0, "caller-left", lastBackend_);
    return;
  }
  if (auto link = std::exchange(link_, nullptr)) {
    link->Cancel();
  }
  answered_ = true;
  finalTimer_.Stop();
  if (begun_ && route_ != nullptr) {
    LogEnd(0, "caller-left", lastBackend_);
  }
}

void ForwardedRequest::LogEnd(int aStatus,
                              std::string_view aCause,
                              std::string_view aBackend)
{
  const TimeMs nowMs = forwarder_.Loop().NowMs();
  const TimeMs latencyMs = nowMs - readMs_;
  forwarder_.Metrics().OnAnswer(
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
      { "remaining_ms", finalMs_ == 0 ? 0 : finalMs_ - nowMs } });
}

}

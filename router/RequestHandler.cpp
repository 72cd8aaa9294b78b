#include "RequestHandler.hpp"

#include "BackendCrashDetector.hpp"
#include "HeaderFilter.hpp"

#include <algorithm>
#include <random>
#include <thread>

namespace cactuspitch {

namespace detail {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
/// Largest request body that is read and discarded before a rejection. A caller
/// that sends more is disconnected and cannot read the response.
constexpr uint64_t kMaxDiscardBytes = 16 << 20;
constexpr int kFirstServerError = 500;

/// Delays between fetches of the table while a request is parked. They grow
/// exponentially: a fetch every millisecond would add load to an assigner that
/// is already late.
constexpr TimeMs kMinParkMs = 5;
constexpr TimeMs kMaxParkMs = 100;
constexpr TimeMs kViewLeasePollIntervalMs = 10;
/// A view lease that expires sooner leaves the server no time to execute the
/// request.
constexpr TimeMs kMinViewLeaseMs = 20;
/// Time in which a takeover usually completes (docs/design.md, section 4.5).
constexpr TimeMs kTakeoverRetryMs = 1000;
constexpr TimeMs kDefaultRetryMs = 500;
/// Duration of two calls to unresponsive replicas of the request ledger.
constexpr TimeMs kLedgerWaitMs = 500;
constexpr TimeMs kQuarantineRetryMs = 60000;
/// A server that sheds one request more often than this is considered faulty
/// rather than busy.
constexpr int kMaxSheds = 12;

uint64_t RandomToken()
{
  static thread_local std::mt19937_64 random(std::random_device{}());
  return random();
}

}

RequestHandler::RequestHandler(RouterContext& aContext, HttpExchange& aCaller)
  : context_(aContext)
  , caller_(aCaller)
  , response_(aCaller)
  , startMs_(aContext.clock_.NowMs())
{
}

void RequestHandler::Run()
{
  if (ValidateAndRoute() && ReadBody() && BeginInLedger()) {
    RunAttempts();
  }
}

bool RequestHandler::ValidateAndRoute()
{
  const CallerInput input{ caller_.Method(),
                           caller_.Path(),
                           caller_.Query(),
                           caller_.Header(header::kRequestId),
                           caller_.Header(header::kDeadlineMs) };
  const auto refusal = ParseCallerRequest(input, context_.limits_, request_);
  if (refusal.status_ != 0) {
    caller_.DiscardBody(detail::kMaxDiscardBytes);
    response_.Refuse(refusal.status_, refusal.text_);
    return false;
  }
  target_.table_ = context_.tables_.Table(request_.service_, request_.hash_);
  const auto& table = target_.table_;
  if (!table) {
    if (context_.tables_.IsReady()) {
      response_.Refuse(detail::kNotFound, "unknown service");
    } else {
      response_.NotRun(NotRunReason::NoOwner,
                       detail::kTakeoverRetryMs,
                       "the router has no table yet");
    }
    return false;
  }
  rules_ =
    context_.rules_.ForRequest(table->table_, request_.hash_, request_.key_);
  service_ = &context_.registry_.Service(request_.service_);
  service_->OnRequest();
  const auto length =
    std::min(request_.deadlineMs_.value_or(rules_->defaultDeadlineMs_),
             rules_->maxDeadlineMs_);
  deadlineMs_ = startMs_ + length;
  // The default deadline limits the wait for a response, but not the duration
  // of a long download.
  streamDeadlineMs_ =
    request_.deadlineMs_ ? deadlineMs_ : startMs_ + rules_->maxDeadlineMs_;
  return true;
}

bool RequestHandler::ReadBody()
{
  if (caller_.ContentLength() > 0) {
    auto body = caller_.ReadBody(static_cast<size_t>(rules_->maxRequestBytes_));
    if (!body.ok()) {
      caller_.DiscardBody(detail::kMaxDiscardBytes);
      response_.Refuse(absl::IsOutOfRange(body.status()) ? detail::kTooLarge
                                                         : detail::kBadRequest,
                       body.status().message().data());
      return false;
    }
    body_ = *std::move(body);
  }
  headers_ = HeaderFilter::ForServer(caller_.Headers());
  fingerprint_ = RequestFingerprint(request_, body_);
  if (request_.requestId_.empty()) {
    request_.requestId_ =
      Concat(context_.instance_,
             "-",
             context_.nextRequest_.fetch_add(1, std::memory_order_relaxed));
  }
  return true;
}

bool RequestHandler::BeginInLedger()
{
  if (request_.isIdempotent_) {
    return true;
  }
  ticket_ = context_.ledger_.Begin(
    context_.tables_.RouterPeers(),
    { request_.service_, request_.requestId_, detail::RandomToken() });
  switch (ticket_.verdict_) {
    case LedgerTicket::Verdict::Forward:
      return true;
    case LedgerTicket::Verdict::AlreadySeen:
      response_.Duplicate(ticket_.state_);
      CountOutcome(Outcome::Unknown, {});
      return false;
    case LedgerTicket::Verdict::Unavailable:
      break;
  }
  response_.NotRun(NotRunReason::Ledger,
                   detail::kDefaultRetryMs,
                   "no majority of request ledger replicas is reachable");
  CountOutcome(Outcome::NotRun, EnumName(NotRunReason::Ledger));
  return false;
}

void RequestHandler::RunAttempts()
{
  while (FindTarget() && AwaitQuarantine() && AwaitAdmission()) {
    auto result = RunExchange();
    RecordAttempt(result);
    if (!HandleAttemptResult(result)) {
      return;
    }
  }
}

bool RequestHandler::FindTarget()
{
  while (true) {
    // The first attempt uses the table from ValidateAndRoute().
    if (attempts_ + parkCount_ > 0) {
      target_.table_ =
        context_.tables_.Table(request_.service_, request_.hash_);
    }
    if (!target_.table_) {
      EndNotRun(NotRunReason::NoOwner, detail::kTakeoverRetryMs, "no table");
      return false;
    }
    const auto& table = target_.table_->table_;
    target_.slice_ = &table.FindSlice(request_.hash_);
    target_.record_ = table.Server(target_.slice_->owner_);
    if (!target_.record_) {
      if (!Park(NotRunReason::NoOwner, "the key has no owner now")) {
        return false;
      }
      continue;
    }
    if (!HasViewLease()) {
      if (!Park(NotRunReason::ViewLease, "the table may be out of date")) {
        return false;
      }
      continue;
    }
    if (context_.clock_.NowMs() >= deadlineMs_) {
      EndNotRun(
        NotRunReason::Deadline, detail::kDefaultRetryMs, "deadline passed");
      return false;
    }
    target_.server_ = &context_.registry_.Server(*target_.record_);
    return true;
  }
}

bool RequestHandler::HasViewLease() const
{
  return target_.record_->checksFence_ ||
         target_.table_->viewLeaseUntilMs_.Get() >
           context_.clock_.NowMs() + detail::kMinViewLeaseMs;
}

bool RequestHandler::TryReserveParkingSlot()
{
  if (context_.parked_.fetch_add(1) < context_.maxParked_) {
    return true;
  }
  context_.parked_.fetch_sub(1);
  return false;
}

bool RequestHandler::Park(NotRunReason aReason, std::string_view aText)
{
  const TimeMs now = context_.clock_.NowMs();
  if (now >= deadlineMs_) {
    EndNotRun(aReason, detail::kTakeoverRetryMs, aText);
    return false;
  }
  if (!TryReserveParkingSlot()) {
    EndNotRun(aReason, detail::kTakeoverRetryMs, aText);
    return false;
  }
  const auto& table = target_.table_->table_;
  context_.tables_.RequestRefresh(request_.service_, request_.hash_);
  constexpr int kMaxShift = 5;
  // Renewing the view lease does not change the table version, so WaitNewer()
  // does not return early for it.
  const TimeMs step =
    aReason == NotRunReason::ViewLease
      ? detail::kViewLeasePollIntervalMs
      : std::min(detail::kMaxParkMs,
                 detail::kMinParkMs << std::min(parkCount_, kMaxShift));
  ++parkCount_;
  context_.tables_.WaitNewer(request_.service_,
                             request_.hash_,
                             table.term_,
                             table.sequence_,
                             std::min(deadlineMs_, now + step));
  context_.parked_.fetch_sub(1);
  return true;
}

bool RequestHandler::AwaitQuarantine()
{
  while (context_.quarantine_.HasSuspects()) {
    const auto decision =
      context_.quarantine_.TryBegin(fingerprint_, target_.server_->Id());
    if (decision.verdict_ == SuspectVerdict::Run) {
      isSuspect_ = true;
      return true;
    }
    if (decision.verdict_ == SuspectVerdict::Refuse) {
      EndNotRun(NotRunReason::Quarantined,
                detail::kQuarantineRetryMs,
                decision.reason_);
      return false;
    }
    const TimeMs left = deadlineMs_ - context_.clock_.NowMs();
    if (left <= 0) {
      EndNotRun(NotRunReason::Quarantined,
                detail::kTakeoverRetryMs,
                "waiting for other suspects of a crash");
      return false;
    }
    std::this_thread::sleep_for(
      std::chrono::milliseconds(std::clamp<TimeMs>(decision.waitMs_, 1, left)));
  }
  return true;
}

bool RequestHandler::AwaitAdmission()
{
  const auto admissionRules = context_.rules_.ForServer(
    request_.service_, target_.record_->failureDomain_, target_.record_->id_);
  admission_ = &target_.server_->Admission(
    *admissionRules, *target_.record_, context_.routers_);
  const auto result = admission_->Acquire(request_.hash_, deadlineMs_);
  if (result.admitted_) {
    return true;
  }
  if (isSuspect_) {
    context_.quarantine_.OnEnd(fingerprint_, target_.server_->Id(), false);
    isSuspect_ = false;
  }
  EndNotRun(NotRunReason::Overload,
            result.retryAfterMs_,
            "the backend server is at its admission limit");
  return false;
}

OutboundRequest RequestHandler::MakeOutbound() const
{
  const TimeMs now = context_.clock_.NowMs();
  OutboundRequest outbound;
  outbound.http_ = { request_.method_, request_.target_, headers_, body_ };
  outbound.requestId_ = request_.requestId_;
  outbound.fingerprint_ = fingerprint_;
  outbound.epoch_ = target_.slice_->epoch_;
  outbound.isIdempotent_ = request_.isIdempotent_;
  outbound.needsClock_ = !target_.record_->checksFence_;
  outbound.attemptDeadlineMs_ =
    request_.isIdempotent_
      ? std::min(deadlineMs_, now + rules_->attemptTimeoutMs_)
      : deadlineMs_;
  outbound.serverDeadlineMs_ =
    outbound.needsClock_
      ? std::min(deadlineMs_, target_.table_->viewLeaseUntilMs_.Get())
      : deadlineMs_;
  outbound.streamDeadlineMs_ = streamDeadlineMs_;
  outbound.streamStallTimeoutMs_ = rules_->attemptTimeoutMs_;
  return outbound;
}

ExchangeResult RequestHandler::RunExchange()
{
  ++attempts_;
  auto outbound = MakeOutbound();
  return ServerExchange(context_.clock_, *target_.server_)
    .Run(outbound, caller_);
}

void RequestHandler::RecordAttempt(const ExchangeResult& aResult)
{
  auto& server = *target_.server_;
  server.requests_.fetch_add(1, std::memory_order_relaxed);
  admission_->Release(aResult.AdmissionFeedback(), aResult.headMs_);
  switch (aResult.outcome_) {
    case ExchangeOutcome::Complete:
    case ExchangeOutcome::CallerDisconnected:
    case ExchangeOutcome::PartialAfterHead:
      server.Latency().Record(static_cast<int64_t>(aResult.headMs_ * 1000));
      context_.loadRecorder_.Record(request_.service_,
                                    target_.slice_->begin_,
                                    request_.hash_,
                                    aResult.latencyMs_);
      break;
    case ExchangeOutcome::Refused:
      server.refusals_.fetch_add(1, std::memory_order_relaxed);
      break;
    default:
      server.failures_.fetch_add(1, std::memory_order_relaxed);
  }
  if (aResult.mayBeCrash_) {
    BackendCrashDetector(context_.clock_, context_.quarantine_)
      .Check(server, aResult.incarnation_);
    server.Pool().RemoveInFlight(fingerprint_);
  }
  if (isSuspect_) {
    context_.quarantine_.OnEnd(
      fingerprint_, server.Id(), aResult.outcome_ == ExchangeOutcome::Complete);
    isSuspect_ = false;
  }
}

bool RequestHandler::HandleAttemptResult(ExchangeResult& aResult)
{
  if (aResult.outcome_ == ExchangeOutcome::Refused ||
      aResult.isConnectionRefused_) {
    return HandleRefusal(aResult);
  }
  const bool mayRetry =
    OutcomeClassifier::Decide(aResult.outcome_, request_.isIdempotent_, true) ==
      AttemptAction::Retry &&
    CanRetry();
  switch (OutcomeClassifier::Decide(
    aResult.outcome_, request_.isIdempotent_, mayRetry)) {
    case AttemptAction::Retry:
      mayHaveRun_ |= !OutcomeClassifier::IsCertainlyNotRun(aResult.outcome_);
      return true;
    case AttemptAction::Respond:
      EndComplete(aResult);
      return false;
    case AttemptAction::RespondNotRun:
      EndNotRun(aResult.reason_, detail::kDefaultRetryMs, aResult.text_);
      return false;
    case AttemptAction::RespondUnknown:
      Cancel();
      EndUnknown(aResult.outcome_ == ExchangeOutcome::TimedOut, aResult.text_);
      return false;
    case AttemptAction::CloseCaller:
    case AttemptAction::Count:
      break;
  }
  Cancel();
  EndTruncated(aResult);
  return false;
}

bool RequestHandler::HandleRefusal(const ExchangeResult& aResult)
{
  // Ownership is about to change. These retries cost the server nothing, so
  // they count neither as attempts nor against the retry budget.
  if (aResult.isConnectionRefused_) {
    --attempts_;
    return Park(NotRunReason::Unreachable, aResult.text_);
  }
  if (OutcomeClassifier::IsOwnershipRefusal(aResult.reason_)) {
    --attempts_;
    return Park(aResult.reason_, "refused by the backend server");
  }
  const bool mayRetry =
    aResult.reason_ == NotRunReason::Busy ? CanRetryShed() : CanRetry();
  if (mayRetry) {
    return true;
  }
  EndNotRun(aResult.reason_,
            aResult.reason_ == NotRunReason::Busy ? admission_->RetryAfterMs()
                                                  : detail::kDefaultRetryMs,
            "refused by the backend server");
  return false;
}

void RequestHandler::Cancel()
{
  // Called only after the last attempt. All attempts have the same request id,
  // so an earlier cancellation could cancel the attempt that replaced the
  // cancelled one.
  context_.cancellationSender_.Cancel(target_.record_->address_,
                                      request_.requestId_);
}

bool RequestHandler::CanRetry()
{
  return attempts_ < rules_->maxAttempts_ + shedCount_ &&
         context_.clock_.NowMs() < deadlineMs_ &&
         service_->TryTakeRetry(rules_->retryBudgetPercent_);
}

bool RequestHandler::CanRetryShed()
{
  // A shed attempt was not executed and lowers the admission limit, which
  // delays the next attempt. Charging the retry budget as well would refuse a
  // quarter of the requests that could be served (docs/load.md).
  ++shedCount_;
  return shedCount_ <= detail::kMaxSheds &&
         context_.clock_.NowMs() < deadlineMs_;
}

std::string_view RequestHandler::CompleteCause(int aStatus) const
{
  if (aStatus >= detail::kFirstServerError) {
    return "server-error";
  }
  return context_.clock_.NowMs() - startMs_ > rules_->latencyMs_ ? "slow" : "";
}

void RequestHandler::EndComplete(ExchangeResult& aResult)
{
  FinishLedger(LedgerEntryState::Completed);
  if (!aResult.isStreamed_) {
    response_.Complete(aResult);
  }
  CountOutcome(Outcome::Complete, CompleteCause(aResult.head_.status_));
}

void RequestHandler::EndNotRun(NotRunReason aReason,
                               TimeMs aRetryAfterMs,
                               std::string_view aText)
{
  if (mayHaveRun_) {
    EndUnknown(false, aText);
    return;
  }
  // The ledger is updated before the response is sent, so that an immediate
  // retry by the caller may be executed.
  FinishLedger(LedgerEntryState::NotRun);
  response_.NotRun(aReason, aRetryAfterMs, aText);
  CountOutcome(Outcome::NotRun, EnumName(aReason));
}

void RequestHandler::EndUnknown(bool aTimedOut, std::string_view aText)
{
  FinishLedger(LedgerEntryState::Unknown);
  response_.Unknown(aTimedOut, aText);
  CountOutcome(Outcome::Unknown, "unknown");
}

void RequestHandler::EndTruncated(const ExchangeResult& aResult)
{
  caller_.CloseAfterResponse();
  const bool callerGone =
    aResult.outcome_ == ExchangeOutcome::CallerDisconnected;
  FinishLedger(callerGone ? LedgerEntryState::Completed
                          : LedgerEntryState::Unknown);
  CountOutcome(Outcome::Unknown,
               callerGone ? std::string_view() : std::string_view("truncated"));
}

void RequestHandler::FinishLedger(LedgerEntryState aState)
{
  if (request_.isIdempotent_) {
    return;
  }
  // An unresponsive replica delays the response until its call times out.
  const TimeMs left = deadlineMs_ - context_.clock_.NowMs();
  context_.ledger_.Finish(ticket_, aState, left > detail::kLedgerWaitMs);
}

void RequestHandler::CountOutcome(Outcome aOutcome, std::string_view aCause)
{
  const auto* server = target_.server_;
  context_.slo_.Record(
    request_.service_,
    aCause,
    server ? std::string_view(server->Id()) : std::string_view(),
    server ? std::string_view(server->FailureDomain()) : std::string_view());
  context_.outcomes_[static_cast<size_t>(aOutcome)].fetch_add(
    1, std::memory_order_relaxed);
}

}

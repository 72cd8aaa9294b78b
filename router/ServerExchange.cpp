#include "ServerExchange.hpp"

#include "HeaderFilter.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace cactuspitch {

namespace detail {

/// A response body that fits is buffered, so that the attempt can be retried
/// until the response is complete. A larger one is streamed in parts of this
/// size.
constexpr size_t kBufferBytes = 64 * 1024;
/// An idle connection may have been closed by the server without the router's
/// knowledge. A non-idempotent request cannot be retried in that case, so its
/// limit is lower.
constexpr TimeMs kMaxIdleMs = 10000;
constexpr TimeMs kMaxIdleNonIdempotentMs = 1000;
constexpr TimeMs kSilenceCheckIntervalMs = 50;
/// Clock rates differ by 1% at most (docs/design.md, section 4.1).
constexpr TimeMs kSlowestClockPercent = 99;
/// For a server that does not check the fence, an older clock reading is
/// replaced, since the allowance for clock drift grows with its age.
constexpr TimeMs kMaxClockAgeMs = 2000;
constexpr size_t kMaxHealthBytes = 64 * 1024;
constexpr int kFirstFinalStatus = 200;
constexpr int kServiceUnavailable = 503;

std::vector<char>& ThreadBuffer()
{
  static thread_local std::vector<char> buffer(kBufferBytes);
  return buffer;
}

}

AttemptResult ExchangeResult::AdmissionFeedback() const
{
  switch (outcome_) {
    case ExchangeOutcome::Complete:
    case ExchangeOutcome::PartialAfterHead:
      return AttemptResult::Answered;
    case ExchangeOutcome::Refused:
      return reason_ == NotRunReason::Busy ? AttemptResult::Shed
                                           : AttemptResult::Cancelled;
    case ExchangeOutcome::CallerDisconnected:
      return AttemptResult::Cancelled;
    default:
      return AttemptResult::Failed;
  }
}

ServerExchange::ServerExchange(const Clock& aClock, BackendServer& aServer)
  : clock_(aClock)
  , server_(aServer)
{
}

ExchangeResult ServerExchange::Run(OutboundRequest& aRequest,
                                   HttpExchange& aCaller)
{
  ExchangeResult result;
  start_ = std::chrono::steady_clock::now();
  if (ConnectAndSend(aRequest, result) && ReadHead(aRequest, result)) {
    ReadResponseBody(aRequest, result, aCaller);
  }
  if (connection_) {
    result.incarnation_ = connection_->incarnation_;
    const bool answered = result.head_.status_ != 0;
    server_.Pool().Release(std::move(connection_),
                           { answered, result.mayBeCrash_ });
  }
  result.latencyMs_ = ElapsedMs();
  if (result.headMs_ == 0) {
    result.headMs_ = result.latencyMs_;
  }
  return result;
}

double ServerExchange::ElapsedMs() const
{
  const auto taken = std::chrono::steady_clock::now() - start_;
  return std::chrono::duration<double, std::milli>(taken).count();
}

bool ServerExchange::ConnectAndSend(OutboundRequest& aRequest,
                                    ExchangeResult& aResult)
{
  connection_ = server_.Pool().Acquire(aRequest.fingerprint_,
                                       aRequest.attemptDeadlineMs_,
                                       aRequest.isIdempotent_
                                         ? detail::kMaxIdleMs
                                         : detail::kMaxIdleNonIdempotentMs);
  if (!connection_) {
    aResult.reason_ = NotRunReason::Overload;
    aResult.text_ = "connection limit of the backend server is reached";
    return false;
  }
  if (!ConnectIfNew(aRequest, aResult)) {
    return false;
  }
  auto& headers = aRequest.http_.headers_;
  const auto plainHeaders = headers.size();
  headers.emplace_back(header::kSliceEpoch, std::to_string(aRequest.epoch_));
  headers.emplace_back(header::kRequestId, aRequest.requestId_);
  if (const auto deadline = ServerDeadlineMs(aRequest)) {
    headers.emplace_back(header::kDeadlineClockMs, std::to_string(*deadline));
  }
  const auto written =
    connection_->http_.Write(aRequest.http_, aRequest.attemptDeadlineMs_);
  headers.resize(plainHeaders);
  if (!written.ok()) {
    Fail(written, aResult);
  }
  return written.ok();
}

std::optional<TimeMs> ServerExchange::ServerDeadlineMs(
  const OutboundRequest& aRequest) const
{
  if (!connection_->clockKnown_) {
    const auto offset = server_.ClockOffsetMs();
    return offset ? std::optional(aRequest.serverDeadlineMs_ + *offset)
                  : std::nullopt;
  }
  // A server whose clock runs slower would reach the deadline after the view
  // lease of this router has expired.
  const auto receivedMs = connection_->clockReceivedMs_;
  const auto spanMs = aRequest.serverDeadlineMs_ - receivedMs;
  const auto shorterMs =
    aRequest.needsClock_ ? spanMs * detail::kSlowestClockPercent / 100 : spanMs;
  return receivedMs + connection_->clockOffsetMs_ + shorterMs;
}

bool ServerExchange::NeedsClockProbe(const OutboundRequest& aRequest) const
{
  if (!aRequest.needsClock_) {
    return !server_.ClockOffsetMs();
  }
  return !connection_->clockKnown_ ||
         clock_.NowMs() - connection_->clockReceivedMs_ >
           detail::kMaxClockAgeMs;
}

bool ServerExchange::ConnectIfNew(const OutboundRequest& aRequest,
                                  ExchangeResult& aResult)
{
  auto& http = connection_->http_;
  if (!http.IsOpen()) {
    const auto connected = http.Connect(aRequest.attemptDeadlineMs_);
    if (!connected.ok()) {
      aResult.isConnectionRefused_ =
        connected.code() == absl::StatusCode::kUnavailable;
      if (aResult.isConnectionRefused_) {
        server_.OnProcessExit();
      }
      Fail(connected, aResult);
      return false;
    }
  }
  // The clock is read on this connection, because another process of the
  // server may have had a clock far ahead, which would put the deadline far
  // into the future.
  if (!NeedsClockProbe(aRequest)) {
    return true;
  }
  const auto learned = ReadServerClock(aRequest.attemptDeadlineMs_);
  if (learned.ok() && (connection_->clockKnown_ || !aRequest.needsClock_)) {
    server_.Pool().RecordSend(*connection_);
    return true;
  }
  http.Close();
  aResult.text_ = Concat("clock of the backend server is unknown: ",
                         std::string(learned.message()));
  return false;
}

absl::Status ServerExchange::ReadServerClock(TimeMs aDeadlineMs)
{
  auto& http = connection_->http_;
  const HttpRequest probe{ "GET", "/_cactuspitch/health", {}, {} };
  auto status = http.Write(probe, aDeadlineMs);
  if (!status.ok()) {
    return status;
  }
  const auto head = http.ReadHead(aDeadlineMs);
  if (!head.ok()) {
    return head.status();
  }
  server_.OnResponse(*connection_, *head);
  auto& buffer = detail::ThreadBuffer();
  size_t total = 0;
  while (total <= detail::kMaxHealthBytes) {
    const auto got = http.ReadBody(buffer.data(), buffer.size(), aDeadlineMs);
    if (!got.ok()) {
      return got.status();
    }
    if (*got == 0) {
      return http.IsReusable() ? absl::OkStatus()
                               : absl::UnknownError("connection was closed");
    }
    total += *got;
  }
  return absl::DataLossError("health response is too large");
}

bool ServerExchange::ReadHead(const OutboundRequest& aRequest,
                              ExchangeResult& aResult)
{
  auto& http = connection_->http_;
  auto& pool = server_.Pool();
  const TimeMs sentMs = clock_.NowMs();
  TimeMs deadlineMs =
    std::min(aRequest.attemptDeadlineMs_, sentMs + pool.SilenceLimitMs());
  while (true) {
    auto head = http.ReadHead(deadlineMs);
    if (head.ok()) {
      server_.OnResponse(*connection_, *head);
      if (head->status_ < detail::kFirstFinalStatus) {
        continue;
      }
      aResult.head_ = *std::move(head);
      aResult.headMs_ = ElapsedMs();
      return true;
    }
    const TimeMs now = clock_.NowMs();
    if (!absl::IsDeadlineExceeded(head.status()) ||
        now >= aRequest.attemptDeadlineMs_) {
      Fail(head.status(), aResult);
      return false;
    }
    if (pool.IsSilent(*connection_)) {
      // Older connections probably use the same broken network path.
      pool.CloseIdleOpenedBefore(connection_->openedMs_);
      if (aRequest.isIdempotent_) {
        Fail(head.status(), aResult);
        return false;
      }
    }
    deadlineMs = std::min(aRequest.attemptDeadlineMs_,
                          now + detail::kSilenceCheckIntervalMs);
  }
}

void ServerExchange::ReadResponseBody(const OutboundRequest& aRequest,
                                      ExchangeResult& aResult,
                                      HttpExchange& aCaller)
{
  auto& buffer = detail::ThreadBuffer();
  size_t size = 0;
  while (size < buffer.size()) {
    const auto got = connection_->http_.ReadBody(
      buffer.data() + size, buffer.size() - size, aRequest.attemptDeadlineMs_);
    if (!got.ok()) {
      Fail(got.status(), aResult);
      return;
    }
    if (*got == 0) {
      aResult.body_ = { buffer.data(), size };
      aResult.outcome_ = ExchangeOutcome::Complete;
      CheckRefusal(aResult);
      return;
    }
    size += *got;
  }
  Stream(aRequest, aResult, aCaller, size);
}

void ServerExchange::Stream(const OutboundRequest& aRequest,
                            ExchangeResult& aResult,
                            HttpExchange& aCaller,
                            size_t aBuffered)
{
  server_.Pool().RecordResponse(*connection_);
  auto headers = HeaderFilter::ForCaller(std::move(aResult.head_.headers_));
  headers.emplace_back(header::kOutcome, EnumName(Outcome::Complete));
  const auto length = aResult.head_.contentLength_;
  aResult.isStreamed_ = true;
  bool sent = length
                ? aCaller.BeginResponse(aResult.head_.status_, headers, *length)
                : aCaller.BeginChunked(aResult.head_.status_, headers);
  auto& buffer = detail::ThreadBuffer();
  size_t size = aBuffered;
  while (sent && size > 0) {
    sent = aCaller.Write({ buffer.data(), size });
    if (!sent) {
      break;
    }
    const TimeMs partDeadlineMs =
      std::min(aRequest.streamDeadlineMs_,
               clock_.NowMs() + aRequest.streamStallTimeoutMs_);
    const auto got =
      connection_->http_.ReadBody(buffer.data(), buffer.size(), partDeadlineMs);
    if (!got.ok()) {
      aResult.outcome_ = ExchangeOutcome::PartialAfterHead;
      aResult.text_ = std::string(got.status().message());
      connection_->http_.Close();
      return;
    }
    size = *got;
  }
  if (sent && !length) {
    sent = aCaller.EndChunked();
  }
  aResult.outcome_ =
    sent ? ExchangeOutcome::Complete : ExchangeOutcome::CallerDisconnected;
  if (!sent) {
    connection_->http_.Close();
  }
}

void ServerExchange::Fail(const absl::Status& aStatus, ExchangeResult& aResult)
{
  const auto stage = connection_->http_.Stage();
  aResult.outcome_ = OutcomeClassifier::ClassifyFailure(
    stage, aStatus.code(), aResult.isStreamed_);
  aResult.text_ = std::string(aStatus.message());
  const bool wasSent = stage == ExchangeStage::Writing ||
                       stage == ExchangeStage::AwaitingHead ||
                       stage == ExchangeStage::ReadingBody;
  aResult.mayBeCrash_ = wasSent && !absl::IsDeadlineExceeded(aStatus);
  connection_->http_.Close();
}

void ServerExchange::CheckRefusal(ExchangeResult& aResult) const
{
  const auto refusal = aResult.head_.Header(header::kNotRun);
  if (aResult.head_.status_ != detail::kServiceUnavailable || refusal.empty()) {
    return;
  }
  aResult.outcome_ = ExchangeOutcome::Refused;
  aResult.reason_ =
    ParseEnum<NotRunReason>(refusal).value_or(NotRunReason::Busy);
}

}

#include "LoadWorker.hpp"

#include "ExecutionHistory.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace cactuspitch {

namespace detail {

/// A client must have its final response by the deadline plus this time
/// (requirement).
constexpr TimeMs kDeadlineToleranceMs = 100;
constexpr TimeMs kConnectTimeoutMs = 300;
constexpr int64_t kWorkerUsPerMs = 1000;
constexpr int kOk = 200;

void SleepUntilUs(int64_t aTimeUs)
{
  const int64_t left = aTimeUs - BootTimeUs();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::microseconds(left));
  }
}

/// Value of a string member of a flat JSON object; empty when absent.
std::string_view StringMember(std::string_view aJson, std::string_view aName)
{
  const auto marker = Concat("\"", aName, "\":\"");
  const auto found = aJson.find(marker);
  if (found == std::string_view::npos) {
    return {};
  }
  const auto begin = found + marker.size();
  return aJson.substr(begin, aJson.find('"', begin) - begin);
}

}

LoadWorker::LoadWorker(const Clock& aClock,
                       const LoadOptions& aOptions,
                       LoadSchedule& aSchedule,
                       const ReadinessChecker& aReadiness,
                       size_t aIndex,
                       int64_t aStartUs,
                       Observer aObserver)
  : clock_(aClock)
  , options_(aOptions)
  , schedule_(aSchedule)
  , readiness_(aReadiness)
  , target_(aIndex)
  , observer_(std::move(aObserver))
  , report_(aOptions, aStartUs)
{
}

void LoadWorker::Run()
{
  while (const auto scheduled = schedule_.Next(BootTimeUs())) {
    detail::SleepUntilUs(scheduled->dueUs_);
    auto result = Send(*scheduled);
    if (ShouldRetry(result)) {
      result.isFinal_ =
        !schedule_.ScheduleRetry(*scheduled,
                                 result.doneUs_,
                                 result.retryAfterMs_ * detail::kWorkerUsPerMs);
    }
    report_.AddResult(result);
    if (observer_) {
      observer_(result, RequestId(*scheduled));
    }
  }
}

/// A client retries a request that was not run, and an idempotent request
/// whose outcome is unknown.
bool LoadWorker::ShouldRetry(const LoadResult& aResult) const
{
  switch (aResult.outcome_) {
    case LoadOutcome::NotRun:
    case LoadOutcome::Unreachable:
      return true;
    case LoadOutcome::Unknown:
    case LoadOutcome::ConnectionLost:
    case LoadOutcome::Truncated:
      return !aResult.request_.isPost_;
    default:
      return false;
  }
}

LoadResult LoadWorker::Send(const ScheduledRequest& aScheduled)
{
  LoadResult result;
  result.request_ = aScheduled;
  const auto request = MakeRequest(aScheduled);
  const TimeMs deadline =
    clock_.NowMs() + options_.deadlineMs_ + detail::kDeadlineToleranceMs;
  result.sentUs_ = BootTimeUs();
  if (Connect(deadline)) {
    Exchange(request, deadline, result);
  }
  result.doneUs_ = BootTimeUs();
  return result;
}

bool LoadWorker::Connect(TimeMs aDeadlineMs)
{
  const size_t count = options_.targets_.size();
  if (connection_ && readiness_.IsReady(target_ % count) &&
      connection_->IsReusable()) {
    return true;
  }
  for (size_t tried = 0; tried < count; ++tried) {
    connection_ = std::make_unique<HttpConnection>(
      clock_, options_.targets_[target_ % count]);
    const TimeMs limit =
      std::min(aDeadlineMs, clock_.NowMs() + detail::kConnectTimeoutMs);
    if (readiness_.IsReady(target_ % count) &&
        connection_->Connect(limit).ok()) {
      return true;
    }
    ++target_;
  }
  return false;
}

std::string LoadWorker::RequestId(const ScheduledRequest& aScheduled) const
{
  return Concat(
    options_.idPrefix_, "-", options_.seed_, "-", aScheduled.number_);
}

HttpRequest LoadWorker::MakeRequest(const ScheduledRequest& aScheduled) const
{
  static const std::string kBody = R"({"amount":1})";
  HttpRequest request;
  request.method_ = aScheduled.isPost_ ? "POST" : "GET";
  request.target_ = Concat("/",
                           options_.services_[aScheduled.service_],
                           "/",
                           ZipfKeyDistribution::KeyName(aScheduled.key_));
  if (options_.blobBytes_ > 0) {
    request.method_ = "GET";
    AppendTo(request.target_, "/blob?bytes=", options_.blobBytes_);
  }
  request.headers_ = { { header::kRequestId, RequestId(aScheduled) },
                       { header::kDeadlineMs,
                         std::to_string(options_.deadlineMs_) } };
  if (options_.epoch_ > 0) {
    request.headers_.emplace_back(header::kSliceEpoch,
                                  std::to_string(options_.epoch_));
  }
  request.body_ = aScheduled.isPost_ ? kBody : std::string_view();
  return request;
}

void LoadWorker::Exchange(const HttpRequest& aRequest,
                          TimeMs aDeadlineMs,
                          LoadResult& aResult)
{
  const auto failAttempt = [&](LoadOutcome aOutcome) {
    aResult.outcome_ = aOutcome;
    connection_->Close();
    // The load balancer routes the client's next connection to another
    // instance.
    ++target_;
  };
  const auto written = connection_->Write(aRequest, aDeadlineMs);
  if (!written.ok()) {
    failAttempt(absl::IsDeadlineExceeded(written)
                  ? LoadOutcome::TimedOut
                  : LoadOutcome::ConnectionLost);
    return;
  }
  const auto head = connection_->ReadHead(aDeadlineMs);
  if (!head.ok()) {
    failAttempt(absl::IsDeadlineExceeded(head.status())
                  ? LoadOutcome::TimedOut
                  : LoadOutcome::ConnectionLost);
    return;
  }
  ClassifyResponse(*head, aResult);
  const auto body = CheckBody(aResult.request_, aDeadlineMs, aResult.server_);
  if (body == LoadOutcome::Truncated || body == LoadOutcome::TimedOut) {
    failAttempt(body);
  } else if (aResult.outcome_ == LoadOutcome::Complete) {
    aResult.outcome_ = body;
  }
}

void LoadWorker::ClassifyResponse(const HttpResponseHead& aHead,
                                  LoadResult& aResult) const
{
  aResult.status_ = aHead.status_;
  const auto outcome = ParseEnum<Outcome>(aHead.Header(header::kOutcome));
  const auto reason = aHead.Header(header::kNotRun);
  if (outcome == Outcome::NotRun || (!outcome && !reason.empty())) {
    aResult.outcome_ = LoadOutcome::NotRun;
    aResult.reason_ = reason.empty() ? "unnamed" : reason;
  } else if (outcome == Outcome::Complete ||
             (!outcome && aHead.status_ == detail::kOk)) {
    aResult.outcome_ = LoadOutcome::Complete;
  } else {
    aResult.outcome_ = LoadOutcome::Unknown;
  }
  aResult.hasRetryAfter_ =
    ParseNumber(aHead.Header(header::kRetryAfterMs), aResult.retryAfterMs_);
}

LoadOutcome LoadWorker::CheckBody(const ScheduledRequest& aScheduled,
                                  TimeMs aDeadlineMs,
                                  std::string& aServer)
{
  constexpr size_t kChunkBytes = 64 * 1024;
  thread_local std::string chunk(kChunkBytes, '\0');
  std::string start;
  uint64_t size = 0;
  while (true) {
    const auto got =
      connection_->ReadBody(chunk.data(), chunk.size(), aDeadlineMs);
    if (!got.ok()) {
      return absl::IsDeadlineExceeded(got.status()) ? LoadOutcome::TimedOut
                                                    : LoadOutcome::Truncated;
    }
    if (*got == 0) {
      break;
    }
    if (start.empty()) {
      start.assign(chunk, 0, std::min<size_t>(*got, 1024));
    }
    size += *got;
  }
  if (options_.blobBytes_ > 0) {
    return size == options_.blobBytes_ ? LoadOutcome::Complete
                                       : LoadOutcome::Mismatched;
  }
  aServer = detail::StringMember(start, "server");
  const bool isMatch =
    detail::StringMember(start, "id") == RequestId(aScheduled) &&
    detail::StringMember(start, "key") ==
      ZipfKeyDistribution::KeyName(aScheduled.key_);
  return isMatch ? LoadOutcome::Complete : LoadOutcome::Mismatched;
}

}

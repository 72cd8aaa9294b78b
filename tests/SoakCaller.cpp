#include "tests/SoakCaller.hpp"

#include "common/Strings.hpp"

#include <utility>

#include <absl/strings/str_cat.h>

namespace cactuspitch {

namespace {

constexpr size_t kMaxHeadBytes = 16384;
constexpr TimeMs kCallerTimeoutMs = 900; ///< sent as remaining deadline
constexpr TimeMs kOverdueMs = 1900;
constexpr int kMinGapMs = 4;
constexpr int kMaxGapMs = 40;
constexpr TimeMs kReconnectMs = 100;
/// One of so many sends is followed by an early disconnect of the caller.
constexpr int kDisconnectShare = 50;
constexpr TimeMs kDisconnectDelayMs = 15;
constexpr size_t kMaxBodyBytes = 50000;
/// Safe requests only.
constexpr int kMaxPipelined = 3;

std::string_view PathOf(SoakRequestKind aKind)
{
  static constexpr std::string_view kPaths[] = {
    "/safe/x", "/unsafe/x", "/keyed/x", "/v/", "/safe/crash",
  };
  return kPaths[static_cast<size_t>(aKind)];
}

}

SoakCaller::SoakCaller(EventLoop& aLoop,
                       SoakJournal& aJournal,
                       int aGateway,
                       const Endpoint& aAddress,
                       std::string aName,
                       uint32_t aSeed,
                       Chooser aChooser)
  : loop_(aLoop)
  , journal_(aJournal)
  , gateway_(aGateway)
  , address_(aAddress)
  , name_(std::move(aName))
  , chooser_(std::move(aChooser))
  , random_(aSeed)
  , timer_(aLoop, [this] { OnTimer(); })
  , disconnectTimer_(aLoop, [this] { OnDisconnectTimer(); })
  , parser_(HttpMessageType::Response, kMaxHeadBytes)
{
  ScheduleNextRequest();
}

void SoakCaller::ScheduleNextRequest()
{
  std::uniform_int_distribution<int> gap(kMinGapMs, kMaxGapMs);
  timer_.Start(gap(random_));
}

void SoakCaller::OnTimer()
{
  if (!waiting_.empty()) {
    // Overdue: later responses on this connection cannot arrive either.
    for (const auto& request : waiting_) {
      journal_.OnOverdue(request.id_);
    }
    EndConnection();
    timer_.Start(kReconnectMs);
    return;
  }
  if (!stopped_) {
    SendRequests();
  }
}

void SoakCaller::SendRequests()
{
  if (stream_ == nullptr || !stream_->IsOpen()) {
    stream_ = std::make_unique<TcpStream>(loop_, *this);
    parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    body_.clear();
    if (!stream_->Connect(address_)) {
      timer_.Start(kReconnectMs);
      return;
    }
  }
  SoakRequest request;
  chooser_(request);
  const bool mayPipeline = request.kind_ == SoakRequestKind::Safe;
  const int count =
    mayPipeline ? std::uniform_int_distribution<int>(1, kMaxPipelined)(random_)
                : 1;
  std::string bytes;
  for (int index = 0; index < count; ++index) {
    request.id_ = Concat(name_, "-", ++sent_);
    request.gateway_ = gateway_;
    request.sentMs_ = loop_.NowMs();
    request.deadlineMs_ = request.sentMs_ + kCallerTimeoutMs;
    SetTargetAndBody(request);
    waiting_.push_back(request);
    journal_.OnSent(request);
    bytes += ToText(request);
  }
  if (std::uniform_int_distribution<int>(1, kDisconnectShare)(random_) == 1) {
    disconnectTimer_.Start(kDisconnectDelayMs);
  }
  timer_.Start(kOverdueMs);
  stream_->Write(bytes);
}

void SoakCaller::SetTargetAndBody(SoakRequest& aRequest) const
{
  aRequest.target_ = PathOf(aRequest.kind_);
  if (aRequest.kind_ == SoakRequestKind::Probe) {
    AppendTo(aRequest.target_, aRequest.version_, "/x");
  } else if (aRequest.kind_ != SoakRequestKind::Crash) {
    // Gateways recognize retries of a caller by the target, so each request
    // gets its own.
    AppendTo(aRequest.target_, "/", aRequest.id_);
  }
  if (aRequest.kind_ == SoakRequestKind::Unsafe) {
    aRequest.body_ =
      SoakJournal::BodyForRequest(aRequest.id_).substr(0, kMaxBodyBytes);
  }
}

std::string SoakCaller::ToText(const SoakRequest& aRequest)
{
  const bool hasBody = aRequest.kind_ == SoakRequestKind::Unsafe;
  auto text = Concat(hasBody ? "POST " : "GET ",
                     aRequest.target_,
                     " HTTP/1.1\r\nHost: soak\r\nCactuspitch-Request-Id: ",
                     aRequest.id_,
                     "\r\nCactuspitch-Deadline-Remaining: ",
                     kCallerTimeoutMs,
                     "\r\n");
  if (aRequest.kind_ == SoakRequestKind::Keyed) {
    AppendTo(text, "Cactuspitch-Shard-Key: ", aRequest.key_, "\r\n");
  }
  const auto& body = aRequest.body_;
  if (!hasBody) {
    text += "\r\n";
  } else if (body.size() % 2 == 0) {
    AppendTo(text, "Content-Length: ", body.size(), "\r\n\r\n", body);
  } else {
    AppendTo(text,
             "Transfer-Encoding: chunked\r\n\r\n",
             absl::Hex(body.size()),
             "\r\n",
             body,
             "\r\n0\r\n\r\n");
  }
  return text;
}

void SoakCaller::OnDisconnectTimer()
{
  if (waiting_.empty()) {
    return;
  }
  for (const auto& request : waiting_) {
    journal_.OnCallerDisconnected(request.id_);
  }
  EndConnection();
  timer_.Start(kReconnectMs);
}

void SoakCaller::OnInput()
{
  while (stream_->IsOpen() && !stream_->Input().empty()) {
    if (waiting_.empty()) {
      journal_.OnUnexpectedResponse(gateway_);
      EndConnection();
      ScheduleNextRequest();
      return;
    }
    const auto state = parser_.Parse(stream_->Input(), body_);
    if (state == ParseState::Failed) {
      journal_.OnUnexpectedResponse(gateway_);
      EndConnection();
      timer_.Start(kReconnectMs);
      return;
    }
    if (state != ParseState::Done) {
      return;
    }
    const auto request = std::move(waiting_.front());
    waiting_.pop_front();
    journal_.OnResponse(request.id_, parser_.Head(), body_);
    const bool keepsAlive = parser_.Head().KeepsAlive();
    body_.clear();
    parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    if (!keepsAlive) {
      EndConnection();
    }
    if (waiting_.empty() || !keepsAlive) {
      ScheduleNextRequest();
    }
  }
}

void SoakCaller::EndConnection()
{
  // Gateways need not respond to pipelined requests behind a closed response.
  waiting_.clear();
  disconnectTimer_.Stop();
  if (stream_ != nullptr) {
    stream_->Close();
  }
}

void SoakCaller::OnStreamClosed(CloseReason)
{
  for (const auto& request : std::exchange(waiting_, {})) {
    journal_.OnClosed(request.id_);
  }
  timer_.Start(kReconnectMs);
}

}

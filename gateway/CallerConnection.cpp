#include "gateway/CallerConnection.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactuspitch {

namespace detail {

/// Limit of pipelined requests of one connection.
constexpr size_t kMaxPipelinedRequests = 16;
/// Bytes of further requests that are read while the pipeline is full, so that
/// a close behind them is noticed.
constexpr size_t kMaxReadAheadBytes = 65536;
/// Unsent output with which further responses wait, in buffers of a request.
constexpr size_t kMaxPendingBuffers = 2;
/// Time for the caller to read the last response and close.
constexpr TimeMs kLingerMs = 500;
/// Limits before the first configuration is known.
constexpr CallerLimits kDefaultLimits;

const CallerLimits& LimitsOf(Forwarder& aForwarder)
{
  const auto routes = aForwarder.Routes();
  return routes == nullptr ? kDefaultLimits : routes->Config().limits_;
}

}

CallerConnection::CallerConnection(CallerListener& aOwner,
                                   Forwarder& aForwarder)
  : owner_(aOwner)
  , forwarder_(aForwarder)
  , stream_(aForwarder.Loop(), *this)
  , timer_(aForwarder.Loop(), [this] { OnTimer(); })
  , pendingBytes_(aForwarder.ResponseBudget())
  , parser_(HttpMessageType::Request, detail::LimitsOf(aForwarder).headerBytes_)
{
}

void CallerConnection::Start(int aFd)
{
  stream_.Adopt(aFd);
  StartTimer();
}

void CallerConnection::Drain()
{
  if (lingering_ || disconnected_) {
    return;
  }
  if (pipeline_.empty() && !parser_.HasStarted() && stream_.Input().empty()) {
    if (stream_.PendingOutput() == 0) {
      Close();
    }
    return;
  }
  // A request whose head is on its way is read and gets a response.
  closing_ = closing_ || !IsReadingHead();
}

bool CallerConnection::IsReadingHead() const
{
  return parser_.HasStarted() && incompleteRequest_ == nullptr &&
         pipeline_.size() < detail::kMaxPipelinedRequests;
}

void CallerConnection::OnExit()
{
  const auto self = shared_from_this();
  // The last one first: the response of a request begins to be sent as soon as
  // the one before it has ended.
  const auto requests = pipeline_;
  std::for_each(requests.rbegin(),
                requests.rend(),
                [](const RequestPtr& aRequest) { aRequest->OnExit(); });
}

void CallerConnection::Close()
{
  stream_.Close();
  OnDisconnected();
}

void CallerConnection::StartTimer()
{
  const auto& limits = detail::LimitsOf(forwarder_);
  const bool inHead = parser_.HasStarted() && incompleteRequest_ == nullptr;
  writtenBytesAtStart_ = stream_.WrittenBytes();
  timer_.Start(inHead ? limits.headerTimeoutMs_ : limits.idleTimeoutMs_);
}

void CallerConnection::OnTimer()
{
  if (lingering_) {
    Close();
    return;
  }
  // Requests in progress have timeouts of their own, and a caller that reads
  // slowly receives all of its responses.
  const bool receives = stream_.PendingOutput() > 0 &&
                        stream_.WrittenBytes() != writtenBytesAtStart_;
  if (!pipeline_.empty() || receives) {
    StartTimer();
    return;
  }
  Close();
}

void CallerConnection::OnInput()
{
  const auto self = shared_from_this();
  // After a delay of this process, a request may be read together with the end
  // of its stream: the caller has given up, so the request is not forwarded.
  if (stream_.HasPeerClosed()) {
    Close();
    return;
  }
  ReadRequests();
}

void CallerConnection::ReadRequests()
{
  while (!disconnected_ && IsReading() && ReadNextRequest()) {
  }
  if (disconnected_) {
    return;
  }
  if (closing_ && incompleteRequest_ == nullptr) {
    stream_.Input().clear();
  }
  UpdateReading();
}

void CallerConnection::UpdateReading()
{
  stream_.PauseReading(!closing_ && !IsReading() &&
                       stream_.Input().size() >= detail::kMaxReadAheadBytes);
}

bool CallerConnection::IsReading() const
{
  if (incompleteRequest_ != nullptr) {
    return true;
  }
  // Requests behind a response that closes the connection get no response.
  const bool closesAfterLast =
    !pipeline_.empty() && pipeline_.back()->AnnouncedClose();
  return !closing_ && !closesAfterLast &&
         pipeline_.size() < detail::kMaxPipelinedRequests;
}

bool CallerConnection::ReadNextRequest()
{
  const bool startedBefore = parser_.HasStarted();
  std::string none;
  auto& body =
    incompleteRequest_ != nullptr ? incompleteRequest_->Body() : none;
  const auto state = parser_.Parse(stream_.Input(), body);
  if (state == ParseState::Failed) {
    RejectMalformed();
    return false;
  }
  if (parser_.HasHead() && incompleteRequest_ == nullptr) {
    BeginRequest();
    if (disconnected_) {
      return false;
    }
    incompleteRequest_->Body().append(none);
  } else if (!startedBefore && parser_.HasStarted()) {
    StartTimer();
  }
  if (incompleteRequest_ != nullptr) {
    incompleteRequest_->OnBodyRead();
  }
  if (disconnected_) {
    return false;
  }
  if (incompleteRequest_ != nullptr && incompleteRequest_->IsCompleted() &&
      state != ParseState::Done) {
    // Rejected before it was complete: the remainder is not read.
    closing_ = true;
    incompleteRequest_ = nullptr;
    WriteResponses();
    return false;
  }
  if (state != ParseState::Done) {
    return false;
  }
  const auto request = std::exchange(incompleteRequest_, nullptr);
  parser_ = HttpParser(HttpMessageType::Request,
                       detail::LimitsOf(forwarder_).headerBytes_);
  StartTimer();
  // A non-idempotent request waits until the responses before it are written:
  // one of them might close the connection, and then the caller sends the
  // request again.
  const bool isFront = !pipeline_.empty() && pipeline_.front() == request;
  request->OnRequestRead(isFront || request->IsRepeatable());
  return true;
}

void CallerConnection::BeginRequest()
{
  auto head = std::move(parser_.Head());
  const bool expectsContinue = head.HasToken("Expect", "100-continue");
  const bool keepsAlive = head.KeepsAlive();
  incompleteRequest_ =
    std::make_shared<ForwardedRequest>(forwarder_, *this, std::move(head));
  pipeline_.push_back(incompleteRequest_);
  const auto request = incompleteRequest_;
  request->Begin();
  if (disconnected_) {
    return;
  }
  if (!keepsAlive || owner_.IsDraining()) {
    closing_ = true;
  }
  if (expectsContinue && !request->IsCompleted() && pipeline_.size() == 1) {
    stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::RejectMalformed()
{
  closing_ = true;
  const int status = parser_.IsTooLarge() ? 431 : 400;
  if (incompleteRequest_ == nullptr) {
    incompleteRequest_ =
      std::make_shared<ForwardedRequest>(forwarder_, *this, HttpHead());
    pipeline_.push_back(incompleteRequest_);
  }
  const auto request = std::exchange(incompleteRequest_, nullptr);
  request->Reject(status, "malformed-request", 0);
}

bool CallerConnection::WantsClose(const ForwardedRequest& aRequest) const
{
  return (closing_ || owner_.IsDraining() || forwarder_.IsStopping()) &&
         (pipeline_.empty() || pipeline_.back().get() == &aRequest);
}

void CallerConnection::OnResponseBytes()
{
  WriteResponses();
}

void CallerConnection::WriteResponses()
{
  if (writingResponses_ || disconnected_) {
    return;
  }
  writingResponses_ = true;
  const auto self = shared_from_this();
  bool ended = false;
  while (!pipeline_.empty() && !ended) {
    const auto request = pipeline_.front();
    if (!request->Output().empty() &&
        stream_.PendingOutput() <
          detail::kMaxPendingBuffers * forwarder_.MaxBufferedBytes()) {
      const auto bytes = std::exchange(request->Output(), {});
      stream_.Write(bytes);
      pendingBytes_.Set(stream_.PendingOutput());
      request->OnOutputWritten();
    }
    if (!request->IsCompleted() || !request->Output().empty()) {
      break;
    }
    pipeline_.pop_front();
    hasResponded_ = true;
    if (request->AnnouncedClose() ||
        (closing_ && pipeline_.empty() && incompleteRequest_ == nullptr)) {
      ended = true;
      break;
    }
    AllowFirstDispatch();
  }
  writingResponses_ = false;
  if (disconnected_) {
    return;
  }
  if (ended) {
    CloseAfterOutput();
    return;
  }
  if (!stream_.Input().empty() && IsReading()) {
    forwarder_.Loop().Defer([self] { self->ReadRequests(); });
  }
  UpdateReading();
  StartTimer();
}

void CallerConnection::CloseAfterOutput()
{
  closing_ = true;
  for (auto& request : std::exchange(pipeline_, {})) {
    request->OnCallerDisconnected();
  }
  if (stream_.PendingOutput() == 0) {
    StartLingering();
  }
}

void CallerConnection::StartLingering()
{
  // Closing with unread input would reset the connection, and the caller could
  // lose the response. So the sending direction is shut down first.
  lingering_ = true;
  stream_.ShutdownOutput();
  timer_.Start(detail::kLingerMs);
}

void CallerConnection::AllowFirstDispatch()
{
  if (!pipeline_.empty()) {
    pipeline_.front()->AllowDispatch();
  }
}

void CallerConnection::OnResponseAborted()
{
  const auto self = shared_from_this();
  if (hasResponded_) {
    // A reset would drop what the caller has not received of the responses
    // before. The length of this one shows that it is not complete.
    CloseAfterOutput();
    return;
  }
  stream_.Abort();
  OnDisconnected();
}

void CallerConnection::OnOutputDrained()
{
  const auto self = shared_from_this();
  pendingBytes_.Set(0);
  if (closing_ && pipeline_.empty()) {
    StartLingering();
    return;
  }
  WriteResponses();
}

void CallerConnection::OnStreamClosed(CloseReason)
{
  OnDisconnected();
}

void CallerConnection::OnDisconnected()
{
  if (std::exchange(disconnected_, true)) {
    return;
  }
  timer_.Stop();
  const auto self = shared_from_this();
  incompleteRequest_ = nullptr;
  for (auto& request : std::exchange(pipeline_, {})) {
    request->OnCallerDisconnected();
  }
  owner_.connections_.erase(this);
  forwarder_.Loop().Defer([self] {});
}

CallerListener::CallerListener(EventLoop& aLoop, Forwarder& aForwarder)
  : forwarder_(aForwarder)
  , listener_(aLoop, [this](int aFd) {
    auto connection = std::make_shared<CallerConnection>(*this, forwarder_);
    connections_[connection.get()] = connection;
    forwarder_.Metrics().OnConnection();
    connection->Start(aFd);
  })
{
}

CallerListener::~CallerListener()
{
  auto connections = std::exchange(connections_, {});
  for (auto& [key, connection] : connections) {
    connection->Close();
  }
}

bool CallerListener::Listen(const Endpoint& aEndpoint)
{
  return listener_.Listen(aEndpoint);
}

void CallerListener::StartDraining()
{
  draining_ = true;
  auto connections = connections_;
  for (auto& [key, connection] : connections) {
    connection->Drain();
  }
}

void CallerListener::OnExit()
{
  auto connections = connections_;
  for (auto& [key, connection] : connections) {
    connection->OnExit();
  }
}

}

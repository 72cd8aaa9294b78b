#pragma once

#include "BackendServer.hpp"
#include "OutcomeClassifier.hpp"
#include "common/HttpServer.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// One attempt, ready to be sent.
struct OutboundRequest
{
  HttpRequest http_; ///< without the protocol headers
  std::string_view requestId_;
  uint64_t fingerprint_ = 0;
  Epoch epoch_ = 0;
  bool isIdempotent_ = true;
  /// The server does not check the fence, so its clock must be known.
  bool needsClock_ = false;
  /// End of the attempt, and the deadline that is sent to the server.
  TimeMs attemptDeadlineMs_ = 0;
  TimeMs serverDeadlineMs_ = 0;
  /// Bounds of an answer whose head was sent to the caller.
  TimeMs streamDeadlineMs_ = 0;
  TimeMs streamStallTimeoutMs_ = 0;
};

struct ExchangeResult
{
  ExchangeOutcome outcome_ = ExchangeOutcome::NoConnection;
  NotRunReason reason_ = NotRunReason::Unreachable;
  std::string text_;
  HttpResponseHead head_;
  /// The whole body when outcome_ is Complete and isStreamed_ is false. Valid
  /// until the next exchange of this thread.
  std::string_view body_;
  /// The caller has received the answer, or its head.
  bool isStreamed_ = false;
  /// The connection ended without an answer, which a crash can have caused.
  bool mayBeCrash_ = false;
  bool isConnectionRefused_ = false;
  uint64_t incarnation_ = 0;
  /// Time to the answer, and to its end including a slow caller.
  double headMs_ = 0;
  double latencyMs_ = 0;

  /// What the end says to the admission policy about the server.
  AttemptEnd AdmissionFeedback() const;
};

/// Runs one attempt at a backend server and hands large answers through to the
/// caller with a bounded buffer.
class ServerExchange
{
public:
  ServerExchange(const Clock& aClock, BackendServer& aServer);

  ExchangeResult Run(OutboundRequest& aRequest, HttpExchange& aCaller);

private:
  bool ConnectAndSend(OutboundRequest& aRequest, ExchangeResult& aResult);
  bool ConnectIfNew(const OutboundRequest& aRequest, ExchangeResult& aResult);
  /// Learns the clock of the process at the other end of this connection.
  /// The request's deadline in the server's clock; empty when it is unknown.
  std::optional<TimeMs> ServerDeadlineMs(const OutboundRequest& aRequest) const;
  bool NeedsClockProbe(const OutboundRequest& aRequest) const;
  absl::Status ReadServerClock(TimeMs aDeadlineMs);
  bool ReadHead(const OutboundRequest& aRequest, ExchangeResult& aResult);
  void ReadResponseBody(const OutboundRequest& aRequest,
                        ExchangeResult& aResult,
                        HttpExchange& aCaller);
  void Stream(const OutboundRequest& aRequest,
              ExchangeResult& aResult,
              HttpExchange& aCaller,
              size_t aBuffered);
  void Fail(const absl::Status& aStatus, ExchangeResult& aResult);
  double ElapsedMs() const;
  void CheckRefusal(ExchangeResult& aResult) const;

  const Clock& clock_;
  BackendServer& server_;
  std::unique_ptr<PooledConnection> connection_;
  std::chrono::steady_clock::time_point start_;
};

}

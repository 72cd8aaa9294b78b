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

/// Request of one attempt to a backend server.
struct OutboundRequest
{
  HttpRequest http_; ///< without the headers of the internal protocol
  std::string_view requestId_;
  uint64_t fingerprint_ = 0;
  Epoch epoch_ = 0;
  bool isIdempotent_ = true;
  /// The server does not check the fence, so the deadline must be sent in the
  /// time of its clock.
  bool needsClock_ = false;
  /// Local time at which the attempt ends.
  TimeMs attemptDeadlineMs_ = 0;
  /// Deadline that is sent to the server, in local time.
  TimeMs serverDeadlineMs_ = 0;
  /// Limits for a response whose head was sent to the caller: its end, and the
  /// longest time without progress.
  TimeMs streamDeadlineMs_ = 0;
  TimeMs streamStallTimeoutMs_ = 0;
};

struct ExchangeResult
{
  ExchangeOutcome outcome_ = ExchangeOutcome::NoConnection;
  NotRunReason reason_ = NotRunReason::Unreachable;
  std::string text_;
  HttpResponseHead head_;
  /// Whole body when outcome_ is Complete and isStreamed_ is false. Valid until
  /// the next exchange of this thread.
  std::string_view body_;
  /// At least the response head was sent to the caller.
  bool isStreamed_ = false;
  /// The connection failed after the request was sent, possibly by a crash.
  bool mayBeCrash_ = false;
  bool isConnectionRefused_ = false;
  /// Hash of the incarnation that was reached; 0 when unknown.
  uint64_t incarnation_ = 0;
  /// Time to the response head, and to the end of the response, which includes
  /// waiting for a slow caller.
  double headMs_ = 0;
  double latencyMs_ = 0;

  /// Result of the attempt for the admission policy.
  AttemptResult AdmissionFeedback() const;
};

/// Executes one attempt at a backend server. Streams large responses to the
/// caller through a bounded buffer.
class ServerExchange
{
public:
  ServerExchange(const Clock& aClock, BackendServer& aServer);

  ExchangeResult Run(OutboundRequest& aRequest, HttpExchange& aCaller);

private:
  bool ConnectAndSend(OutboundRequest& aRequest, ExchangeResult& aResult);
  bool ConnectIfNew(const OutboundRequest& aRequest, ExchangeResult& aResult);
  /// Deadline of the request in the time of the server's clock; empty when its
  /// offset is unknown.
  std::optional<TimeMs> ServerDeadlineMs(const OutboundRequest& aRequest) const;
  bool NeedsClockProbe(const OutboundRequest& aRequest) const;
  /// Reads the clock of the process at the other end of this connection with a
  /// health request.
  absl::Status ReadServerClock(TimeMs aDeadlineMs);
  /// Skips interim responses. Fails early on an unresponsive connection when
  /// the request is idempotent.
  bool ReadHead(const OutboundRequest& aRequest, ExchangeResult& aResult);
  void ReadResponseBody(const OutboundRequest& aRequest,
                        ExchangeResult& aResult,
                        HttpExchange& aCaller);
  void Stream(const OutboundRequest& aRequest,
              ExchangeResult& aResult,
              HttpExchange& aCaller,
              size_t aBuffered);
  /// Classifies the failure in aResult and closes the connection.
  void Fail(const absl::Status& aStatus, ExchangeResult& aResult);
  double ElapsedMs() const;
  /// Sets the outcome to Refused when the server reports that it did not
  /// execute the request.
  void CheckRefusal(ExchangeResult& aResult) const;

  const Clock& clock_;
  BackendServer& server_;
  std::unique_ptr<PooledConnection> connection_;
  std::chrono::steady_clock::time_point start_;
};

}

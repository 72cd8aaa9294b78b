#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/Forwarder.hpp"
#include "gateway/PlatformInterface.hpp"
#include "net/HttpParser.hpp"
#include "routing/RouteTable.hpp"

#include <memory>
#include <set>
#include <string>

namespace cactuspitch {

class ForwardedRequest;

/// Receives the response of a request, on the caller's side.
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;
  /// Bytes were added to the request's output.
  virtual void OnResponseBytes() = 0;
  /// The response was cut off after a part of it was taken, so the caller's
  /// connection must be closed.
  virtual void OnResponseAborted() = 0;
  /// True when the response of aRequest should announce that the connection
  /// closes.
  virtual bool WantsClose(const ForwardedRequest& aRequest) const = 0;
};

/// One request of a caller, from its head to its final response. It is read,
/// then queued or sent to one backend server after another, and gets exactly
/// one response.
class ForwardedRequest final
  : public AttemptHandler
  , public std::enable_shared_from_this<ForwardedRequest>
{
public:
  ForwardedRequest(Forwarder& aForwarder, ResponseSink& aSink, HttpHead aHead);
  ~ForwardedRequest() override;

  /// Validates the head and finds the route. Responds at once where no backend
  /// server is needed.
  void Begin();
  std::string& Body() { return body_->text_; }
  /// Rejects the request if its body has grown beyond a limit.
  void OnBodyRead();
  /// The whole request was read. Dispatches it if aMayDispatch, else waits for
  /// AllowDispatch.
  void OnRequestRead(bool aMayDispatch);
  /// Dispatches a request that was held back.
  void AllowDispatch();
  /// The caller closed its connection.
  void OnCallerDisconnected();
  /// Dispatches a queued request again.
  void Redispatch();
  /// The output was moved to the caller's connection.
  void OnOutputWritten();
  /// Responds with an error of the gateway itself. aRetryAfterMs applies to
  /// status 503, and to 502 if it isn't 0.
  void Reject(int aStatus, std::string_view aCause, TimeMs aRetryAfterMs);

  std::string& Output() { return output_; }
  bool IsCompleted() const { return completed_; }
  /// Rejects the request if it is queued.
  void RejectQueued(std::string_view aCause);
  /// Ends the request because the process exits.
  void OnExit();
  bool AnnouncedClose() const { return announcedClose_; }
  bool IsRepeatable() const { return IsIdempotent(); }
  bool IsQueued() const { return queued_; }

  const Route* GetRoute() const { return route_; }
  const std::string& Service() const { return service_; }
  const RequestMetadata& Caller() const { return caller_; }
  const std::set<std::string>& TriedBackends() const { return triedBackends_; }
  TimeMs RemainingMs() const;
  /// Time in which an attempt can complete: until the deadline, or until the
  /// process exits.
  TimeMs UsableMs() const;
  TimeMs ElapsedMs() const;
  size_t BodyBytes() const { return body_->text_.size(); }
  uint64_t Fingerprint() const { return fingerprint_; }
  /// Distinguishes the requests of this process.
  uint64_t Number() const { return number_; }
  /// Whether the request is within this gateway's share of an overloaded
  /// owner.
  bool IsAdmitted() const { return admitted_; }
  void SetAdmitted() { admitted_ = true; }

private:
  bool OnResponseHead(const HttpHead& aHead,
                      const ResponseMetadata& aInfo) override;
  void OnResponseBody(std::string& aBody) override;
  void OnResponseDone() override;
  void OnAttemptFailed(AttemptFailure aFailure,
                       std::string_view aCause) override;

  bool IsIdempotent() const;
  /// Rejects a request for which no further attempt can be made, with 503 only
  /// if no earlier one may have been executed.
  void RejectUnserved(std::string_view aCause, TimeMs aRetryAfterMs);
  void Dispatch();
  void SendTo(const BackendChoice& aChoice);
  /// Returns false when the crash quarantine has queued or rejected the
  /// request.
  bool PassesQuarantine(const SuspectDecision& aDecision);
  std::string MakeRequestHead(const Backend& aBackend) const;
  void OnNotExecuted();
  /// An attempt may have been executed but gave no valid response.
  void OnOutcomeUnknown(std::string_view aCause);
  /// Schedules another attempt; returns false when none is allowed.
  /// aUsesBudget: the attempt counts against the retry budget.
  bool TryRetry(std::string_view aCause, bool aUsesBudget);
  void OnDeadline();
  /// Makes room for a body of that size, or rejects the request.
  void ReserveBody(size_t aBytes);
  /// Takes back a response that cannot be completed, so that another one can be
  /// sent. Returns false if a part of it was moved to the caller's connection.
  bool WithdrawResponse();
  /// Ends a response that cannot be completed or taken back.
  void AbortResponse(std::string_view aCause);
  void StartResponse(bool aComplete);
  void FinishResponse();
  /// Reports the size of the buffered response to the budget.
  void UpdateBufferedBytes();
  void PauseIfOutputIsLarge();
  /// Limit of the output, beyond which the server is not read.
  size_t MaxOutputBytes() const;
  void LogCompletion(int aStatus,
                     std::string_view aCause,
                     std::string_view aBackend);

  Forwarder& forwarder_;
  ResponseSink* sink_;
  HttpHead head_;
  std::shared_ptr<RequestBody> body_;
  std::string output_;
  ByteShare bufferedBytes_;            ///< of responseBody_ and output_
  std::shared_ptr<RouteTable> routes_; ///< keeps route_ alive
  const Route* route_ = nullptr;
  std::string service_;
  RequestMetadata caller_;
  uint64_t number_;
  uint64_t fingerprint_ = 0;
  TimeMs receivedMs_;
  TimeMs deadlineMs_ = 0;
  Timer deadlineTimer_;
  std::shared_ptr<BackendConnection> connection_;
  std::set<std::string> triedBackends_;
  std::string lastBackend_;
  int attempts_ = 0;
  /// Attempts whose connection failed before the request was sent.
  int unsentAttempts_ = 0;
  bool begun_ = false;
  bool requestRead_ = false;
  bool dispatched_ = false;
  bool admitted_ = false;
  bool mayHaveExecuted_ = false; ///< an attempt may have been executed
  bool queued_ = false;
  bool completed_ = false;
  bool announcedClose_ = false;
  HttpHead responseHead_;
  ResponseMetadata responseInfo_;
  std::string responseBody_;
  bool headWritten_ = false; ///< the output has the head of a response
  bool outputTaken_ = false; ///< a part of it was moved to the connection
  /// The response of the attempt must not reach the caller.
  bool discardResponse_ = false;
};

}

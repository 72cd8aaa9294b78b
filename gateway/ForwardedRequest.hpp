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

/// Takes the answer of a request, on the caller's side.
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;
  /// Bytes were added to the request's output.
  virtual void OnResponseBytes() = 0;
  /// The answer broke off after its head was sent: the connection must end.
  virtual void OnResponseAborted() = 0;
  /// True when the answer of aRequest should announce the end of the
  /// connection.
  virtual bool WantsClose(const ForwardedRequest& aRequest) const = 0;
};

/// One request of a caller, from its head to its final answer. It is read,
/// then parked or sent to backend servers one after the other, and answered
/// exactly once.
class ForwardedRequest final
  : public AttemptHandler
  , public std::enable_shared_from_this<ForwardedRequest>
{
public:
  ForwardedRequest(Forwarder& aForwarder, ResponseSink& aSink, HttpHead aHead);
  ~ForwardedRequest() override;

  /// Checks the head; answers at once where no backend server is needed.
  void Begin();
  std::string& Body() { return body_; }
  /// The whole request was read. Dispatches unless it is held back.
  void OnRequestRead(bool aMayDispatch);
  /// A held back request may run now.
  void AllowDispatch();
  /// The caller has left.
  void OnCallerDisconnected();
  /// Looks again for a backend server.
  void Redispatch();
  /// The caller took some of the output.
  void OnOutputWritten();
  /// Answers with an error of the gateway's own.
  void Reject(int aStatus, std::string_view aCause, TimeMs aRetryAfterMs);

  std::string& Output() { return output_; }
  bool IsCompleted() const { return completed_; }
  /// Ends a request that waits, if it still does.
  void RejectQueued(std::string_view aCause);
  bool AnnouncedClose() const { return announcedClose_; }
  bool IsRepeatable() const { return IsIdempotent(); }
  bool IsQueued() const { return queued_; }

  const Route* GetRoute() const { return route_; }
  const std::string& Service() const { return service_; }
  const RequestMetadata& Caller() const { return caller_; }
  const std::set<std::string>& TriedBackends() const { return triedBackends_; }
  TimeMs RemainingMs() const;
  TimeMs ElapsedMs() const;
  size_t BodyBytes() const { return body_.size(); }
  uint64_t Fingerprint() const { return fingerprint_; }

private:
  void OnResponseHead(const HttpHead& aHead,
                      const ResponseMetadata& aInfo) override;
  void OnResponseBody(std::string& aBody) override;
  void OnResponseDone() override;
  void OnAttemptFailed(AttemptFailure aFailure,
                       std::string_view aCause) override;

  bool IsIdempotent() const;
  void Dispatch();
  void SendTo(const BackendChoice& aChoice);
  /// False when a request that crashes servers must wait or was refused.
  bool PassesQuarantine(const SuspectDecision& aDecision);
  std::string MakeRequestHead(const Backend& aBackend) const;
  void OnNotExecuted();
  /// An attempt may have run and gave no usable answer.
  void OnOutcomeUnknown(std::string_view aCause);
  /// aUsesBudget: the next attempt draws on the retry budget.
  bool TryRetry(std::string_view aCause, bool aUsesBudget);
  void OnDeadline();
  void StartResponse(bool aComplete);
  void FinishResponse();
  void LogCompletion(int aStatus,
                     std::string_view aCause,
                     std::string_view aBackend);

  Forwarder& forwarder_;
  ResponseSink* sink_;
  HttpHead head_;
  std::string body_;
  std::string output_;
  std::shared_ptr<RouteTable> routes_; ///< keeps route_ alive
  const Route* route_ = nullptr;
  std::string service_;
  RequestMetadata caller_;
  uint64_t fingerprint_ = 0;
  TimeMs receivedMs_;
  TimeMs deadlineMs_ = 0;
  Timer deadlineTimer_;
  std::shared_ptr<BackendConnection> connection_;
  std::set<std::string> triedBackends_;
  std::string lastBackend_;
  int attempts_ = 0;
  int unsentAttempts_ = 0; ///< connections that ended before the request
  bool begun_ = false;
  bool requestRead_ = false;
  bool dispatched_ = false;
  bool mayHaveExecuted_ = false; ///< an attempt may have run
  bool queued_ = false;
  bool completed_ = false;
  bool announcedClose_ = false;
  HttpHead responseHead_;
  ResponseMetadata responseInfo_;
  std::string responseBody_;
  bool headWritten_ = false;
  bool discardResponse_ = false; ///< the attempt's answer is not for the caller
};

}

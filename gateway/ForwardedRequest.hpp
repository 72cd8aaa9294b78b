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
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;
  /// Bytes were added to the request's output.
  virtual void OnAnswerBytes() = 0;
  /// The answer broke off after its head was sent: the connection must end.
  virtual void OnAnswerBroken() = 0;
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
  ForwardedRequest(Forwarder& aForwarder, AnswerSink& aSink, HttpHead aHead);
  ~ForwardedRequest() override;

  /// Checks the head; answers at once where no backend server is needed.
  void Begin();
  std::string& Body() { return body_; }
  /// The whole request was read. Dispatches unless it is held back.
  void OnRead(bool aMayDispatch);
  /// A held back request may run now.
  void AllowDispatch();
  /// The caller has left.
  void OnCallerGone();
  /// Looks again for a backend server.
  void Redispatch();
  /// The caller took some of the output.
  void OnOutputTaken();
  /// Answers with an error of the gateway's own.
  void Reject(int aStatus, std::string_view aCause, TimeMs aRetryAfterMs);

  std::string& Output() { return output_; }
  bool IsAnswered() const { return answered_; }
  /// Ends a request that waits, if it still does.
  void RefuseParked(std::string_view aCause);
  bool AnnouncedClose() const { return announcedClose_; }
  bool IsRepeatable() const { return IsIdempotent(); }
  bool IsParked() const { return parked_; }

  const Route* GetRoute() const { return route_; }
  const std::string& Service() const { return service_; }
  const RequestMetadata& Caller() const { return caller_; }
  const std::set<std::string>& Tried() const { return tried_; }
  TimeMs RemainingMs() const;
  TimeMs HeldMs() const;
  size_t BodyBytes() const { return body_.size(); }
  uint64_t Fingerprint() const { return fingerprint_; }

private:
  void OnAnswerHead(const HttpHead& aHead,
                    const ResponseMetadata& aInfo) override;
  void OnAnswerBody(std::string& aBody) override;
  void OnAnswerDone() override;
  void OnAttemptFailed(AttemptEnd aEnd, std::string_view aCause) override;

  bool IsIdempotent() const;
  void Dispatch();
  void SendTo(const Choice& aChoice);
  /// False when a request that crashes servers must wait or was refused.
  bool MayRunOn(const SuspectDecision& aDecision);
  std::string RequestHead(const Backend& aBackend) const;
  void OnNotRun();
  /// An attempt may have run and gave no usable answer.
  void OnUncertain(std::string_view aCause);
  /// aCounts: the next attempt draws on the retry budget.
  bool TryAgain(std::string_view aCause, bool aCounts);
  void OnFinalTimer();
  void StartAnswer(bool aComplete);
  void FinishAnswer();
  void LogEnd(int aStatus, std::string_view aCause, std::string_view aBackend);

  Forwarder& forwarder_;
  AnswerSink* sink_;
  HttpHead head_;
  std::string body_;
  std::string output_;
  std::shared_ptr<RouteTable> routes_; ///< keeps route_ alive
  const Route* route_ = nullptr;
  std::string service_;
  RequestMetadata caller_;
  uint64_t fingerprint_ = 0;
  TimeMs readMs_;
  TimeMs finalMs_ = 0;
  Timer finalTimer_;
  std::shared_ptr<BackendLink> link_;
  std::set<std::string> tried_;
  std::string lastBackend_;
  int attempts_ = 0;
  int unsentAttempts_ = 0; ///< connections that ended before the request
  bool begun_ = false;
  bool read_ = false;
  bool dispatched_ = false;
  bool sent_ = false; ///< an attempt may have run
  bool parked_ = false;
  bool answered_ = false;
  bool announcedClose_ = false;
  HttpHead answerHead_;
  ResponseMetadata answerInfo_;
  std::string answerBody_;
  bool headWritten_ = false;
  bool discard_ = false; ///< the attempt's answer is not for the caller
};

}

#pragma once

#include "gateway/BackendLoad.hpp"
#include "gateway/RequestBody.hpp"
#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"
#include "policy/ServerPause.hpp"
#include "routing/RoutingConfig.hpp"
#include "scheduling/SlotMessages.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

enum class AttemptFailure : uint8_t
{
  NotSent,       ///< the server received no part of the request
  MaybeExecuted, ///< sent, but no valid response arrived
  Count
};

template<>
struct EnumNames<AttemptFailure>
{
  /// Label values of the metric cactuspitch_attempts_total.
  static constexpr std::string_view kNames[] = { "not-sent", "maybe-run" };
};

/// Outcome of an attempt at its server, as far as the connection shows it.
enum class AttemptOutcome : uint8_t
{
  Succeeded,      ///< executed, with a valid response below status 500
  NotExecuted,    ///< rejected by the server, or never received by it
  ConnectionLost, ///< the server closed the connection during the attempt
  Cancelled,      ///< this gateway closed the connection during the attempt
  Other,          ///< a server error, or bytes that are not a valid response
  Count
};

template<>
struct EnumNames<AttemptOutcome>
{
  static constexpr std::string_view kNames[] = { "ran-well",
                                                 "not-run",
                                                 "broken",
                                                 "abandoned",
                                                 "other" };
};

/// Data about an attempt that policy/CrashQuarantine needs at its end.
struct AttemptCrashInfo
{
  uint64_t fingerprint_ = 0;
  /// Crashes attributed to the request when the attempt began.
  int knownCrashes_ = 0;
};

/// What an attempt showed about its server, for the scheduling of its slots.
struct AttemptReport
{
  SlotOutcome outcome_ = SlotOutcome::Unused;
  TimeMs latencyMs_ = 0;
  std::optional<SlotLoad> load_;
};

/// Receives the response of one attempt.
class AttemptHandler
{
public:
  virtual ~AttemptHandler() = default;
  /// Returns false if the body is not needed.
  virtual bool OnResponseHead(const HttpHead& aHead,
                              const ResponseMetadata& aInfo) = 0;
  /// Must consume aBody and leave it empty.
  virtual void OnResponseBody(std::string& aBody) = 0;
  /// The response is complete, or the rest of a body that is not needed was
  /// dropped.
  virtual void OnResponseDone() = 0;
  /// The attempt ended without a complete response.
  virtual void OnAttemptFailed(AttemptFailure aFailure,
                               std::string_view aCause) = 0;
};

class BackendPool;
struct Backend;

/// Connection to a backend server that carries one request at a time.
class BackendConnection final
  : public StreamHandler
  , public std::enable_shared_from_this<BackendConnection>
{
public:
  BackendConnection(BackendPool& aPool, std::shared_ptr<Backend> aBackend);

  /// Starts an attempt. On a new connection the request is sent only after a
  /// short delay, because a server with too many connections resets a new one
  /// at once, and a request that was already sent by then may have been
  /// executed. aHandler must stay valid until the attempt has ended, or until
  /// Detach or Cancel. aSlot is the slot that the attempt uses, or 0.
  void Start(AttemptHandler& aHandler,
             AttemptCrashInfo aCrashInfo,
             std::string aHead,
             std::shared_ptr<const RequestBody> aBody,
             std::string aRequestId,
             bool aExpectsBody,
             int64_t aSlot);
  /// Resets the connection, so that the server cancels the request.
  /// aSlotOutcome: what this says about the server.
  void Cancel(SlotOutcome aSlotOutcome = SlotOutcome::Unused);
  /// Lets the request complete within aMaxMs and discards its response.
  void Detach(TimeMs aMaxMs);
  void PauseReading(bool aPaused);
  bool IsConnected() const { return stream_.IsConnected(); }
  Backend& GetBackend() { return *backend_; }

private:
  friend class BackendPool;

  void OnConnected() override;
  void OnInput() override;
  void OnOutputDrained() override { SendBody(); }
  void OnStreamClosed(CloseReason aReason) override;
  void OnTimer();
  void SendRequest();
  /// Passes as much of a large body to the stream as it may buffer.
  void SendBody();
  HttpParser NewParser() const;
  void ReadResponses();
  bool HandleHead();
  /// Ends an attempt whose server sends too much that is not needed.
  void DropUnneeded();
  void FinishResponse(bool aReusable);
  /// Ends the attempt without a response. When aFailure is NotSent, the outcome
  /// is NotExecuted, else aOutcome.
  void Fail(AttemptFailure aFailure,
            std::string_view aCause,
            AttemptOutcome aOutcome = AttemptOutcome::Other);
  void EndAttempt(AttemptOutcome aOutcome);
  /// Gives the slot of the attempt back, if it still has one.
  void FreeSlot(SlotOutcome aOutcome);
  SlotOutcome SlotOutcomeOf(AttemptOutcome aOutcome) const;
  /// Handles what the response says about the server itself: that it leaves, or
  /// asks for a pause.
  void HandleNotices(const ResponseMetadata& aInfo);

  BackendPool& pool_;
  std::shared_ptr<Backend> backend_;
  TcpStream stream_;
  Timer timer_;
  Timer detachedTimer_; ///< ends a request whose caller has left
  HttpParser parser_;
  std::string body_;
  AttemptHandler* handler_ = nullptr;
  AttemptCrashInfo crashInfo_;
  /// The response head shows that the request succeeded.
  bool succeeded_ = false;
  /// The server reported that it did not execute the request.
  bool refused_ = false;
  bool ambiguous_ = false; ///< see ResponseMetadata
  bool busy_ = false;
  bool headReceived_ = false;
  bool bodyNeeded_ = false;
  size_t unneededBytes_ = 0; ///< dropped during the current attempt
  /// Reading a response that does not belong to the current request.
  bool skippingResponse_ = false;
  int skippedResponses_ = 0; ///< responses skipped during the current attempt
  bool responseKeepsAlive_ = false;
  bool expectsBody_ = true;
  std::string requestId_;
  /// Head, with a small body, that is sent after kNewConnectionDelayMs.
  std::string unsentRequest_;
  /// Large body that is not yet passed to the stream as a whole.
  std::shared_ptr<const RequestBody> unsentBody_;
  size_t bodyOffset_ = 0;
  uint64_t writtenBytesAtStart_ = 0;
  uint64_t requestBytes_ = 0;
  TimeMs sentMs_ = 0;
  TimeMs idleSinceMs_ = 0;
  TimeMs idleTimeoutMs_ = 0;
  double loadAtSend_ = 0;
  int64_t slot_ = 0; ///< slot that the current attempt uses, 0 if none
  bool connectFailed_ = false;
  std::optional<SlotLoad> reportedLoad_; ///< by the current attempt
};

/// State of one backend server at this gateway.
struct Backend
{
  BackendEntry entry_;
  Endpoint endpoint_;
  BackendLoad load_;
  std::vector<std::shared_ptr<BackendConnection>> idle_;
  std::vector<std::shared_ptr<BackendConnection>> busy_;
  uint32_t idHash_ = 0; ///< identifies the server in messages between gateways
  uint32_t incarnationHash_ = 0; ///< the same for its incarnation
  /// Reported its load since the last TakeLoadReports.
  bool hasNewReport_ = false;
  bool preferred_ = false; ///< preferred by this gateway
  bool registered_ = true; ///< false once the registration was removed
  /// A server that started later is registered at the same address.
  bool superseded_ = false;
  /// After a failed connect, no requests are sent until this time.
  TimeMs downUntilMs_ = 0;
  int connectFailures_ = 0;

  ServerPause pause_;
  bool malformedPauseLogged_ = false;
  bool malformedLimitLogged_ = false;
  bool malformedLoadLogged_ = false;
  bool malformedColdTimeLogged_ = false;
  /// Until then the server is slow and bears few requests.
  TimeMs coldUntilMs_ = 0;
  bool evacuated_ = false; ///< its failure domain is to get no requests

  bool IsCold(TimeMs aNowMs) const { return coldUntilMs_ > aNowMs; }
  bool IsUsable() const
  {
    return registered_ && !superseded_ && !evacuated_ && entry_.TakesNewWork();
  }
  bool TakesRequests(TimeMs aNowMs) const
  {
    return IsUsable() && !pause_.IsActive(aNowMs);
  }
  /// True when a connection is established, so the server process is running.
  bool HasOpenConnection() const;
  size_t Connections() const { return idle_.size() + busy_.size(); }
};

}

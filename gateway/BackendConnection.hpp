#pragma once

#include "gateway/BackendLoad.hpp"
#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"
#include "policy/ServerPause.hpp"
#include "routing/RoutingConfig.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

enum class AttemptFailure : uint8_t
{
  NotSent,       ///< certainly nothing of the request arrived
  MaybeExecuted, ///< sent, but no usable answer came
  Count
};

template<>
struct EnumNames<AttemptFailure>
{
  static constexpr std::string_view kNames[] = { "not-sent", "maybe-run" };
};

/// How the server dealt with an attempt, as far as its connection tells.
enum class AttemptOutcome : uint8_t
{
  Succeeded,      ///< ran to a good end
  NotExecuted,    ///< refused, or certainly nothing of it arrived
  ConnectionLost, ///< the server ended the connection under it
  Cancelled,      ///< this gateway ended the connection under it
  Other,          ///< a failure of the server, or bytes that are no answer
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

/// What an attempt carries for policy/CrashQuarantine.
struct AttemptCrashInfo
{
  uint64_t fingerprint_ = 0;
  int knownCrashes_ = 0; ///< of the request, when the attempt began
};

/// Receives the answer of one attempt.
class AttemptHandler
{
public:
  virtual ~AttemptHandler() = default;
  virtual void OnResponseHead(const HttpHead& aHead,
                              const ResponseMetadata& aInfo) = 0;
  /// Takes the bytes out of aBody.
  virtual void OnResponseBody(std::string& aBody) = 0;
  virtual void OnResponseDone() = 0;
  /// No complete answer comes any more.
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

  /// Starts an attempt. A new connection is left alone for a moment before it
  /// carries the request, because a server that has too many resets it at once;
  /// a request that was sent by then may have run.
  /// aHandler stays valid until it was told of an end, or
  /// until Detach or Cancel.
  void Start(AttemptHandler& aHandler,
             AttemptCrashInfo aTag,
             std::string aHead,
             std::string_view aBody,
             std::string aRequestId,
             bool aExpectsBody);
  /// Closes the connection, so that the server drops the request.
  void Cancel();
  /// Lets the request run to its end without anybody listening.
  void Detach();
  void PauseReading(bool aPaused);
  bool IsConnected() const { return stream_.IsConnected(); }
  Backend& GetBackend() { return *backend_; }

private:
  friend class BackendPool;

  void OnConnected() override;
  void OnInput() override;
  void OnStreamClosed(CloseReason aReason) override;
  void OnTimer();
  void SendRequest();
  void ReadResponses();
  bool HandleHead();
  void FinishResponse(bool aReusable);
  /// aOutcome is Other unless the end is known to be another one.
  void Fail(AttemptFailure aFailure,
            std::string_view aCause,
            AttemptOutcome aOutcome = AttemptOutcome::Other);
  void EndAttempt(AttemptOutcome aOutcome);
  /// What the server says about itself besides the answer.
  void HandleNotices(const ResponseMetadata& aInfo);

  BackendPool& pool_;
  std::shared_ptr<Backend> backend_;
  TcpStream stream_;
  Timer timer_;
  HttpParser parser_;
  std::string body_;
  AttemptHandler* handler_ = nullptr;
  AttemptCrashInfo crashInfo_;
  bool succeeded_ = false; ///< the answer's head tells so
  bool refused_ = false;   ///< as not run
  bool busy_ = false;
  bool headReceived_ = false;
  bool skippingResponse_ =
    false;                   ///< reads an answer that belongs to no request
  int skippedResponses_ = 0; ///< such answers for the present request
  bool responseKeepsAlive_ = false;
  bool expectsBody_ = true;
  std::string requestId_;
  std::string
    unsentRequest_; ///< request that waits for the connection to settle
  uint64_t writtenBytesAtStart_ = 0;
  uint64_t requestBytes_ = 0;
  TimeMs sentMs_ = 0;
  TimeMs idleSinceMs_ = 0;
  TimeMs idleTimeoutMs_ = 0;
  double loadAtSend_ = 0;
};

/// One backend server as this gateway uses it.
struct Backend
{
  BackendEntry entry_;
  Endpoint endpoint_;
  BackendLoad load_;
  std::vector<std::shared_ptr<BackendConnection>> idle_;
  std::vector<std::shared_ptr<BackendConnection>> busy_;
  uint32_t idHash_ = 0;       ///< names the server among gateways
  bool hasNewReport_ = false; ///< told its load since the last TakeLoadReports
  bool preferred_ = false;    ///< preferred by this gateway
  bool registered_ = true;    ///< false once the registration is gone
  /// A later life of a server has its address.
  bool superseded_ = false;
  /// Connecting fails: no requests until then, when one may try again.
  TimeMs downUntilMs_ = 0;
  int connectFailures_ = 0;

  ServerPause pause_;
  bool malformedPauseLogged_ = false;

  bool IsUsable() const
  {
    return registered_ && !superseded_ && entry_.TakesNewWork();
  }
  bool TakesRequests(TimeMs aNowMs) const
  {
    return IsUsable() && !pause_.IsActive(aNowMs);
  }
  /// A connection is open, so the server has not ended.
  bool HasOpenConnection() const;
  size_t Connections() const { return idle_.size() + busy_.size(); }
};

}

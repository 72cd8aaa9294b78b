#pragma once

#include "gateway/ForwardedRequest.hpp"
#include "gateway/Forwarder.hpp"
#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"

#include <deque>
#include <memory>

namespace cactuspitch {

class CallerServer;

/// Connection of a caller. Requests may be pipelined; answers leave in the
/// order of the requests.
class CallerStream final
  : public StreamHandler
  , public AnswerSink
  , public std::enable_shared_from_this<CallerStream>
{
public:
  CallerStream(CallerServer& aServer, Forwarder& aForwarder);

  void Start(int aFd);
  /// Reads no further requests and closes after the answers to those that were
  /// read.
  void Finish();
  void Close();

private:
  using RequestPtr = std::shared_ptr<ForwardedRequest>;

  void OnInput() override;
  void OnOutputDrained() override;
  void OnStreamClosed(CloseReason aReason) override;
  void OnAnswerBytes() override;
  void OnAnswerBroken() override;
  bool WantsClose(const ForwardedRequest& aRequest) const override;

  void ReadRequests();
  bool ReadOne();
  void BeginRequest();
  void RefuseMalformed();
  bool IsReading() const;
  void UpdateReading();
  void PumpAnswers();
  void FinishOutput();
  void AllowFront();
  void OnTimer();
  void StartTimer();
  void Leave();

  CallerServer& server_;
  Forwarder& forwarder_;
  TcpStream stream_;
  Timer timer_;
  HttpParser parser_;
  RequestPtr reading_; ///< its body is still to come
  std::deque<RequestPtr> pipeline_;
  bool closing_ = false;   ///< reads no further requests
  bool finishing_ = false; ///< all output is written, waits for the caller
  bool pumping_ = false;
  bool left_ = false;
};

/// Accepts the connections of callers.
class CallerServer
{
public:
  CallerServer(EventLoop& aLoop, Forwarder& aForwarder);
  ~CallerServer();

  bool Listen(const Endpoint& aEndpoint);
  /// From now on each connection ends after the requests that it has sent.
  void StartDraining();
  void StopListening() { listener_.Close(); }
  bool IsDraining() const { return draining_; }
  size_t Connections() const { return streams_.size(); }

private:
  friend class CallerStream;

  Forwarder& forwarder_;
  TcpListener listener_;
  bool draining_ = false;
  std::map<CallerStream*, std::shared_ptr<CallerStream>> streams_;
};

}

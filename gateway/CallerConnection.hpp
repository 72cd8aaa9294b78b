#pragma once

#include "gateway/ForwardedRequest.hpp"
#include "gateway/Forwarder.hpp"
#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"

#include <deque>
#include <memory>

namespace cactuspitch {

class CallerListener;

/// Connection of a caller. Requests may be pipelined; answers leave in the
/// order of the requests.
class CallerConnection final
  : public StreamHandler
  , public ResponseSink
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerListener& aOwner, Forwarder& aForwarder);

  void Start(int aFd);
  /// Reads no further requests and closes after the answers to those that were
  /// read.
  void Drain();
  void Close();

private:
  using RequestPtr = std::shared_ptr<ForwardedRequest>;

  void OnInput() override;
  void OnOutputDrained() override;
  void OnStreamClosed(CloseReason aReason) override;
  void OnResponseBytes() override;
  void OnResponseAborted() override;
  bool WantsClose(const ForwardedRequest& aRequest) const override;

  void ReadRequests();
  bool ReadNextRequest();
  void BeginRequest();
  void RejectMalformed();
  bool IsReading() const;
  void UpdateReading();
  void WriteResponses();
  void StartLingering();
  void AllowFirstDispatch();
  void OnTimer();
  void StartTimer();
  void OnDisconnected();

  CallerListener& owner_;
  Forwarder& forwarder_;
  TcpStream stream_;
  Timer timer_;
  HttpParser parser_;
  RequestPtr incompleteRequest_; ///< its body is still to come
  std::deque<RequestPtr> pipeline_;
  bool closing_ = false;   ///< reads no further requests
  bool lingering_ = false; ///< all output is written, waits for the caller
  bool writingResponses_ = false;
  bool disconnected_ = false;
};

/// Accepts the connections of callers.
class CallerListener
{
public:
  CallerListener(EventLoop& aLoop, Forwarder& aForwarder);
  ~CallerListener();

  bool Listen(const Endpoint& aEndpoint);
  /// From now on each connection ends after the requests that it has sent.
  void StartDraining();
  void StopListening() { listener_.Close(); }
  bool IsDraining() const { return draining_; }
  size_t Connections() const { return connections_.size(); }

private:
  friend class CallerConnection;

  Forwarder& forwarder_;
  TcpListener listener_;
  bool draining_ = false;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
};

}

#pragma once

#include "gateway/ForwardedRequest.hpp"
#include "gateway/Forwarder.hpp"
#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"

#include <deque>
#include <memory>

namespace cactuspitch {

class CallerListener;

/// Connection of a caller. Requests may be pipelined; responses are sent in the
/// order of the requests.
class CallerConnection final
  : public StreamHandler
  , public ResponseSink
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerListener& aOwner, Forwarder& aForwarder);

  void Start(int aFd);
  /// Reads no further requests and closes after the responses to those that
  /// were read.
  void Drain();
  void Close();
  /// Ends the requests in progress, each with a response where possible.
  void OnExit();

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
  /// True if a part of the head of the next request has arrived.
  bool IsReadingHead() const;
  void UpdateReading();
  void WriteResponses();
  /// Drops the requests without a response, which the caller sends again, and
  /// closes when the output has been sent.
  void CloseAfterOutput();
  void StartLingering();
  void AllowFirstDispatch();
  void OnTimer();
  void StartTimer();
  void OnDisconnected();

  CallerListener& owner_;
  Forwarder& forwarder_;
  TcpStream stream_;
  Timer timer_;
  ByteShare pendingBytes_; ///< output that the caller has not read
  HttpParser parser_;
  RequestPtr incompleteRequest_; ///< request whose body is not yet complete
  std::deque<RequestPtr> pipeline_;
  bool closing_ = false; ///< reads no further requests
  /// All output is written; waits until the caller closes.
  bool lingering_ = false;
  bool writingResponses_ = false;
  bool hasResponded_ = false; ///< a complete response was written
  /// Of the stream when the timer was started.
  uint64_t writtenBytesAtStart_ = 0;
  bool disconnected_ = false;
};

/// Accepts the connections of callers.
class CallerListener
{
public:
  CallerListener(EventLoop& aLoop, Forwarder& aForwarder);
  ~CallerListener();

  bool Listen(const Endpoint& aEndpoint);
  /// Closes each connection after the responses to the requests that it has
  /// received.
  void StartDraining();
  /// Ends all requests in progress.
  void OnExit();
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

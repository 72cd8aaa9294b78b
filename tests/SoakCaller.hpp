#pragma once

#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"
#include "tests/SoakJournal.hpp"

#include <deque>
#include <functional>
#include <random>

namespace cactuspitch {

/// Caller that sends requests to one gateway over a persistent connection, and
/// reconnects whenever the connection ends.
class SoakCaller final : public StreamHandler
{
public:
  /// Fills in kind, key and version of the next request.
  using Chooser = std::function<void(SoakRequest& aRequest)>;

  SoakCaller(EventLoop& aLoop,
             SoakJournal& aJournal,
             int aGateway,
             const Endpoint& aAddress,
             std::string aName,
             uint32_t aSeed,
             Chooser aChooser);
  /// Sends no new requests; outstanding ones are still awaited.
  void Stop() { stopped_ = true; }
  bool IsIdle() const { return waiting_.empty(); }

private:
  void OnInput() override;
  void OnStreamClosed(CloseReason aReason) override;
  void OnTimer();
  void SendRequests();
  void SetTargetAndBody(SoakRequest& aRequest) const;
  static std::string ToText(const SoakRequest& aRequest);
  void OnDisconnectTimer();
  void EndConnection();
  void ScheduleNextRequest();

  EventLoop& loop_;
  SoakJournal& journal_;
  int gateway_;
  Endpoint address_;
  std::string name_;
  Chooser chooser_;
  std::minstd_rand random_;
  Timer timer_;
  Timer disconnectTimer_;
  std::unique_ptr<TcpStream> stream_;
  HttpParser parser_;
  std::string body_;
  std::deque<SoakRequest> waiting_; ///< sent, response outstanding; in order
  int64_t sent_ = 0;
  bool stopped_ = false;
};

}

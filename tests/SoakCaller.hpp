#pragma once

#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"
#include "tests/SoakJournal.hpp"

#include <deque>
#include <functional>
#include <random>

namespace cactuspitch {

/// A caller that sends requests to one gateway on a connection that it keeps
/// until it ends, whatever happens to the gateway.
class SoakCaller final : public StreamHandler
{
public:
  /// Chooses what is sent next.
  using Chooser = std::function<void(SoakRequest& aRequest)>;

  SoakCaller(EventLoop& aLoop,
             SoakJournal& aJournal,
             int aGateway,
             const Endpoint& aAddress,
             std::string aName,
             uint32_t aSeed,
             Chooser aChooser);
  /// Sends nothing new from now on.
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
  std::deque<SoakRequest> waiting_; ///< for their answers, in order
  int64_t sent_ = 0;
  bool stopped_ = false;
};

}

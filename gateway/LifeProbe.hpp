#pragma once

#include "net/TcpStream.hpp"

#include <functional>

namespace cactuspitch {

/// Asks after a pause whether a server still takes connections.
class LifeProbe final : public StreamHandler
{
public:
  /// Called once, from the event loop. The probe may be destroyed then.
  using Task = std::function<void(bool aAlive)>;

  /// aIsKnownAlive spares the connection when it holds after the pause.
  LifeProbe(EventLoop& aLoop,
            const Endpoint& aEndpoint,
            std::function<bool()> aIsKnownAlive,
            Task aTask);

private:
  void OnConnected() override { Finish(true); }
  void OnInput() override {}
  void OnStreamClosed(CloseReason aReason) override;
  void OnTimer();
  void Finish(bool aAlive);

  EventLoop& loop_;
  Endpoint endpoint_;
  std::function<bool()> isKnownAlive_;
  Task task_;
  TcpStream stream_;
  Timer timer_;
  bool connecting_ = false;
};

}

#pragma once

#include "net/TcpStream.hpp"

#include <functional>

namespace cactuspitch {

/// Asks after a pause whether a server still takes connections.
class LivenessProbe final : public StreamHandler
{
public:
  /// Called once, from the event loop. The probe may be destroyed then.
  using Callback = std::function<void(bool aAlive)>;

  /// aIsKnownAlive spares the connection when it holds after the pause.
  LivenessProbe(EventLoop& aLoop,
                const Endpoint& aEndpoint,
                std::function<bool()> aIsKnownAlive,
                Callback aCallback);

private:
  void OnConnected() override { Finish(true); }
  void OnInput() override {}
  void OnStreamClosed(CloseReason aReason) override;
  void OnTimer();
  void Finish(bool aAlive);

  EventLoop& loop_;
  Endpoint endpoint_;
  std::function<bool()> isKnownAlive_;
  Callback callback_;
  TcpStream stream_;
  Timer timer_;
  bool connecting_ = false;
};

}

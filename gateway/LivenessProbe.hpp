#pragma once

#include "net/TcpStream.hpp"

#include <functional>

namespace cactuspitch {

/// Checks after a short delay if a server still accepts connections.
class LivenessProbe final : public StreamHandler
{
public:
  /// Called once from the event loop. May destroy the probe.
  using Callback = std::function<void(bool aAlive)>;

  /// If aIsKnownAlive returns true after the delay, the probe succeeds without
  /// a connection.
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

#pragma once

#include "common/CancelSignal.hpp"
#include "common/EnumNames.hpp"

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <thread>

#include <absl/status/status.h>

namespace cactuspitch {

/// Fault that the proxy injects into all its connections.
enum class ProxyMode : uint8_t
{
  Pass,
  DropToServer, ///< nothing from the client reaches the server
  DropToClient, ///< nothing from the server reaches the client
  DropBoth,
  Refuse, ///< open connections are reset and new ones refused
  Count
};

template<>
struct EnumNames<ProxyMode>
{
  static constexpr std::string_view kNames[] = {
    "pass", "drop-up", "drop-down", "drop-both", "refuse",
  };
};

/// TCP proxy that injects network faults. Bytes sent in a blocked direction
/// stay in the socket buffers and are delivered when the fault ends, as TCP
/// retransmission would do after a real partition.
class TcpFaultProxy
{
public:
  TcpFaultProxy(std::string aListen, std::string aTarget);
  ~TcpFaultProxy();
  TcpFaultProxy(const TcpFaultProxy&) = delete;
  TcpFaultProxy& operator=(const TcpFaultProxy&) = delete;

  /// Returns an error when the proxy cannot listen on its address.
  absl::Status Start();
  void Stop();
  void SetMode(ProxyMode aMode);
  /// Permanently stops forwarding on the connections that are open now, without
  /// closing them. Later connections are not affected.
  void StallOpenConnections();
  ProxyMode Mode() const { return mode_; }

private:
  struct ConnectionPair;

  void Run();
  void ApplyCommands();
  void Accept();
  /// Forwards bytes in one direction. Returns false when both connections are
  /// to be closed.
  bool Forward(ConnectionPair& aPair, bool aToServer) const;
  bool IsBlocked(const ConnectionPair& aPair, bool aToServer) const;

  const std::string listen_;
  const std::string target_;
  CancelSignal wake_;
  std::atomic<ProxyMode> mode_ = ProxyMode::Pass;
  std::atomic<bool> stallOpenConnections_ = false;
  std::atomic<bool> stopping_ = false;
  int listener_ = -1;
  std::list<ConnectionPair> pairs_;
  std::thread thread_;
};

}

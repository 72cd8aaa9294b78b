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

/// State of a link between two processes.
enum class ProxyMode : uint8_t
{
  Pass,
  DropToServer, ///< nothing from the client reaches the server
  DropToClient, ///< nothing from the server reaches the client
  DropBoth,
  Refuse, ///< connections are reset and new ones refused
  Count
};

template<>
struct EnumNames<ProxyMode>
{
  static constexpr std::string_view kNames[] = {
    "pass", "drop-up", "drop-down", "drop-both", "refuse",
  };
};

/// Forwards TCP connections and shows the faults of a network. Bytes that meet
/// a cut stay in the senders' buffers and flow on when it ends, as TCP's own
/// repeats would have it.
class TcpFaultProxy
{
public:
  TcpFaultProxy(std::string aListen, std::string aTarget);
  ~TcpFaultProxy();
  TcpFaultProxy(const TcpFaultProxy&) = delete;
  TcpFaultProxy& operator=(const TcpFaultProxy&) = delete;

  absl::Status Start();
  void Stop();
  void SetMode(ProxyMode aMode);
  /// Connections that are open now stay open and silent for ever; new ones
  /// work.
  void StallOpenConnections();
  ProxyMode Mode() const { return mode_; }

private:
  struct ConnectionPair;

  void Run();
  void ApplyCommands();
  void Accept();
  /// Moves bytes in one direction; false when the link is to be closed.
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

#pragma once

#include "common/Types.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Checks that the gateways that were told a server's request limit keep it
/// together, in every window of 4 s.
class SoakLimits
{
public:
  /// The server starts to name a limit, another one, or none.
  void OnLimitSet(const std::string& aIncarnation,
                  std::optional<double> aPerSecond,
                  TimeMs aNowMs);
  /// An answer with the limit was sent to the gateway.
  void OnTold(const std::string& aIncarnation, int aGateway, TimeMs aNowMs);
  /// The gateway was restarted, frozen or cut off, which excuses it.
  void OnGatewayFault(int aGateway);
  /// Returns a description if this request exceeds the limit. aExcused: the
  /// gateway is, or was lately, affected by a fault.
  std::string OnArrived(const std::string& aIncarnation,
                        int aGateway,
                        bool aExcused,
                        TimeMs aNowMs);

private:
  struct Server
  {
    TimeMs firstNamedMs_ = 0;
    std::map<TimeMs, std::optional<double>> limits_; ///< by start time
    std::map<int, TimeMs> toldMs_; ///< first telling, by gateway
    std::deque<TimeMs> counted_;   ///< arrivals in the last window
  };

  /// Requests that the server's limits allow in the window that ends now;
  /// nullopt if it was without a limit in a part of it.
  static std::optional<double> Allowed(const Server& aServer, TimeMs aNowMs);

  std::map<std::string, Server> servers_;
};

}

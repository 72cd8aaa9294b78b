#pragma once

#include "common/Types.hpp"
#include "scheduling/ColdRate.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Limits the requests that gateways send to cold backend servers without a
/// broker. A part of each server's limit is divided among all known gateways,
/// in whole requests per second: if there are fewer requests than gateways, a
/// hash of gateway and server decides who has one. So the sum holds without
/// messages. Does no I/O.
class ColdGuard
{
public:
  /// Part of the limit that all gateways use together without a broker. Brokers
  /// use 0.35 each, two while they change. One of them leaves the rest for
  /// requests that a frozen gateway had decided on and
  /// sends when it resumes.
  static constexpr double kShare = 0.3;
  /// A request may be sent this much later than it is decided on, on a new
  /// connection.
  static constexpr TimeMs kWindowMs = 1100;

  /// aGateway: hash of this gateway's name.
  explicit ColdGuard(uint32_t aGateway);

  /// Sets the gateways that exist, whether they are alive or not, so that a
  /// gateway that is cut off does not take more than its part.
  void SetGateways(std::vector<uint32_t> aGateways);
  /// Whether a request may be sent now to the cold server, given by the hash of
  /// its incarnation.
  bool MaySend(uint32_t aServer, const ColdLimits& aLimits, TimeMs aNowMs);
  /// To be called for each request that is sent to a cold server.
  void OnSent(uint32_t aServer, const ColdLimits& aLimits, TimeMs aNowMs);
  /// Time until MaySend() can be true; kWindowMs if this gateway has no part.
  TimeMs WaitMs(uint32_t aServer, const ColdLimits& aLimits, TimeMs aNowMs);
  /// Drops servers that had no request for a while.
  void Expire(TimeMs aNowMs);

private:
  struct Server
  {
    ColdLimits limits_;
    size_t quota_ = 0; ///< requests in any kWindowMs
    std::deque<TimeMs> sentMs_;
  };

  size_t Quota(uint32_t aServer, const ColdLimits& aLimits) const;
  Server& Find(uint32_t aServer, const ColdLimits& aLimits, TimeMs aNowMs);

  uint32_t gateway_;
  std::vector<uint32_t> gateways_;
  std::unordered_map<uint32_t, Server> servers_;
};

}

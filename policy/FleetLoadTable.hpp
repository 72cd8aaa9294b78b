#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Load of one backend server, as measured by a gateway.
struct FleetLoadEntry
{
  uint32_t server_ = 0;      ///< hash of the server's id
  double serviceTimeMs_ = 0; ///< mean service time; 0 if unknown
  double load_ = 0;          ///< running and queued requests
};

/// Latest loads of the backend servers, collected from all gateways. In a large
/// fleet each gateway alone gets too few responses from a server to know its
/// load. Does no I/O.
class FleetLoadTable
{
public:
  /// Entries that have not been updated for this long are dropped.
  static constexpr TimeMs kExpiryMs = 5000;

  void Add(const FleetLoadEntry& aEntry, TimeMs aNowMs);
  /// Entries that were updated since the last call.
  std::vector<FleetLoadEntry> TakeChanged(TimeMs aNowMs);
  /// Mean service time of a server, 0 if unknown.
  double ServiceTimeMs(uint32_t aServer) const;

private:
  struct State
  {
    FleetLoadEntry entry_;
    TimeMs atMs_ = 0;
    bool changed_ = false;
  };
  std::unordered_map<uint32_t, State> states_;
};

}

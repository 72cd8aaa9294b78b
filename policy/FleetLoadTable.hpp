#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Load of one backend server as some gateway saw it last.
struct FleetLoadEntry
{
  uint32_t server_ = 0;      ///< hash of its id
  double serviceTimeMs_ = 0; ///< 0: not known
  double load_ = 0;          ///< running and waiting requests
};

/// Gathers what all gateways see of the backend servers: each of many gateways
/// hears of a single server too rarely to know its load. Pure.
class FleetLoadTable
{
public:
  /// Entries without a report for this long are dropped.
  static constexpr TimeMs kForgetMs = 5000;

  void Add(const FleetLoadEntry& aEntry, TimeMs aNowMs);
  /// Entries that got a report since the last call.
  std::vector<FleetLoadEntry> TakeChanged(TimeMs aNowMs);
  /// Mean work time of a server, 0 when it is not known.
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

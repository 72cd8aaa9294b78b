#pragma once

#include "control/Timing.hpp"

#include <map>
#include <string>

namespace cactuspitch {

/// View leases of the routers. Only under such a lease does a router forward to
/// a backend server that does not check the fence.
class ViewLeases
{
public:
  /// When the view leases of earlier assigners expire, kNever when unknown.
  void SetPredecessorEnd(TimeMs aEndMs) { predecessorEndMs_ = aEndMs; }
  void Grant(const std::string& aRouter, TimeMs aNowMs);
  /// When all view leases granted so far have expired. An acknowledgement of a
  /// newer table does not end a lease earlier, because requests that were
  /// forwarded under it may still run until it expires.
  TimeMs AllExpiredMs() const;
  const std::map<std::string, TimeMs>& Leases() const { return leases_; }
  void Prune(TimeMs aNowMs);

private:
  std::map<std::string, TimeMs> leases_;
  TimeMs predecessorEndMs_ = 0;
};

}

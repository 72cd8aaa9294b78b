#pragma once

#include "control/Timing.hpp"

#include <map>
#include <string>

namespace cactuspitch {

/// View leases that routers may hold. A router forwards to a backend server
/// that does not check the fence only under such a lease.
class ViewLeases
{
public:
  /// Earlier assigners gave leases up to this time, kNever when unknown.
  void SetPredecessorEnd(TimeMs aEndMs) { predecessorEndMs_ = aEndMs; }
  void Grant(const std::string& aRouter, TimeMs aNowMs);
  /// When all leases given so far have ended. An acknowledgement of a newer
  /// table does not end a lease earlier: requests that were forwarded under it
  /// may still run up to its end.
  TimeMs AllExpiredMs() const;
  const std::map<std::string, TimeMs>& Leases() const { return leases_; }
  void Prune(TimeMs aNowMs);

private:
  std::map<std::string, TimeMs> leases_;
  TimeMs predecessorEndMs_ = 0;
};

}

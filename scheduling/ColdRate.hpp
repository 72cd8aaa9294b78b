#pragma once

#include "common/Types.hpp"

namespace cactuspitch {

/// Requests that a cold backend server bears, from all gateways together.
struct ColdLimits
{
  double perSecond_ = 0; ///< 0: no limit
  /// Requests that may exceed it in any one second.
  double slack_ = 0;
};

/// Token bucket for one cold server. In any second, the bucket's size and what
/// accrues stay below the limit. Does no I/O.
class ColdRate
{
public:
  /// aShare: part of the limit that this bucket may use, 0 to 1.
  ColdRate(ColdLimits aLimits, double aShare, TimeMs aNowMs);

  bool TryTake(TimeMs aNowMs);
  /// Time until TryTake() can succeed.
  TimeMs WaitMs(TimeMs aNowMs) const;

private:
  double Tokens(TimeMs aNowMs) const;

  double perSecond_;
  double size_;
  double tokens_;
  TimeMs atMs_;
};

}

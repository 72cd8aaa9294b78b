#pragma once

#include "common/Types.hpp"

#include <algorithm>
#include <cstddef>

namespace cactuspitch {

/// Limits the requests of one gateway to a backend server that has rejected a
/// request and asked for a pause: none during the pause, then one at a time,
/// doubled after each success. Without the slow start, a server near its
/// capacity would get all requests queued during the pause at once
/// (ServerNoticesModel). Does no I/O.
class ServerPause
{
public:
  /// Jitter: a gateway extends a pause by up to this fraction, so that gateways
  /// whose requests were rejected at the same time don't resume at the same
  /// time.
  static constexpr double kJitter = 0.2;

  /// Starts or extends a pause. aRandom, from 0 to 1, determines the jitter.
  /// Returns true if the server was not paused.
  bool Begin(TimeMs aPauseMs, double aRandom, TimeMs aNowMs)
  {
    const bool isNew = !IsActive(aNowMs);
    const auto jitterMs =
      static_cast<TimeMs>(static_cast<double>(aPauseMs) * kJitter * aRandom);
    endMs_ = std::max(endMs_, aNowMs + aPauseMs + jitterMs);
    limit_ = 1;
    return isNew;
  }

  /// The server has successfully executed a request sent at aSentMs. Requests
  /// sent before the end of the pause are no evidence of free capacity after
  /// it.
  void OnRequestSucceeded(TimeMs aSentMs, int aSlots)
  {
    if (limit_ == 0 || aSentMs < endMs_) {
      return;
    }
    limit_ *= 2;
    if (limit_ > static_cast<size_t>(aSlots)) {
      limit_ = 0;
    }
  }

  bool IsActive(TimeMs aNowMs) const { return endMs_ > aNowMs; }
  TimeMs EndMs() const { return endMs_; }
  /// Whether aInFlight requests are as many as the server may get now.
  bool IsFull(size_t aInFlight) const
  {
    return limit_ != 0 && aInFlight >= limit_;
  }

private:
  TimeMs endMs_ = 0;
  size_t limit_ = 0; ///< requests in flight, 0 for unlimited
};

}

#pragma once

#include "common/Types.hpp"

#include <algorithm>
#include <cstddef>

namespace cactuspitch {

/// Requests that one gateway may send to a backend server that refused a
/// request and asked for a pause: none until its end, then one at a time, and
/// twice as many after each that the server ran well. Meant for servers near
/// capacity, which would otherwise get all that has gathered meanwhile at once
/// (ServerNoticesModel). Pure.
class ServerPause
{
public:
  /// Part of a pause by which a gateway may return later, so that gateways that
  /// were asked at the same time do not return at the same time.
  static constexpr double kSpread = 0.2;

  /// aDraw, from 0 to 1, places the return within the spread. True when the
  /// server was not pausing.
  bool Begin(TimeMs aPauseMs, double aDraw, TimeMs aNowMs)
  {
    const bool isNew = !IsActive(aNowMs);
    const auto spreadMs =
      static_cast<TimeMs>(static_cast<double>(aPauseMs) * kSpread * aDraw);
    endMs_ = std::max(endMs_, aNowMs + aPauseMs + spreadMs);
    limit_ = 1;
    return isNew;
  }

  /// The server ran a request well that was sent at aSentMs. Those from before
  /// the end of the pause say nothing about its room afterwards.
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
  /// With so many requests in flight the server gets no further one now.
  bool IsFull(size_t aInFlight) const
  {
    return limit_ != 0 && aInFlight >= limit_;
  }

private:
  TimeMs endMs_ = 0;
  size_t limit_ = 0; ///< requests at a time, 0 for any number
};

}

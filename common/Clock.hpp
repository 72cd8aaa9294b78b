#pragma once

#include "Types.hpp"

namespace cactuspitch {

/// Milliseconds since the Unix epoch by the system clock, which may be
/// adjusted.
int64_t UnixNowMs();

/// Source of monotonic time. Tests pass their own.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimeMs NowMs() const = 0;
};

/// Uses CLOCK_BOOTTIME, which also counts the time while the machine is
/// suspended, so that leases expire during a suspension.
class SteadyClock final : public Clock
{
public:
  TimeMs NowMs() const override;
};

}

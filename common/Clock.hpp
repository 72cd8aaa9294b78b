#pragma once

#include "Types.hpp"

namespace cactuspitch {

/// Milliseconds since 1970, by the machine's clock, which may be set.
int64_t UnixNowMs();

/// Source of monotonic time, passed to constructors so that tests control it.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimeMs NowMs() const = 0;
};

/// CLOCK_BOOTTIME: keeps counting while the machine is suspended, so a lease
/// also ends for a process that was asleep.
class SteadyClock final : public Clock
{
public:
  TimeMs NowMs() const override;
};

}

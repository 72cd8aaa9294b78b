#pragma once

#include "Types.hpp"

namespace cactuspitch {

/// Lets one thread wait for SIGTERM or SIGINT. Construct it before any other
/// thread starts, since threads inherit the blocked signals.
class TerminationSignal
{
public:
  TerminationSignal();

  /// Blocks until SIGTERM or SIGINT arrives.
  void Wait() const;
  /// True when SIGTERM or SIGINT arrives within aTimeoutMs.
  bool WaitFor(TimeMs aTimeoutMs) const;
};

}

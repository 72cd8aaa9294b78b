#pragma once

#include "Types.hpp"

namespace cactuspitch {

/// Delivers SIGTERM and SIGINT to one waiting thread. Construct it before any
/// other thread starts, since threads inherit the blocked signals.
class TerminationSignal
{
public:
  TerminationSignal();

  /// Blocks until the process is asked to end.
  void Wait() const;
  /// True when the process was asked to end within aTimeoutMs.
  bool WaitFor(TimeMs aTimeoutMs) const;
};

}

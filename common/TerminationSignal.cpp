#include "TerminationSignal.hpp"

#include <csignal>
#include <ctime>

namespace cactuspitch {

namespace detail {

sigset_t TerminationSet()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}

TerminationSignal::TerminationSignal()
{
  const auto signals = detail::TerminationSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void TerminationSignal::Wait() const
{
  const auto signals = detail::TerminationSet();
  int received = 0;
  sigwait(&signals, &received);
}

bool TerminationSignal::WaitFor(TimeMs aTimeoutMs) const
{
  constexpr TimeMs kMsPerSecond = 1000;
  constexpr TimeMs kNsPerMs = 1000000;
  const auto signals = detail::TerminationSet();
  const timespec timeout{ aTimeoutMs / kMsPerSecond,
                          aTimeoutMs % kMsPerSecond * kNsPerMs };
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

}

#include "gateway/LivenessProbe.hpp"

#include <utility>

namespace cactuspitch {

namespace detail {

/// An exiting process resets its connections one after the other and may still
/// accept new ones for a moment.
constexpr TimeMs kProbeDelayMs = 20;
/// The network round trip to a server takes at most a few ms.
constexpr TimeMs kProbeTimeoutMs = 300;

}

LivenessProbe::LivenessProbe(EventLoop& aLoop,
                             const Endpoint& aEndpoint,
                             std::function<bool()> aIsKnownAlive,
                             Callback aCallback)
  : loop_(aLoop)
  , endpoint_(aEndpoint)
  , isKnownAlive_(std::move(aIsKnownAlive))
  , callback_(std::move(aCallback))
  , stream_(aLoop, *this)
  , timer_(aLoop, [this] { OnTimer(); })
{
  timer_.Start(detail::kProbeDelayMs);
}

void LivenessProbe::OnTimer()
{
  if (connecting_) {
    Finish(false);
    return;
  }
  connecting_ = true;
  timer_.Start(detail::kProbeTimeoutMs);
  // If no socket can be opened here, the server's state is unknown and must not
  // count as a crash.
  if (isKnownAlive_() || !stream_.Connect(endpoint_)) {
    Finish(true);
  }
}

void LivenessProbe::OnStreamClosed(CloseReason aReason)
{
  Finish(aReason != CloseReason::Refused &&
         aReason != CloseReason::Unreachable);
}

void LivenessProbe::Finish(bool aAlive)
{
  timer_.Stop();
  stream_.Close();
  // Deferred, because the callback may destroy the probe, whose stream or timer
  // is the caller of this function.
  loop_.Defer([callback = std::exchange(callback_, {}), aAlive] {
    if (callback) {
      callback(aAlive);
    }
  });
}

}

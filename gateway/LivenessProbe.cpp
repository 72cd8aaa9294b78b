#include "gateway/LivenessProbe.hpp"

#include <utility>

namespace cactuspitch {

namespace detail {

/// A process that ends resets its connections one after the other and may
/// still accept for a moment.
constexpr TimeMs kProbeDelayMs = 20;
/// Servers are at most a few ms away.
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
  // Without a socket nothing is known, which must not count against anybody.
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
  // The stream and the timer that call this belong to the probe.
  loop_.Defer([callback = std::exchange(callback_, {}), aAlive] {
    if (callback) {
      callback(aAlive);
    }
  });
}

}

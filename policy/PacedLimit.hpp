#pragma once

#include "common/Types.hpp"

namespace cactuspitch {

/// Enforces a fractional concurrency limit on average. With a limit of 0.6,
/// bursts of back-to-back attempts alternate with pauses. An attempt directly
/// after another one finds its slot free, while the first one of a burst may
/// find the server busy. A few long bursts therefore cause fewer shed requests
/// than evenly spaced attempts.
class PacedLimit
{
public:
  /// Starts an attempt. Returns false if the limit doesn't allow one now.
  bool TryAcquire(TimeMs aNowMs, double aLimit);
  void Release(TimeMs aNowMs, double aLimit);
  /// Earliest time at which TryAcquire() can succeed without a Release();
  /// INT64_MAX if it can't.
  TimeMs NextTryMs(TimeMs aNowMs, double aLimit) const;
  /// Allows no attempt before aUntilMs.
  void Defer(TimeMs aUntilMs) { deferredUntilMs_ = aUntilMs; }
  int InFlight() const { return inFlight_; }

private:
  /// Largest credit, in ms of one attempt in flight, that accrues in a pause.
  static constexpr double kBurstMs = 50;
  /// Bounds the pause that follows a long attempt, such as a download.
  static constexpr double kMaxDebtMs = 2000;

  void Advance(TimeMs aNowMs, double aLimit);
  int Allowed(double aLimit) const;

  double creditMs_ = kBurstMs;
  TimeMs lastMs_ = 0;
  TimeMs deferredUntilMs_ = 0;
  int inFlight_ = 0;
  bool started_ = false;
  bool pausing_ = false;
};

}

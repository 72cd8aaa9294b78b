#pragma once

#include "common/Types.hpp"

namespace cactuspitch {

/// Holds attempts in flight to a fractional limit on average. A limit of 0.6
/// runs chains of attempts back to back and then rests: a router that has just
/// ended an attempt finds its slot free, whereas a new chain may meet a busy
/// server. Few long chains therefore cause fewer sheds than spaced attempts.
class PacedLimit
{
public:
  bool TryAcquire(TimeMs aNowMs, double aLimit);
  void Release(TimeMs aNowMs, double aLimit);
  /// INT64_MAX when only a Release can help.
  TimeMs NextTryMs(TimeMs aNowMs, double aLimit) const;
  /// No attempt before that time.
  void Defer(TimeMs aUntilMs) { deferredUntilMs_ = aUntilMs; }
  int InFlight() const { return inFlight_; }

private:
  /// Credit in ms of attempts in flight that a rested router has saved.
  static constexpr double kBurstMs = 50;
  /// A long attempt (a download) is not repaid with an endless rest.
  static constexpr double kMaxDebtMs = 2000;

  void Advance(TimeMs aNowMs, double aLimit);
  int Allowed(double aLimit) const;

  double creditMs_ = kBurstMs;
  TimeMs lastMs_ = 0;
  TimeMs deferredUntilMs_ = 0;
  int inFlight_ = 0;
  bool started_ = false;
  bool resting_ = false;
};

}

#pragma once

namespace cactuspitch {

/// Token bucket of one service: every request earns a share of a retry. Not
/// thread-safe.
class RetryBudget
{
public:
  /// aPercent of the requests may be retried; aBurst bounds saved retries.
  explicit RetryBudget(double aPercent, double aBurst = 10);

  void OnRequest();
  /// Pays for one retry; false when the budget is used up.
  bool TryTake();
  void SetPercent(double aPercent) { percent_ = aPercent; }
  /// New limits for the requests from now on; saved retries above the new burst
  /// are given up.
  void SetLimits(double aPercent, double aBurst);

private:
  double percent_;
  double burst_;
  double tokens_;
};

}

#pragma once

namespace cactuspitch {

/// Token bucket that limits the retries of a service to a percentage of its
/// requests. Not thread-safe.
class RetryBudget
{
public:
  /// aPercent of the requests may be retried. aBurst is the size of the bucket.
  explicit RetryBudget(double aPercent, double aBurst = 10);

  /// Adds the tokens that a request earns.
  void OnRequest();
  /// Takes a token for one retry. Returns false if the budget is exhausted.
  bool TryTake();
  void SetPercent(double aPercent) { percent_ = aPercent; }
  /// Sets both limits. Tokens beyond the new burst are discarded.
  void SetLimits(double aPercent, double aBurst);

private:
  double percent_;
  double burst_;
  double tokens_;
};

}

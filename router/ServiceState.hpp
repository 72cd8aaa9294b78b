#pragma once

#include "policy/RetryBudget.hpp"

#include <mutex>
#include <string>

namespace cactuspitch {

/// What the router keeps for one service.
class ServiceState
{
public:
  explicit ServiceState(std::string aName)
    : name_(std::move(aName))
  {
  }

  const std::string& Name() const { return name_; }

  /// Every request earns a share of a retry.
  void OnRequest(int64_t aBudgetPercent)
  {
    const std::lock_guard lock(mutex_);
    if (aBudgetPercent != percent_) {
      percent_ = aBudgetPercent;
      budget_.SetPercent(static_cast<double>(aBudgetPercent));
    }
    budget_.OnRequest();
  }
  bool TryTakeRetry()
  {
    const std::lock_guard lock(mutex_);
    return budget_.TryTake();
  }

private:
  const std::string name_;
  std::mutex mutex_;
  int64_t percent_ = 0;
  RetryBudget budget_{ 0 };
};

}

#pragma once

#include "policy/RetryBudget.hpp"

#include <algorithm>
#include <atomic>
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
  void OnRequest() { earned_.fetch_add(1, std::memory_order_relaxed); }
  bool TryTakeRetry(int64_t aBudgetPercent)
  {
    // More requests than this fill the bucket at any share.
    constexpr int64_t kEnough = 10000;
    const std::lock_guard lock(mutex_);
    if (aBudgetPercent != percent_) {
      percent_ = aBudgetPercent;
      budget_.SetPercent(static_cast<double>(aBudgetPercent));
    }
    const auto earned =
      std::min(earned_.exchange(0, std::memory_order_relaxed), kEnough);
    for (int64_t i = 0; i < earned; ++i) {
      budget_.OnRequest();
    }
    return budget_.TryTake();
  }

private:
  const std::string name_;
  std::atomic<int64_t> earned_ = 0;
  std::mutex mutex_;
  int64_t percent_ = 0;
  RetryBudget budget_{ 0 };
};

}

#pragma once

#include "policy/RetryBudget.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>

namespace cactuspitch {

/// State that the router keeps for one service: its retry budget. Thread-safe.
class ServiceState
{
public:
  explicit ServiceState(std::string aName)
    : name_(std::move(aName))
  {
  }

  const std::string& Name() const { return name_; }

  /// Counts a request, which adds to the retry budget.
  void OnRequest()
  {
    uncountedRequests_.fetch_add(1, std::memory_order_relaxed);
  }
  /// Takes one retry from the budget; false when it is used up. The budget
  /// grows by aBudgetPercent retries for 100 requests.
  bool TryTakeRetry(int64_t aBudgetPercent)
  {
    // This many requests fill the budget at any percentage.
    constexpr int64_t kMaxRequests = 10000;
    const std::lock_guard lock(mutex_);
    if (aBudgetPercent != percent_) {
      percent_ = aBudgetPercent;
      budget_.SetPercent(static_cast<double>(aBudgetPercent));
    }
    const auto requests = std::min(
      uncountedRequests_.exchange(0, std::memory_order_relaxed), kMaxRequests);
    for (int64_t i = 0; i < requests; ++i) {
      budget_.OnRequest();
    }
    return budget_.TryTake();
  }

private:
  const std::string name_;
  std::atomic<int64_t> uncountedRequests_ = 0;
  std::mutex mutex_;
  int64_t percent_ = 0;
  RetryBudget budget_{ 0 };
};

}

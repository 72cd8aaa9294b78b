#pragma once

#include "config/ServiceRules.hpp"
#include "policy/RetryBudget.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace cactuspitch {

/// What the router keeps for one service.
class ServiceState
{
public:
  explicit ServiceState(std::string aName)
    : name_(std::move(aName))
    , rules_(std::make_shared<const ServiceRules>())
    , budget_(static_cast<double>(rules_->retryBudgetPercent_))
  {
  }

  const std::string& Name() const { return name_; }

  std::shared_ptr<const ServiceRules> Rules() const
  {
    const std::lock_guard lock(mutex_);
    return rules_;
  }
  void SetRules(std::shared_ptr<const ServiceRules> aRules)
  {
    const std::lock_guard lock(mutex_);
    rules_ = std::move(aRules);
    budget_.SetPercent(static_cast<double>(rules_->retryBudgetPercent_));
  }
  /// Counts a request and returns the rules in force for it.
  std::shared_ptr<const ServiceRules> BeginRequest()
  {
    const std::lock_guard lock(mutex_);
    budget_.OnRequest();
    return rules_;
  }
  bool TryTakeRetry()
  {
    const std::lock_guard lock(mutex_);
    return budget_.TryTake();
  }

private:
  const std::string name_;
  mutable std::mutex mutex_;
  std::shared_ptr<const ServiceRules> rules_;
  RetryBudget budget_;
};

}

#include "policy/RetryBudget.hpp"

#include <algorithm>

namespace cactuspitch {

RetryBudget::RetryBudget(double aPercent, double aBurst)
  : percent_(aPercent)
  , burst_(aBurst)
  , tokens_(aBurst)
{
}

void RetryBudget::OnRequest()
{
  constexpr double kPercent = 100;
  tokens_ = std::min(burst_, tokens_ + percent_ / kPercent);
}

bool RetryBudget::TryTake()
{
  // The sum of ten times 0.1 is slightly below 1.
  constexpr double kRounding = 1e-9;
  if (tokens_ < 1 - kRounding) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RetryBudget::SetLimits(double aPercent, double aBurst)
{
  percent_ = aPercent;
  burst_ = aBurst;
  tokens_ = std::min(tokens_, aBurst);
}

}

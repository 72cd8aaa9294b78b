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
  // Sums of 0.1 stay a rounding error below 1 after ten requests.
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

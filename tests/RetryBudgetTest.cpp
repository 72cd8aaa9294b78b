#include "policy/RetryBudget.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

// Guards against retries that multiply the load during an outage: beyond the
// initial burst, one retry is allowed per ten requests.
TEST(RetryBudget, AllowsTenPercentOfRequests)
{
  RetryBudget budget(10, 10);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  EXPECT_LE(retries, 110);
  EXPECT_GE(retries, 109);
}

// Guards against an unbounded number of retries saved up without failures.
TEST(RetryBudget, SavedRetriesAreBounded)
{
  RetryBudget budget(10, 10);
  for (int i = 0; i < 100000; ++i) {
    budget.OnRequest();
  }
  int retries = 0;
  while (budget.TryTake()) {
    ++retries;
  }
  EXPECT_EQ(retries, 10);
}

// Guards against gateways that keep the limits of a smaller fleet after other
// gateways have joined, so that the fleet as a whole exceeds the retry budget.
TEST(RetryBudget, LowerLimitsApplyAtOnce)
{
  RetryBudget budget(10, 10);
  budget.SetLimits(10, 2);
  EXPECT_TRUE(budget.TryTake());
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
}

}
}

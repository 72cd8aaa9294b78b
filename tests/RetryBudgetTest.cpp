#include "policy/RetryBudget.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

// Guards against retries that multiply the load of an outage: beyond the saved
// burst, ten requests pay for one retry.
TEST(RetryBudget, TenPercentOfRequests)
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

// Guards against a quiet hour that saves up an unbounded number of retries.
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

// Guards against gateways that keep the share of a smaller fleet after others
// have joined, so that all together retry more than is allowed.
TEST(RetryBudget, LowerLimitsHoldAtOnce)
{
  RetryBudget budget(10, 10);
  budget.SetLimits(10, 2);
  EXPECT_TRUE(budget.TryTake());
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
}

}
}

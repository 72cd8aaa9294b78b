#include "tests/ServerNoticesModel.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Options = ServerNoticesModel::Options;

class ServerNoticesModelTest : public testing::TestWithParam<uint32_t>
{};

// Guards against requests at 90% load that gateways send to servers whose
// notice they know, and against requests that are lost with a leaving server.
TEST_P(ServerNoticesModelTest, NoticesAreKeptUnderLoad)
{
  const auto result = ServerNoticesModel({ .seconds_ = 20 }, GetParam()).Run();
  EXPECT_GT(result.requests_, 10000);
  EXPECT_EQ(result.sentAfterLeavingNotice_, 0);
  EXPECT_EQ(result.sentInPause_, 0);
  EXPECT_EQ(result.lost_, 0);
  EXPECT_EQ(result.served_ + result.refused_, result.requests_);
}

// Shows that the model has leaving and pausing servers which are used if
// nobody heeds them.
TEST_P(ServerNoticesModelTest, IgnoredNoticesAreSeen)
{
  const auto result =
    ServerNoticesModel(
      { .seconds_ = 20, .obeysLeavingNotices_ = false, .obeysPauses_ = false },
      GetParam())
      .Run();
  EXPECT_GT(result.sentAfterLeavingNotice_, 0);
  EXPECT_GT(result.sentInPause_, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ServerNoticesModelTest, testing::Range(1U, 6U));

}
}

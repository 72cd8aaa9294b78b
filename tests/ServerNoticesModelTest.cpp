#include "tests/ServerNoticesModel.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Options = ServerNoticesModel::Options;

class ServerNoticesModelTest : public testing::TestWithParam<uint32_t>
{};

// Guards, at 90% load, against gateways that send requests to servers whose
// leaving or pause notice they have received, and against requests that are
// lost when a leaving server ends.
TEST_P(ServerNoticesModelTest, NoticesAreObeyedUnderLoad)
{
  const auto result = ServerNoticesModel({ .seconds_ = 20 }, GetParam()).Run();
  EXPECT_GT(result.requests_, 10000);
  EXPECT_EQ(result.sentAfterLeavingNotice_, 0);
  EXPECT_EQ(result.sentInPause_, 0);
  EXPECT_EQ(result.lost_, 0);
  EXPECT_EQ(result.served_ + result.refused_, result.requests_);
}

// Guards against a model that cannot fail: if gateways ignore notices, requests
// do reach leaving and pausing servers.
TEST_P(ServerNoticesModelTest, IgnoredNoticesAreDetected)
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

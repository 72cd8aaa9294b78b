#include "tests/RequestLimitModel.hpp"

#include "common/Strings.hpp"

#include <cstdlib>
#include <tuple>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Options = RequestLimitModel::Options;

/// First seed; runs by hand set LIMIT_SEED to play others.
uint32_t FirstSeed()
{
  const char* text = std::getenv("LIMIT_SEED");
  return text == nullptr ? 1 : static_cast<uint32_t>(std::atoi(text));
}

class RequestLimitModelTest
  : public testing::TestWithParam<std::tuple<int, uint32_t>>
{
protected:
  static int Gateways() { return std::get<0>(GetParam()); }
  static uint32_t Seed() { return FirstSeed() + std::get<1>(GetParam()); }
};

// Guards against limits that are exceeded by the sum of all gateways, or that
// leave most of what the server takes unused.
TEST_P(RequestLimitModelTest, SumStaysWithinTheLimitAndUsesIt)
{
  for (const double limit : { 3.0, 8.0, 40.0 }) {
    for (const bool oneGateway : { false, true }) {
      const auto result = RequestLimitModel({ .gateways_ = Gateways(),
                                              .limit_ = limit,
                                              .offered_ = 5 * limit,
                                              .oneGateway_ = oneGateway },
                                            Seed())
                            .Run();
      EXPECT_GT(result.windows_, 500);
      EXPECT_LE(result.worstExcess_, 0) << limit << " " << oneGateway;
      EXPECT_GT(result.used_, 0.8) << limit << " " << oneGateway;
      EXPECT_LE(result.longestWaitMs_, 120) << limit << " " << oneGateway;
    }
  }
}

// Guards against limits that are exceeded while the leader or other gateways
// are killed, frozen or cut off, and while the server names other limits.
TEST_P(RequestLimitModelTest, FaultsAndChangesDoNotExceedTheLimit)
{
  for (const double limit : { 3.0, 8.0, 40.0 }) {
    const auto result = RequestLimitModel({ .gateways_ = Gateways(),
                                            .limit_ = limit,
                                            .offered_ = 5 * limit,
                                            .changes_ = true,
                                            .faults_ = true },
                                          Seed())
                          .Run();
    EXPECT_LE(result.worstExcess_, 0) << limit;
    EXPECT_GT(result.used_, 0.3) << limit;
  }
}

// Guards against gateways without a leader that together use more than what the
// limit leaves beside the permits of a leader that they can't see.
TEST_P(RequestLimitModelTest, GatewaysWithoutALeaderUseAPartOfTheLimit)
{
  constexpr double kLimit = 40;
  const auto result = RequestLimitModel({ .gateways_ = Gateways(),
                                          .limit_ = kLimit,
                                          .offered_ = 400,
                                          .leaderless_ = true,
                                          .limitedMs_ = 40000 },
                                        Seed())
                        .Run();
  // 4 s allow half of the limit and 5 requests beside the limit itself.
  constexpr double kOutside = (kLimit * 4 / 2 + 5) / (kLimit * 4);
  EXPECT_GT(result.used_, 0);
  EXPECT_LT(result.toldUsed_, kOutside);
}

// Guards against servers that stay limited after they stop naming a limit, and
// against all held back requests arriving at once.
TEST_P(RequestLimitModelTest, TrafficReturnsAfterTheEndWithoutABurst)
{
  const auto result =
    RequestLimitModel({ .gateways_ = Gateways(), .limit_ = 8, .offered_ = 100 },
                      Seed())
      .Run();
  EXPECT_GT(result.rateAfterRecovery_, 80);
  EXPECT_LT(result.burstAfterEnd_, 30);
}

// Guards against a model that cannot fail: the limit is exceeded by gateways
// that ignore it.
TEST_P(RequestLimitModelTest, IgnoredLimitIsDetected)
{
  const auto result = RequestLimitModel({ .gateways_ = Gateways(),
                                          .offered_ = 100,
                                          .policy_ = LimitPolicy::Ignored },
                                        Seed())
                        .Run();
  EXPECT_GT(result.worstExcess_, 0);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         RequestLimitModelTest,
                         testing::Combine(testing::Values(8, 65, 300),
                                          testing::Range(0U, 3U)));

}
}

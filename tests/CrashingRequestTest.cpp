#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"
#include "tests/FailureFixture.hpp"

#include <algorithm>

namespace cactuspitch {
namespace {

using CrashingRequestTest = FailureFixture;

// Guards against a request that crashes one backend server after another: its
// client resends it through other routers and with new ids.
TEST_F(CrashingRequestTest, CostsAtMostTwoServers)
{
  constexpr int kSends = 30;
  constexpr TimeMs kPauseMs = 200;
  const SteadyClock clock;
  const auto routers = run_.GetDeployment().Routers();
  for (int send = 0; send < kSends; ++send) {
    HttpConnection connection(clock, routers[send % routers.size()]);
    const auto answer =
      connection.Exchange({ "POST",
                            "/inspection-ledger/key-7",
                            { { header::kRequestId, Concat("poison-", send) } },
                            "poison-marker" },
                          clock.NowMs() + 4000,
                          1 << 20);
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_NE(answer->head_.Header(header::kOutcome), "complete");
    FailureRun::SleepFor(kPauseMs);
  }
  const auto names = run_.GetDeployment().BackendNames("inspection-ledger");
  const auto lost = std::ranges::count_if(names, [this](const auto& aName) {
    return !run_.Fleet().IsRunning(aName);
  });
  EXPECT_GE(lost, 1);
  EXPECT_LE(lost, 2);
}

}
}

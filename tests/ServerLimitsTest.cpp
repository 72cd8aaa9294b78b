#include "policy/ServerLimits.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kServer = 1;

// Guards against a late answer, or one to a request that was sent before the
// last naming, that raises or ends a limit.
TEST(ServerLimits, OnlyLaterRequestsRaiseOrEndALimit)
{
  ServerLimits limits;
  EXPECT_EQ(limits.OnAnswer(kServer, 8, 900, 1000), LimitChange::Started);
  EXPECT_EQ(limits.OnAnswer(kServer, 16, 999, 1010), LimitChange::None);
  EXPECT_EQ(limits.OnAnswer(kServer, std::nullopt, 1000, 1020),
            LimitChange::None);
  EXPECT_EQ(limits.Rate(kServer, 1020), 8);
  EXPECT_EQ(limits.OnAnswer(kServer, 4, 999, 1030), LimitChange::Changed);
  EXPECT_EQ(limits.OnAnswer(kServer, 16, 1031, 1100), LimitChange::Changed);
  EXPECT_EQ(limits.Rate(kServer, 1100), 16);
  EXPECT_EQ(limits.OnAnswer(kServer, std::nullopt, 1101, 1200),
            LimitChange::Ended);
}

// Guards against a limit that ends with a jump, or never.
TEST(ServerLimits, EndedLimitRecoversGradually)
{
  ServerLimits limits;
  limits.OnAnswer(kServer, 8, 0, 1000);
  limits.OnAnswer(kServer, std::nullopt, 1001, 2000);
  EXPECT_DOUBLE_EQ(limits.Rate(kServer, 2000), 8);
  EXPECT_DOUBLE_EQ(limits.Rate(kServer, 2000 + ServerLimits::kDoublingMs), 16);
  EXPECT_EQ(limits.Rate(kServer, 2000 + ServerLimits::kRecoveryMs),
            ServerLimits::kUnlimited);
}

// Guards against old notices of other gateways that restore a limit that has
// ended, or end one that was named again.
TEST(ServerLimits, OlderNoticesDoNotReplaceNewerOnes)
{
  ServerLimits limits;
  limits.OnAnswer(kServer, 8, 0, 1000);
  limits.OnAnswer(kServer, std::nullopt, 1001, 2000);
  EXPECT_EQ(limits.Merge({ kServer, 8, false, 1500 }, 6000), LimitChange::None);
  EXPECT_EQ(limits.Rate(kServer, 6000), ServerLimits::kUnlimited);
  limits.OnAnswer(kServer, 3, 6000, 7000);
  EXPECT_EQ(limits.Merge({ kServer, 8, true, 6500 }, 7100), LimitChange::None);
  EXPECT_EQ(limits.Merge({ kServer, 20, false, 7010 }, 7100),
            LimitChange::None);
  EXPECT_EQ(limits.Rate(kServer, 7100), 3);
  EXPECT_EQ(limits.Merge({ kServer, 2, false, 7010 }, 7100),
            LimitChange::Changed);
}

// Guards against a limit that is kept although no answer has shown it for a
// long time.
TEST(ServerLimits, UnconfirmedLimitIsForgotten)
{
  ServerLimits limits;
  limits.OnAnswer(kServer, 1, 0, 1000);
  limits.Expire(1000 + ServerLimits::kForgetMs);
  EXPECT_EQ(limits.Rate(kServer, 1000 + ServerLimits::kForgetMs), 1);
  const TimeMs forgottenMs = 1000 + ServerLimits::kForgetMs + 10001;
  limits.Expire(forgottenMs);
  EXPECT_EQ(limits.Rate(kServer, forgottenMs + ServerLimits::kRecoveryMs),
            ServerLimits::kUnlimited);
  limits.Expire(forgottenMs + 120000);
  EXPECT_TRUE(limits.IsEmpty());
}

// Guards against moves of keys because of a short limit.
TEST(ServerLimits, ShortLimitDoesNotSettle)
{
  ServerLimits limits;
  limits.OnAnswer(kServer, 8, 0, 1000);
  EXPECT_EQ(limits.SettledRate(kServer, 1500), ServerLimits::kUnlimited);
  EXPECT_EQ(limits.SettledRate(kServer, 1000 + ServerLimits::kSettledMs), 8);
  ServerLimits brief;
  brief.OnAnswer(kServer, 8, 0, 1000);
  brief.OnAnswer(kServer, std::nullopt, 1001, 1500);
  EXPECT_EQ(brief.SettledRate(kServer, 4000), ServerLimits::kUnlimited);
}

// Guards against a state that depends on the order in which notices arrive: the
// newest one must be in force wherever it comes.
RC_GTEST_PROP(ServerLimitsProperty, NewestNoticeWins, ())
{
  constexpr TimeMs kStepMs = 100;
  const auto rates = *rc::gen::nonEmpty<std::vector<uint8_t>>();
  std::vector<LimitNotice> notices;
  for (size_t index = 0; index < rates.size(); ++index) {
    notices.push_back({ kServer,
                        1.0 + rates[index],
                        rates[index] % 4 == 0,
                        static_cast<TimeMs>(index + 1) * kStepMs });
  }
  const auto newest = notices.back();
  const TimeMs nowMs = newest.shownMs_ + kStepMs;
  auto order = notices;
  for (size_t index = order.size(); index > 1; --index) {
    std::swap(order[index - 1], order[*rc::gen::inRange<size_t>(0, index)]);
  }
  ServerLimits limits;
  std::ranges::for_each(
    order, [&](const LimitNotice& aNotice) { limits.Merge(aNotice, nowMs); });
  const auto known = limits.Find(kServer);
  RC_ASSERT(known.has_value());
  RC_ASSERT(known->ended_ == newest.ended_);
  RC_ASSERT(newest.ended_ || known->perSecond_ == newest.perSecond_);
}

}
}

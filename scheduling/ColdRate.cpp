#include "scheduling/ColdRate.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

constexpr double kSecondMs = 1000;

}

ColdRate::ColdRate(ColdLimits aLimits, double aShare, TimeMs aNowMs)
  : tokens_(0)
  , atMs_(aNowMs)
{
  // An empty bucket at the start: another process may have used up the limit
  // of this second.
  const double share = std::clamp(aShare, 0.0, 1.0);
  const double slack = std::max(aLimits.slack_, 0.0) * share;
  const double limit = std::max(aLimits.perSecond_, 0.0) * share + slack;
  size_ = std::clamp(slack, 1.0, std::max(1.0, limit / 2));
  perSecond_ = std::max(limit - size_, limit / 2);
}

bool ColdRate::TryTake(TimeMs aNowMs)
{
  const double tokens = Tokens(aNowMs);
  if (tokens < 1) {
    return false;
  }
  tokens_ = tokens - 1;
  atMs_ = std::max(atMs_, aNowMs);
  return true;
}

TimeMs ColdRate::WaitMs(TimeMs aNowMs) const
{
  const double missing = 1 - Tokens(aNowMs);
  if (missing <= 0) {
    return 0;
  }
  constexpr double kMaxWaitMs = 3600 * detail::kSecondMs;
  return static_cast<TimeMs>(std::ceil(std::min(
    kMaxWaitMs, missing * detail::kSecondMs / std::max(perSecond_, 1e-9))));
}

double ColdRate::Tokens(TimeMs aNowMs) const
{
  const auto ageMs = static_cast<double>(std::max<TimeMs>(0, aNowMs - atMs_));
  return std::min(size_, tokens_ + ageMs * perSecond_ / detail::kSecondMs);
}

}

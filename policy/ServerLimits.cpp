#include "policy/ServerLimits.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

/// Notices are dated by their age on arrival, without the time that they took.
/// One that raises or ends a limit must be newer by more than that.
constexpr TimeMs kNoticeDelayMs = 50;
/// A limit that has ended is remembered for this long, so that older notices of
/// it are recognized.
constexpr TimeMs kEndedMemoryMs = 60000;
/// Changes are told first during this time.
constexpr TimeMs kRecentMs = 1000;
/// Start of the recovery of servers with very low limits.
constexpr double kMinRecoveryRate = 1;
constexpr double kMsPerSecond = 1000;
constexpr size_t kMaxLimits = 4096;

}

LimitChange ServerLimits::Assign(State& aState,
                                 const LimitNotice& aNotice,
                                 TimeMs aNowMs)
{
  const auto before = aState.notice_;
  const bool isNew = aState.changedMs_ == 0;
  aState.notice_ = aNotice;
  if (aNotice.ended_) {
    if (isNew || before.ended_) {
      aState.changedMs_ = isNew ? aNowMs : aState.changedMs_;
      return LimitChange::None;
    }
    // The recovery starts at the rate that was in force.
    aState.notice_.perSecond_ = before.perSecond_;
    aState.changedMs_ = aNowMs;
    return LimitChange::Ended;
  }
  if (isNew || before.ended_) {
    aState.startedMs_ = aState.changedMs_ = aNowMs;
    return LimitChange::Started;
  }
  if (before.perSecond_ == aNotice.perSecond_) {
    return LimitChange::None;
  }
  aState.changedMs_ = aNowMs;
  return LimitChange::Changed;
}

LimitChange ServerLimits::OnAnswer(uint32_t aServer,
                                   std::optional<double> aNamed,
                                   TimeMs aSentMs,
                                   TimeMs aNowMs)
{
  const auto found = limits_.find(aServer);
  if (found == limits_.end()) {
    if (!aNamed || limits_.size() >= detail::kMaxLimits) {
      return LimitChange::None;
    }
    return Assign(
      limits_[aServer], { aServer, *aNamed, false, aNowMs }, aNowMs);
  }
  auto& state = found->second;
  const auto& known = state.notice_;
  if (!aNamed) {
    const bool ends = !known.ended_ && aSentMs > known.shownMs_;
    return ends ? Assign(
                    state, { aServer, known.perSecond_, true, aNowMs }, aNowMs)
                : LimitChange::None;
  }
  const bool raises = !known.ended_ && *aNamed > known.perSecond_;
  if (raises && aSentMs <= known.shownMs_) {
    return LimitChange::None;
  }
  return Assign(state, { aServer, *aNamed, false, aNowMs }, aNowMs);
}

LimitChange ServerLimits::Merge(const LimitNotice& aNotice, TimeMs aNowMs)
{
  const auto found = limits_.find(aNotice.server_);
  if (found == limits_.end()) {
    return limits_.size() >= detail::kMaxLimits
             ? LimitChange::None
             : Assign(limits_[aNotice.server_], aNotice, aNowMs);
  }
  auto& state = found->second;
  const auto& known = state.notice_;
  const bool relaxes =
    !known.ended_ && (aNotice.ended_ || aNotice.perSecond_ > known.perSecond_);
  const bool isNewer =
    aNotice.shownMs_ > known.shownMs_ + (relaxes ? detail::kNoticeDelayMs : 0);
  return isNewer ? Assign(state, aNotice, aNowMs) : LimitChange::None;
}

double ServerLimits::Rate(uint32_t aServer, TimeMs aNowMs) const
{
  const auto found = limits_.find(aServer);
  if (found == limits_.end()) {
    return kUnlimited;
  }
  const auto& state = found->second;
  if (!state.notice_.ended_) {
    return state.notice_.perSecond_;
  }
  const TimeMs endedForMs = aNowMs - state.changedMs_;
  if (endedForMs >= kRecoveryMs || state.startedMs_ == 0) {
    return kUnlimited;
  }
  const double doublings = static_cast<double>(endedForMs) / kDoublingMs;
  return std::max(state.notice_.perSecond_, detail::kMinRecoveryRate) *
         std::exp2(doublings);
}

double ServerLimits::SettledRate(uint32_t aServer, TimeMs aNowMs) const
{
  const auto found = limits_.find(aServer);
  if (found == limits_.end()) {
    return kUnlimited;
  }
  const auto& state = found->second;
  const TimeMs untilMs = state.notice_.ended_ ? state.changedMs_ : aNowMs;
  return untilMs - state.startedMs_ < kSettledMs ? kUnlimited
                                                 : Rate(aServer, aNowMs);
}

std::vector<LimitNotice> ServerLimits::TakeNotices(size_t aMaxCount,
                                                   TimeMs aNowMs)
{
  if (limits_.empty()) {
    return {};
  }
  std::vector<State*> states;
  std::ranges::transform(limits_, std::back_inserter(states), [](auto& aEntry) {
    return &aEntry.second;
  });
  const auto count = std::min(aMaxCount, states.size());
  std::ranges::partial_sort(
    states,
    states.begin() + static_cast<ptrdiff_t>(count),
    [&](const State* aLeft, const State* aRight) {
      const auto isRecent = [&](const State* aState) {
        return aNowMs - aState->changedMs_ < detail::kRecentMs;
      };
      return isRecent(aLeft) != isRecent(aRight)
               ? isRecent(aLeft)
               : aLeft->sentInRound_ < aRight->sentInRound_;
    });
  states.resize(count);
  ++round_;
  std::vector<LimitNotice> notices;
  std::ranges::transform(
    states, std::back_inserter(notices), [&](State* aState) {
      aState->sentInRound_ = round_;
      return aState->notice_;
    });
  return notices;
}

std::optional<LimitNotice> ServerLimits::Find(uint32_t aServer) const
{
  const auto found = limits_.find(aServer);
  return found == limits_.end() ? std::nullopt
                                : std::optional(found->second.notice_);
}

void ServerLimits::Expire(TimeMs aNowMs)
{
  for (auto& [server, state] : limits_) {
    const auto& notice = state.notice_;
    const double idleMs = static_cast<double>(aNowMs - notice.shownMs_);
    if (!notice.ended_ && idleMs > kForgetMs + kForgetRequests /
                                                 notice.perSecond_ *
                                                 detail::kMsPerSecond) {
      Assign(state, { server, notice.perSecond_, true, aNowMs }, aNowMs);
    }
  }
  std::erase_if(limits_, [&](const auto& aEntry) {
    const auto& state = aEntry.second;
    return state.notice_.ended_ &&
           aNowMs - state.changedMs_ > detail::kEndedMemoryMs;
  });
}

}

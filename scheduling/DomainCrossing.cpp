#include "scheduling/DomainCrossing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace cactuspitch {

namespace detail {

/// A domain is short from the first utilization on, until it is below the
/// second one.
constexpr double kShortUtilization = 1;
constexpr double kRelaxedUtilization = 0.95;
/// Time from the last summary that says that a domain is short until it becomes
/// a target: one interval of summaries, in which it may still send requests
/// away, and the shortest time between flows in opposite directions.
constexpr TimeMs kHoldMs = 300;
/// Time for the summary that says that a domain is short to reach the others
/// before it sends requests away.
constexpr TimeMs kSettleMs = 20;
constexpr double kMinLimit = 0.25;
constexpr double kMaxCredit = 1e5;
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

bool IsValid(const SlotSummary& aSummary)
{
  const auto isAmount = [](double aValue) {
    return std::isfinite(aValue) && aValue >= 0;
  };
  return aSummary.domain_ != 0 && isAmount(aSummary.freeSlots_) &&
         isAmount(aSummary.utilization_) && aSummary.waitMs_ >= 0;
}

bool IsShort(const SlotSummary& aSummary, bool aWasShort)
{
  return aSummary.freeSlots_ < 1 ||
         aSummary.utilization_ >=
           (aWasShort ? kRelaxedUtilization : kShortUtilization);
}

double MaxCostMs(const CrossingOptions& aOptions,
                 const CrossingRequest& aRequest)
{
  return static_cast<double>(aRequest.objectiveMs_) * aOptions.maxCostShare_;
}

double CostOfBytesMs(const CrossingOptions& aOptions,
                     const CrossingRequest& aRequest)
{
  constexpr double kBytesPerKb = 1024;
  return static_cast<double>(aRequest.bytes_) / kBytesPerKb * aOptions.msPerKb_;
}

double CostMs(const CrossingOptions& aOptions, const CrossingRequest& aRequest)
{
  return std::max(
    aOptions.minCostMs_,
    std::min(CostOfBytesMs(aOptions, aRequest), MaxCostMs(aOptions, aRequest)));
}

}

DomainCrossing::DomainCrossing(CrossingOptions aOptions,
                               uint32_t aDomain,
                               uint32_t aSeed)
  : options_(aOptions)
  , domain_(aDomain)
  , random_(aSeed)
{
}

void DomainCrossing::OnSummary(const SlotSummary& aSummary, TimeMs aNowMs)
{
  if (!detail::IsValid(aSummary)) {
    return;
  }
  std::erase_if(domains_, [&](const auto& aEntry) {
    return !IsFresh(aEntry.second, aNowMs);
  });
  const auto [entry, isNew] = domains_.try_emplace(aSummary.domain_);
  Domain& domain = entry->second;
  const bool wasShort = domain.isShort_;
  domain.summary_ = aSummary;
  domain.atMs_ = aNowMs;
  domain.isShort_ = detail::IsShort(aSummary, wasShort);
  if (domain.isShort_ && !wasShort) {
    domain.shortSinceMs_ = aNowMs;
  }
  // A domain that was silent may have been short.
  if (domain.isShort_ || isNew) {
    domain.heldUntilMs_ = aNowMs + detail::kHoldMs;
  }
  if (isNew) {
    domain.limit_ = detail::kNoLimit;
  } else if (!domain.returned_) {
    domain.limit_ *= 2;
  }
  domain.returned_ = false;
  domain.sent_ = 0;
  domain.recentSent_ /= 2;
  domain.credit_ = Credit(domain, aNowMs);
}

uint32_t DomainCrossing::Choose(const CrossingRequest& aRequest, TimeMs aNowMs)
{
  if (!aRequest.noLocalServer_ && !MayLeave(aNowMs)) {
    return 0;
  }
  const auto creditOf = [&](const Domain& aTarget) {
    return IsTarget(aTarget, aNowMs) && Pays(aRequest, aTarget)
             ? aTarget.credit_
             : 0;
  };
  int credit = 0;
  for (const auto& [id, domain] : domains_) {
    credit += creditOf(domain);
  }
  if (credit == 0) {
    auto* roomiest = aRequest.noLocalServer_ ? Roomiest(aNowMs) : nullptr;
    return roomiest == nullptr ? 0 : Send(*roomiest);
  }
  // By credit at random: the best one for all would be flooded.
  int chosen = std::uniform_int_distribution(1, credit)(random_);
  for (auto& [id, domain] : domains_) {
    chosen -= creditOf(domain);
    if (chosen <= 0) {
      return Send(domain);
    }
  }
  return 0;
}

void DomainCrossing::OnReturned(uint32_t aDomain, TimeMs aNowMs)
{
  const auto found = domains_.find(aDomain);
  if (found == domains_.end() || !IsFresh(found->second, aNowMs)) {
    return;
  }
  auto& domain = found->second;
  if (!domain.returned_) {
    domain.limit_ = std::max(detail::kMinLimit,
                             std::min(domain.limit_, domain.recentSent_) / 2);
  }
  domain.returned_ = true;
  domain.credit_ = 0;
}

bool DomainCrossing::IsFresh(const Domain& aDomain, TimeMs aNowMs) const
{
  return aNowMs - aDomain.atMs_ <= options_.validMs_;
}

bool DomainCrossing::IsTarget(const Domain& aDomain, TimeMs aNowMs) const
{
  return aDomain.summary_.domain_ != domain_ && !aDomain.isShort_ &&
         IsFresh(aDomain, aNowMs) && aNowMs >= aDomain.heldUntilMs_;
}

bool DomainCrossing::MayLeave(TimeMs aNowMs) const
{
  // Choose() is called for requests without room, so that a domain without a
  // valid summary of its own counts as short.
  const auto own = domains_.find(domain_);
  return own == domains_.end() || !IsFresh(own->second, aNowMs) ||
         (own->second.isShort_ &&
          aNowMs - own->second.shortSinceMs_ >= detail::kSettleMs);
}

bool DomainCrossing::Pays(const CrossingRequest& aRequest,
                          const Domain& aTarget) const
{
  if (aRequest.noLocalServer_) {
    return true;
  }
  const double localMs = static_cast<double>(aRequest.localWaitMs_);
  const double targetMs = static_cast<double>(aTarget.summary_.waitMs_);
  const double leftMs = static_cast<double>(aRequest.objectiveLeftMs_);
  // Bytes that cost more than the objective is worth don't cross for it.
  const bool isRescued = localMs > leftMs &&
                         targetMs + options_.minCostMs_ <= leftMs &&
                         detail::CostOfBytesMs(options_, aRequest) <=
                           detail::MaxCostMs(options_, aRequest);
  return isRescued || localMs > targetMs + detail::CostMs(options_, aRequest);
}

int DomainCrossing::Credit(const Domain& aTarget, TimeMs aNowMs)
{
  const auto others = std::ranges::count_if(domains_, [&](const auto& aEntry) {
    return aEntry.first != domain_ && aEntry.second.isShort_ &&
           IsFresh(aEntry.second, aNowMs);
  });
  const double part =
    std::min({ aTarget.summary_.freeSlots_ / static_cast<double>(1 + others),
               aTarget.limit_,
               detail::kMaxCredit });
  // Rounded at random, so that a part below one slot is used by some domain.
  return static_cast<int>(
    part + std::uniform_real_distribution<double>(0, 1)(random_));
}

DomainCrossing::Domain* DomainCrossing::Roomiest(TimeMs aNowMs)
{
  const auto rankOf = [](const Domain& aDomain) {
    return std::tuple{ std::min(aDomain.summary_.freeSlots_, aDomain.limit_) -
                         aDomain.sent_,
                       -aDomain.summary_.waitMs_ };
  };
  Domain* best = nullptr;
  for (auto& [id, domain] : domains_) {
    if (id != domain_ && IsFresh(domain, aNowMs) &&
        (best == nullptr || rankOf(domain) > rankOf(*best))) {
      best = &domain;
    }
  }
  return best;
}

uint32_t DomainCrossing::Send(Domain& aTarget)
{
  aTarget.credit_ = std::max(0, aTarget.credit_ - 1);
  ++aTarget.sent_;
  ++aTarget.recentSent_;
  return aTarget.summary_.domain_;
}

}

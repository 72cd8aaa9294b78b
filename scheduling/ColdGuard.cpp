#include "scheduling/ColdGuard.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

uint64_t GuardRank(uint32_t aGateway, uint32_t aServer)
{
  const std::array<uint32_t, 2> pair{ aGateway, aServer };
  return XXH3_64bits(pair.data(), sizeof pair);
}

}

ColdGuard::ColdGuard(uint32_t aGateway)
  : gateway_(aGateway)
{
}

void ColdGuard::SetGateways(std::vector<uint32_t> aGateways)
{
  aGateways.push_back(gateway_);
  std::ranges::sort(aGateways);
  aGateways.erase(std::unique(aGateways.begin(), aGateways.end()),
                  aGateways.end());
  if (aGateways == gateways_) {
    return;
  }
  gateways_ = std::move(aGateways);
  for (auto& [id, server] : servers_) {
    server.quota_ = Quota(id, server.limits_);
  }
}

size_t ColdGuard::Quota(uint32_t aServer, const ColdLimits& aLimits) const
{
  if (gateways_.empty()) {
    return 0; // not known yet
  }
  const auto total = static_cast<size_t>(
    std::max(0.0, (aLimits.perSecond_ + aLimits.slack_) * kShare));
  const auto own = std::pair(detail::GuardRank(gateway_, aServer), gateway_);
  const auto before =
    static_cast<size_t>(std::ranges::count_if(gateways_, [&](uint32_t aOther) {
      return std::pair(detail::GuardRank(aOther, aServer), aOther) < own;
    }));
  return total / gateways_.size() + (before < total % gateways_.size() ? 1 : 0);
}

ColdGuard::Server& ColdGuard::Find(uint32_t aServer,
                                   const ColdLimits& aLimits,
                                   TimeMs aNowMs)
{
  auto& server = servers_[aServer];
  if (server.limits_.perSecond_ != aLimits.perSecond_ ||
      server.limits_.slack_ != aLimits.slack_) {
    server.limits_ = aLimits;
    server.quota_ = Quota(aServer, aLimits);
  }
  while (!server.sentMs_.empty() &&
         server.sentMs_.front() + kWindowMs <= aNowMs) {
    server.sentMs_.pop_front();
  }
  return server;
}

bool ColdGuard::MaySend(uint32_t aServer,
                        const ColdLimits& aLimits,
                        TimeMs aNowMs)
{
  const auto& server = Find(aServer, aLimits, aNowMs);
  return server.sentMs_.size() < server.quota_;
}

void ColdGuard::OnSent(uint32_t aServer,
                       const ColdLimits& aLimits,
                       TimeMs aNowMs)
{
  Find(aServer, aLimits, aNowMs).sentMs_.push_back(aNowMs);
}

TimeMs ColdGuard::WaitMs(uint32_t aServer,
                         const ColdLimits& aLimits,
                         TimeMs aNowMs)
{
  const auto& server = Find(aServer, aLimits, aNowMs);
  if (server.sentMs_.size() < server.quota_) {
    return 0;
  }
  if (server.quota_ == 0) {
    return kWindowMs;
  }
  const auto frees = server.sentMs_.size() - server.quota_;
  return server.sentMs_[frees] + kWindowMs - aNowMs;
}

void ColdGuard::Expire(TimeMs aNowMs)
{
  std::erase_if(servers_, [aNowMs](const auto& aEntry) {
    const auto& sentMs = aEntry.second.sentMs_;
    return sentMs.empty() || sentMs.back() + kWindowMs <= aNowMs;
  });
}

}

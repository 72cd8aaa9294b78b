#include "scheduling/BrokerChoice.hpp"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

template<size_t N>
uint64_t Score(const std::array<uint32_t, N>& aWords)
{
  return XXH64(aWords.data(), sizeof aWords, 0);
}

}

std::optional<uint32_t> ChooseBroker(
  const std::vector<BrokerCandidate>& aCandidates,
  uint32_t aService,
  uint32_t aDomain,
  std::optional<uint32_t> aExcept)
{
  const bool hasOwn =
    std::ranges::any_of(aCandidates, [&](const BrokerCandidate& aCandidate) {
      return aCandidate.domain_ == aDomain && aCandidate.gateway_ != aExcept;
    });
  const BrokerCandidate* best = nullptr;
  uint64_t bestScore = 0;
  for (const auto& candidate : aCandidates) {
    if ((hasOwn && candidate.domain_ != aDomain) ||
        candidate.gateway_ == aExcept) {
      continue;
    }
    // Without the domain, one gateway would get all domains of the service that
    // have none.
    const auto score = detail::Score(std::array<uint32_t, 3>{
      candidate.gateway_, aService, hasOwn ? 0 : aDomain });
    const bool isBetter =
      best == nullptr || candidate.cpuPercent_ > best->cpuPercent_ ||
      (candidate.cpuPercent_ == best->cpuPercent_ &&
       (score > bestScore ||
        (score == bestScore && candidate.gateway_ < best->gateway_)));
    if (isBetter) {
      best = &candidate;
      bestScore = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->gateway_);
}

}

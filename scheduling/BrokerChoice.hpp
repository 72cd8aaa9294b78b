#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Gateway that could be a broker.
struct BrokerCandidate
{
  uint32_t gateway_ = 0; ///< hash of its name
  uint32_t domain_ = 0;  ///< hash of its failure domain
  int cpuPercent_ = 100;
};

/// The gateway that schedules the slots of a service in a failure domain: of
/// the domain's gateways with the most CPU, the one that a hash of gateway and
/// service puts first. A domain without gateways is scheduled by one of another
/// domain. All gateways with the same view choose the same; those with another
/// view may choose another broker, which costs accuracy and nothing else.
/// Without the broker (aExcept), its deputy is chosen.
std::optional<uint32_t> ChooseBroker(
  const std::vector<BrokerCandidate>& aCandidates,
  uint32_t aService,
  uint32_t aDomain,
  std::optional<uint32_t> aExcept = {});

}

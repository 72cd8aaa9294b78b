#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cactuspitch {

/// Gateway as a target of datagrams.
struct BroadcastTarget
{
  std::string name_;
  std::string domain_; ///< failure domain; empty if unknown
  int cpuPercent_ = 0;
  bool alive_ = false;
};

/// Targets of a datagram that is meant for all gateways, by their index.
struct BroadcastPlan
{
  std::vector<size_t> direct_; ///< receive it without forwarding it
  std::vector<size_t> relays_; ///< forward it within their failure domain
};

/// Up to this many gateways send each other all datagrams directly.
constexpr size_t kMaxDirectGateways = 16;
/// Relays in each other failure domain, so that the loss of one has no effect.
constexpr size_t kRelaysPerDomain = 2;

/// Plans the distribution of a datagram to all gateways. It is sent to each
/// gateway of the own failure domain and, in every other domain, to the largest
/// live gateways, which forward it. The traffic between domains therefore
/// doesn't grow with the size of a domain. Does no I/O.
BroadcastPlan PlanBroadcast(const std::string& aOwnDomain,
                            const std::vector<BroadcastTarget>& aMembers);

}

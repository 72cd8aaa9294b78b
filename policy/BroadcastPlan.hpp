#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cactuspitch {

/// A gateway as a target of datagrams.
struct BroadcastTarget
{
  std::string name_;
  std::string domain_; ///< empty while it is not known
  int cpuPercent_ = 0;
  bool alive_ = false;
};

/// Where a datagram for all gateways goes.
struct BroadcastPlan
{
  std::vector<size_t> direct_; ///< indices of members
  std::vector<size_t> relays_; ///< pass it on within their failure domain
};

/// Up to this many gateways tell each other everything directly.
constexpr size_t kMaxDirectGateways = 16;
/// Relays of each foreign failure domain: the loss of one is not noticed.
constexpr size_t kRelaysPerDomain = 2;

/// A datagram for all members goes to each one of the own failure domain, and
/// to the largest living ones of each other domain, which pass it on: what
/// crosses between domains does not grow with the size of a domain. Pure.
BroadcastPlan PlanBroadcast(const std::string& aOwnDomain,
                            const std::vector<BroadcastTarget>& aMembers);

}

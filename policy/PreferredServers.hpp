#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Name and failure domain of a gateway or backend server.
using NodeLocation = std::pair<std::string, std::string>;

/// Deterministic subset of the backend servers of a service that the gateway
/// aSelf prefers. A gateway knows the load of a server exactly if it is nearly
/// the only one to use it, while it learns little of the requests of other
/// gateways. The servers of a failure domain are distributed evenly over the
/// gateways of that domain; servers of domains without a gateway are
/// distributed over all gateways. Every gateway computes the same distribution.
std::set<std::string> PreferredServers(const std::string& aSelf,
                                       std::vector<NodeLocation> aGateways,
                                       std::vector<NodeLocation> aServers);

}

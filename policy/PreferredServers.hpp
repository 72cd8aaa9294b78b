#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Name and failure domain of a gateway or a backend server.
using NodeLocation = std::pair<std::string, std::string>;

/// Backend servers of a service that a gateway prefers. Gateways see little of
/// each other's requests; a server that one gateway mostly uses alone has a
/// load that this gateway knows exactly. Gateways and servers of a failure
/// domain are dealt to each other; servers in domains without a gateway go to
/// all gateways in turn. Every gateway computes the same result.
std::set<std::string> PreferredServers(const std::string& aSelf,
                                       std::vector<NodeLocation> aGateways,
                                       std::vector<NodeLocation> aServers);

}

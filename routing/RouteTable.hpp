#pragma once

#include "routing/RoutingConfig.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Finds the route of a request and distributes the requests of a split route
/// over its targets. A new table is built for each configuration.
class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  const RoutingConfig& Config() const { return config_; }
  /// Route of the host with the longest matching path prefix; null if none
  /// matches. aHost may include a port, aTarget a query.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  /// Next target of the route by smooth weighted round-robin, which keeps the
  /// shares exact over any sequence of requests.
  const RouteTarget& NextTarget(const Route& aRoute);
  /// Settings of a service; null if it is not configured.
  const ServiceSpec* Service(const std::string& aName) const;

private:
  RoutingConfig config_;
  /// Route index by the lower-case host followed by the path prefix.
  std::unordered_map<std::string, size_t> routeByHostAndPrefix_;
  /// Current weights of the round-robin, by target.
  std::unordered_map<const Route*, std::vector<double>> currentWeights_;
};

}

#pragma once

#include "routing/RoutingConfig.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Finds the route of a request and deals the requests of a split route to its
/// targets. Built anew for each configuration.
class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  const RoutingConfig& Config() const { return config_; }
  /// Longest prefix among the routes of the host; null when none matches.
  /// aHost may carry a port, aTarget a query.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  /// Takes the next target of the route by smooth weighted round-robin, which
  /// keeps the shares exact over any run of requests.
  const RouteTarget& NextTarget(const Route& aRoute);
  const ServiceSpec* Service(const std::string& aName) const;

private:
  RoutingConfig config_;
  /// Key is the host in lower case followed by the prefix.
  std::unordered_map<std::string, size_t> routeByHostAndPrefix_;
  std::unordered_map<const Route*, std::vector<double>> credit_;
};

}

#include "routing/RouteTable.hpp"

#include "common/Strings.hpp"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace cactuspitch {

namespace detail {

std::string NormalizedHost(std::string_view aHost)
{
  const auto colon = aHost.rfind(':');
  if (colon != std::string_view::npos) {
    aHost = aHost.substr(0, colon);
  }
  return absl::AsciiStrToLower(ToAbsl(aHost));
}

}

RouteTable::RouteTable(RoutingConfig aConfig)
  : config_(std::move(aConfig))
{
  for (size_t index = 0; index < config_.routes_.size(); ++index) {
    const auto& route = config_.routes_[index];
    routeByHostAndPrefix_.emplace(
      detail::NormalizedHost(route.host_) + route.pathPrefix_, index);
  }
}

const Route* RouteTable::Find(std::string_view aHost,
                              std::string_view aTarget) const
{
  const auto path = aTarget.substr(0, aTarget.find_first_of("?#"));
  const auto host = detail::NormalizedHost(aHost);
  std::string key;
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    key.assign(host).append(path.substr(0, slash + 1));
    const auto found = routeByHostAndPrefix_.find(key);
    if (found != routeByHostAndPrefix_.end()) {
      return &config_.routes_[found->second];
    }
  }
  return nullptr;
}

const RouteTarget& RouteTable::NextTarget(const Route& aRoute)
{
  const auto& targets = aRoute.targets_;
  if (targets.size() == 1) {
    return targets.front();
  }
  auto& weights = currentWeights_[&aRoute];
  weights.resize(targets.size(), 0);
  double total = 0;
  for (size_t index = 0; index < targets.size(); ++index) {
    weights[index] += targets[index].weight_;
    total += targets[index].weight_;
  }
  const auto best = std::ranges::max_element(weights);
  *best -= total;
  return targets[best - weights.begin()];
}

const ServiceSpec* RouteTable::Service(const std::string& aName) const
{
  const auto found = config_.services_.find(aName);
  return found == config_.services_.end() ? nullptr : &found->second;
}

}

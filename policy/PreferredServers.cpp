#include "policy/PreferredServers.hpp"

#include <algorithm>
#include <map>

namespace cactuspitch {

namespace detail {

using Names = std::vector<std::string>;

void Distribute(const std::string& aSelf,
                const Names& aGateways,
                const Names& aServers,
                std::set<std::string>& aResult)
{
  const auto self = std::ranges::find(aGateways, aSelf);
  if (self == aGateways.end() || aServers.empty()) {
    return;
  }
  const auto rank = static_cast<size_t>(self - aGateways.begin());
  if (aServers.size() < aGateways.size()) {
    aResult.insert(aServers[rank % aServers.size()]);
    return;
  }
  for (size_t index = rank; index < aServers.size();
       index += aGateways.size()) {
    aResult.insert(aServers[index]);
  }
}

}

std::set<std::string> PreferredServers(const std::string& aSelf,
                                       std::vector<NodeLocation> aGateways,
                                       std::vector<NodeLocation> aServers)
{
  std::ranges::sort(aGateways);
  std::ranges::sort(aServers);
  std::map<std::string, detail::Names> gateways;
  detail::Names allGateways;
  for (const auto& [name, domain] : aGateways) {
    gateways[domain].push_back(name);
    allGateways.push_back(name);
  }
  std::map<std::string, detail::Names> servers;
  for (const auto& [name, domain] : aServers) {
    servers[gateways.contains(domain) ? domain : std::string()].push_back(name);
  }
  std::set<std::string> result;
  for (const auto& [domain, names] : servers) {
    detail::Distribute(
      aSelf, domain.empty() ? allGateways : gateways[domain], names, result);
  }
  return result;
}

}

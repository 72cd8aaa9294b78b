#include "FleetDirectory.hpp"

#include "common/Strings.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

absl::StatusOr<InstanceEntry> ParseInstance(const std::string& aJson)
{
  InstanceEntry entry;
  try {
    const auto json = nlohmann::json::parse(aJson);
    json.at("id").get_to(entry.id_);
    json.at("failureDomain").get_to(entry.failureDomain_);
    entry.live_ = json.value("state", "live") == "live";
    entry.assigner_ = json.value("assigner", "");
    entry.router_ = json.value("router", "");
  } catch (const nlohmann::json::exception& failure) {
    return absl::InvalidArgumentError(Concat("instance: ", failure.what()));
  }
  return entry;
}

absl::StatusOr<ServerEntry> ParseServer(const std::string& aJson)
{
  ServerEntry entry;
  auto& record = entry.record_;
  try {
    const auto json = nlohmann::json::parse(aJson);
    json.at("id").get_to(record.id_);
    json.at("service").get_to(entry.service_);
    json.at("address").get_to(record.address_);
    record.failureDomain_ = json.value("failureDomain", "");
    record.draining_ = json.value("state", "live") != "live";
    record.slots_ = json.value("slots", 1);
    record.connections_ = json.value("connections", 1);
    // A server that does not declare the fence check is assumed not to check.
    record.checksFence_ = json.value("checksFence", false);
  } catch (const nlohmann::json::exception& failure) {
    return absl::InvalidArgumentError(Concat("server: ", failure.what()));
  }
  return entry;
}

void FleetDirectory::SetInstances(std::vector<InstanceEntry> aInstances)
{
  std::map<std::string, InstanceEntry> next;
  for (auto& instance : aInstances) {
    next[instance.id_] = std::move(instance);
  }
  const std::lock_guard lock(mutex_);
  instances_ = std::move(next);
}

std::vector<CandidateRecord> FleetDirectory::Candidates() const
{
  const std::lock_guard lock(mutex_);
  std::vector<CandidateRecord> candidates;
  for (const auto& [id, instance] : instances_) {
    if (instance.live_ && !instance.assigner_.empty()) {
      candidates.push_back({ id, instance.failureDomain_ });
    }
  }
  return candidates;
}

std::string FleetDirectory::AssignerAddress(const std::string& aInstance) const
{
  const std::lock_guard lock(mutex_);
  const auto found = instances_.find(aInstance);
  return found == instances_.end() ? std::string() : found->second.assigner_;
}

std::vector<std::string> FleetDirectory::RouterAddresses() const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> addresses;
  for (const auto& [id, instance] : instances_) {
    if (instance.live_ && !instance.router_.empty()) {
      addresses.push_back(instance.router_);
    }
  }
  return addresses;
}

}

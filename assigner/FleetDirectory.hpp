#pragma once

#include "control/GroupController.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

/// Instance in the platform's list.
struct InstanceEntry
{
  std::string id_;
  std::string failureDomain_;
  bool live_ = true;
  std::string assigner_; ///< Thrift address
  std::string router_;   ///< Thrift address
};

absl::StatusOr<InstanceEntry> ParseInstance(const std::string& aJson);

/// Backend server in the platform's list, with the service it belongs to.
struct ServerEntry
{
  std::string service_;
  BackendServerRecord record_;
};

absl::StatusOr<ServerEntry> ParseServer(const std::string& aJson);

/// Addresses of the instances, from the platform's list, which lags behind.
/// Safe to use from any thread.
class FleetDirectory
{
public:
  void SetInstances(std::vector<InstanceEntry> aInstances);
  std::vector<CandidateRecord> Candidates() const;
  /// Thrift address of the instance's assigner; empty when unknown.
  std::string AssignerAddress(const std::string& aInstance) const;
  std::vector<std::string> RouterAddresses() const;

private:
  mutable std::mutex mutex_;
  std::map<std::string, InstanceEntry> instances_;
};

}

#pragma once

#include "ProcessFleet.hpp"
#include "ReservedPort.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

struct DeployedService
{
  std::string name_;
  int backends_ = 3;
  int slots_ = 5;
  bool checksFence_ = true;
  int64_t serviceUs_ = 1000;
  /// Additional command-line flags of each backend server.
  std::vector<std::string> flags_ = {};
};

struct DeploymentOptions
{
  int instances_ = 3;
  std::vector<std::string> failureDomains_ = { "cairo-a", "cairo-b", "giza-a" };
  std::vector<DeployedService> services_;
  bool withAdmin_ = false;
  /// Processes that are reached through a fault-injecting proxy (standin-cut),
  /// e.g. "b-ledger-0" or "store".
  std::vector<std::string> cuts_ = {};
  std::vector<std::string> routerFlags_ = {};
  std::vector<std::string> assignerFlags_ = {};
  std::vector<std::string> adminFlags_ = {};
};

/// A complete deployment on the loopback interface: a store, backend servers
/// and instances, each with a router, an assigner and optionally an admin
/// server. Process names: store, b-{service}-{n}, router-{n}, assigner-{n},
/// admin-{n}, cut-{name}.
class Deployment
{
public:
  Deployment(std::string aBinaryDir, DeploymentOptions aOptions);

  /// Starts all processes and waits up to 15 s until every router serves every
  /// service. Returns an empty string, or what isn't ready.
  std::string Start();
  /// Each starts one process, e.g. again after it was killed.
  void LaunchRouter(int aIndex);
  void LaunchAssigner(int aIndex);
  void LaunchAdmin(int aIndex);
  void LaunchBackend(const std::string& aName);

  ProcessFleet& Fleet() { return fleet_; }
  /// HTTP addresses of the routers.
  std::vector<std::string> Routers() const;
  std::string StoreAddress() const { return Address("store"); }
  std::string AdminAddress(int aIndex) const;
  std::string AssignerRpc(int aIndex) const;
  /// Address of the process itself, which bypasses its proxy.
  std::string Address(const std::string& aName) const;
  std::vector<std::string> BackendNames(const std::string& aService) const;
  std::string HistoryFile(const std::string& aBackend) const;
  /// Sets the mode (see ProxyMode) of the proxy in front of a process, or makes
  /// its open connections silent with "silence-open". Returns false if the
  /// proxy didn't accept the call.
  bool SetCutMode(const std::string& aName, const std::string& aMode);
  /// Sends the fault settings to the store; false if it didn't accept them.
  bool SetStoreFault(const std::string& aJson);

private:
  /// The address that other processes use: that of the proxy if there is one.
  std::string PublicAddress(const std::string& aName) const;
  const ReservedPort& Port(const std::string& aName);
  void LaunchCut(const std::string& aName);
  void RegisterInstance(int aIndex);
  /// Settings for all programs. They are passed as environment variables, since
  /// a program ignores variables for settings that it doesn't have.
  ProcessFleet::Environment CommonSettings(const std::string& aRole,
                                           int aIndex) const;
  std::string AssignerList() const;
  std::string FailureDomain(int aIndex) const;
  /// Sends one request to the service through the router. Returns an empty
  /// string if the response is complete, else a line with the error.
  std::string Probe(const std::string& aRouter,
                    const std::string& aService) const;

  const std::string binaryDir_;
  const DeploymentOptions options_;
  std::map<std::string, ReservedPort> ports_;
  std::map<std::string, DeployedService> backends_;
  ProcessFleet fleet_;
};

}

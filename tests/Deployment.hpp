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
  /// Further flags of each backend server.
  std::vector<std::string> flags_ = {};
};

struct DeploymentOptions
{
  int instances_ = 3;
  std::vector<std::string> failureDomains_ = { "cairo-a", "cairo-b", "giza-a" };
  std::vector<DeployedService> services_;
  bool withAdmin_ = false;
  /// Puts a standin-cut in front of each named address, e.g. "b-ledger-0" or
  /// "store".
  std::vector<std::string> cuts_ = {};
  std::vector<std::string> routerFlags_ = {};
  std::vector<std::string> assignerFlags_ = {};
  std::vector<std::string> adminFlags_ = {};
};

/// A whole deployment on loopback: store, backend servers and entry instances
/// with router, assigner and admin. Process names: store, b-{service}-{n},
/// router-{n}, assigner-{n}, admin-{n}, cut-{name}.
class Deployment
{
public:
  Deployment(std::string aBinaryDir, DeploymentOptions aOptions);

  /// Starts everything and waits until every router takes traffic for every
  /// service; an empty text, or what is missing.
  std::string Start();
  /// Starts the processes of one instance, e.g. after a kill.
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
  /// Address by process name, without a cut in front.
  std::string Address(const std::string& aName) const;
  std::vector<std::string> BackendNames(const std::string& aService) const;
  std::string HistoryFile(const std::string& aBackend) const;
  /// Sets the mode of the cut in front of a process; see LinkMode.
  bool SetCutMode(const std::string& aName, const std::string& aMode);
  bool SetStoreFault(const std::string& aJson);

private:
  /// The address that others are given: of the cut where there is one.
  std::string PublicAddress(const std::string& aName) const;
  const ReservedPort& Port(const std::string& aName);
  void LaunchCut(const std::string& aName);
  void RegisterInstance(int aIndex);
  /// Settings that all programs share, as environment variables, because a
  /// program ignores variables of settings that it does not have.
  ProcessFleet::Environment CommonSettings(const std::string& aRole,
                                           int aIndex) const;
  std::string AssignerList() const;
  std::string FailureDomain(int aIndex) const;
  /// One request through the router of the service; empty when answered.
  std::string Probe(const std::string& aRouter,
                    const std::string& aService) const;

  const std::string binaryDir_;
  const DeploymentOptions options_;
  std::map<std::string, ReservedPort> ports_;
  std::map<std::string, DeployedService> backends_;
  ProcessFleet fleet_;
};

}

#pragma once

#include "common/Findings.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "net/TcpStream.hpp"
#include "scheduling/DomainCrossing.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Validated settings of a gateway.
struct GatewaySettings
{
  std::string instance_;
  std::string failureDomain_;
  Endpoint listen_;        ///< requests of callers
  Endpoint readyListen_;   ///< health checks of the load balancer
  Endpoint peerListen_;    ///< datagrams of other gateways
  Endpoint metricsListen_; ///< metrics scrapers
  Endpoint store_;
  double retryRatio_ = 0; ///< retries allowed per request
  /// Additional retries in 10 s, shared by all gateways.
  double retryExtra_ = 0;
  TimeMs graceMs_ = 0;   ///< from SIGTERM to the exit of the process
  TimeMs maxHoldMs_ = 0; ///< longest lease that backend servers accept
  /// A backend server that leaves gets no requests after this time.
  TimeMs backendDrainMs_ = 2000;
  /// Time after which an evacuation must be in force; 0: none are read.
  TimeMs evacuationMs_ = 0;
  /// Requests that a cold backend server bears, relative to what its service is
  /// configured for, and those that may exceed it in any one second.
  double coldOvershoot_ = 1;
  double coldSlack_ = 0;
  /// CPU of this instance, percent of a core; larger instances are preferred as
  /// leader.
  int cpuPercent_ = 100;
  /// Memory limit of this process; bounds what it buffers for requests.
  size_t memoryBytes_ = size_t{ 256 } << 20;
  /// Of requests that leave their failure domain.
  CrossingOptions crossing_;
  LogLevel logLevel_ = LogLevel::Info;
  /// Settings that were not given and have their default value.
  Findings notes_;
};

std::vector<SettingSpec> GatewaySettingSpecs();
/// Checks the rules beyond the type of a single setting.
void CheckGatewaySettings(const Settings& aSettings, Findings& aFindings);
GatewaySettings ReadGatewaySettings(const Settings& aSettings);

}

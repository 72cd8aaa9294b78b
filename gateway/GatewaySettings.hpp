#pragma once

#include "common/Findings.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "net/TcpStream.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Checked settings of a gateway.
struct GatewaySettings
{
  std::string instance_;
  std::string failureDomain_;
  Endpoint listen_;        ///< callers
  Endpoint readyListen_;   ///< the balancer's question
  Endpoint peerListen_;    ///< datagrams of other gateways
  Endpoint metricsListen_; ///< scrapers
  Endpoint store_;
  double retryRatio_ = 0; ///< repeats allowed for each request
  double retryExtra_ = 0; ///< and beyond that, all gateways together
  TimeMs graceMs_ = 0;    ///< from SIGTERM to the end of the process
  TimeMs maxHoldMs_ = 0;  ///< longest grant that backend servers accept
  /// A backend server that leaves gets no requests after this.
  TimeMs backendDrainMs_ = 2000;
  int cpuPercent_ = 100; ///< of a core; larger instances lead first
  LogLevel logLevel_ = LogLevel::Info;
  Findings notes_; ///< settings that were not given and have their default
};

std::vector<SettingSpec> GatewaySettingSpecs();
/// Rules beyond the type of a single setting.
void CheckGatewaySettings(const Settings& aSettings, Findings& aFindings);
GatewaySettings ReadGatewaySettings(const Settings& aSettings);

}

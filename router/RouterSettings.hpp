#pragma once

#include "common/Findings.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "common/Types.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Parsed settings of the router; RouterSettingSpecs() describes them.
struct RouterSettings
{
  std::string instance_;
  std::string failureDomain_;
  std::string listen_;
  std::string rpcListen_;
  std::vector<std::string> assigners_;
  std::string secret_;
  int threads_ = 0;
  int maxParked_ = 0;
  size_t maxPathBytes_ = 0;
  size_t ledgerEntries_ = 0;
  TimeMs keepAliveMs_ = 0;
  TimeMs writeTimeoutMs_ = 0;
  TimeMs readyFailMs_ = 0;
  TimeMs stopTimeoutMs_ = 0;
  int peerTimeoutMs_ = 0;
  LogLevel logLevel_ = LogLevel::Info;
};

std::vector<SettingSpec> RouterSettingSpecs();

RouterSettings ReadRouterSettings(const Settings& aSettings);

/// Adds a finding for each contradiction between settings.
void CheckRouterSettings(const Settings& aSettings, Findings& aFindings);

}

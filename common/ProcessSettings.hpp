#pragma once

#include "Findings.hpp"
#include "Log.hpp"
#include "Settings.hpp"

#include <string_view>
#include <vector>

namespace cactuspitch {

/// Adds the settings that all programs of an instance have: instance,
/// failure-domain, listen, assigners, auth-token and log-level.
std::vector<SettingSpec> WithProcessSettings(std::vector<SettingSpec> aSpecs);

/// Validates these settings: addresses other than loopback require a shared
/// secret, the secret must have 16 to 255 bytes, and the log level must exist.
void CheckProcessSettings(const Settings& aSettings, Findings& aFindings);

/// Value of log-level; Info when it is invalid.
LogLevel ProcessLogLevel(const Settings& aSettings);

bool IsLoopbackAddress(std::string_view aAddress);

/// Compares in a time that depends only on the lengths, so that timing does not
/// reveal how many leading bytes match.
bool IsSameSecret(std::string_view aExpected, std::string_view aGiven);

}

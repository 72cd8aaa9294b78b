#pragma once

#include "Findings.hpp"
#include "Log.hpp"
#include "Settings.hpp"

#include <string_view>
#include <vector>

namespace cactuspitch {

/// Adds the settings that every program of an entry instance has: instance,
/// failure-domain, listen, assigners, auth-token and log-level.
std::vector<SettingSpec> WithProcessSettings(std::vector<SettingSpec> aSpecs);

/// Rules that concern more than one of them: an address beyond loopback needs
/// a shared secret of a sensible length, and the log level must exist.
void CheckProcessSettings(const Settings& aSettings, Findings& aFindings);

/// The checked log level.
LogLevel ProcessLogLevel(const Settings& aSettings);

bool IsLoopbackAddress(std::string_view aAddress);

/// Compares in a time that depends only on the lengths, so that an attacker
/// learns nothing about how many leading bytes are right.
bool IsSameSecret(std::string_view aExpected, std::string_view aGiven);

}

#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Formats the successful response to a subcommand for a terminal.
std::string FormatResponse(std::string_view aCommand,
                           const nlohmann::json& aBody);

/// Formats an error response: the outcome, the findings and, for a conflict,
/// the changes since the base version.
std::string FormatError(const nlohmann::json& aBody);

}

#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Answer of a subcommand as text for a terminal.
std::string FormatResponse(std::string_view aCommand,
                           const nlohmann::json& aBody);

/// Findings and, for a conflict, what changed since.
std::string FormatError(const nlohmann::json& aBody);

}

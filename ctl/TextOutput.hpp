#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Answer of a subcommand as text for a terminal.
std::string FormatAnswer(std::string_view aCommand,
                         const nlohmann::json& aBody);

/// Findings and, for a conflict, what changed since.
std::string FormatFailure(const nlohmann::json& aBody);

}

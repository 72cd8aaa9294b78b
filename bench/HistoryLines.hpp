#pragma once

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Visits the lines of a history file. The last line of a killed process may
/// be incomplete and is left out.
void VisitHistory(const std::string& aFile,
                  const std::function<void(const nlohmann::json&)>& aVisit);

}

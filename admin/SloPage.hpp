#pragma once

#include "SloReport.hpp"

#include <string>

namespace cactuspitch {

/// Renders the report as a self-contained HTML page.
std::string RenderSloPage(const SloReport& aReport);

/// Replaces &, <, > and both quotes by character references.
std::string EscapeHtml(std::string_view aText);

}

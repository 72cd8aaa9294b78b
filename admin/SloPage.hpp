#pragma once

#include "SloReport.hpp"

#include <string>

namespace cactuspitch {

/// The report as one HTML page without references to other resources.
std::string RenderSloPage(const SloReport& aReport);

/// Text with the characters that HTML gives a meaning replaced.
std::string EscapeHtml(std::string_view aText);

}

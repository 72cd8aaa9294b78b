#pragma once

namespace cactuspitch {

inline constexpr const char kVersion[] = "0.1.0";

}

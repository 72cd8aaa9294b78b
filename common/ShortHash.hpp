#pragma once

#include "common/Strings.hpp"

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace cactuspitch {

/// 32-bit hash that identifies a gateway or backend server in datagrams.
inline uint32_t ShortHash(std::string_view aName)
{
  return XXH32(aName.data(), aName.size(), 0);
}

/// Identifies one incarnation of a backend server.
inline uint32_t IncarnationHash(std::string_view aId, int64_t aStartTimeMs)
{
  return ShortHash(Concat(aId, "#", aStartTimeMs));
}

}

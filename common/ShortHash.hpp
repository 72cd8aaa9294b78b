#pragma once

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace cactuspitch {

/// 32-bit hash that identifies a gateway or backend server in datagrams.
inline uint32_t ShortHash(std::string_view aName)
{
  return XXH32(aName.data(), aName.size(), 0);
}

}

#include "KeyHash.hpp"

#include <xxhash.h>

namespace cactuspitch {

KeyHash HashKey(std::string_view aKey)
{
  return XXH3_64bits(aKey.data(), aKey.size());
}

uint64_t RendezvousScore(std::string_view aItem, std::string_view aCandidate)
{
  return XXH3_64bits_withSeed(
    aCandidate.data(), aCandidate.size(), HashKey(aItem));
}

}

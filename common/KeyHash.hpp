#pragma once

#include "Types.hpp"

#include <string_view>

namespace cactuspitch {

/// Hashes a key to its position in the hash space. Hashes are stored and
/// exchanged between versions, so the function must never change.
KeyHash HashKey(std::string_view aKey);

/// Score of a candidate for an item in rendezvous hashing; the highest score
/// wins.
uint64_t RendezvousScore(std::string_view aItem, std::string_view aCandidate);

}

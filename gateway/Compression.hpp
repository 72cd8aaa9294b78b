#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Compresses a text with zlib, for texts that many gateways fetch from one.
/// Returns an empty string when zlib fails.
std::string Compress(std::string_view aText);

/// Returns nullopt when aBytes is not a complete compressed text, or when the
/// text exceeds aMaxBytes.
std::optional<std::string> Decompress(std::string_view aBytes,
                                      size_t aMaxBytes);

}

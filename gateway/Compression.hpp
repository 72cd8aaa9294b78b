#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Compressed form (zlib) of a text that many gateways fetch from one.
std::string Compress(std::string_view aText);

/// Nothing for bytes that are not compressed text, or for text that exceeds
/// aMaxBytes.
std::optional<std::string> Decompress(std::string_view aBytes,
                                      size_t aMaxBytes);

}

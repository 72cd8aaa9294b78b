#pragma once

#include <cstddef>
#include <string_view>

namespace cactuspitch {

/// Longest name of a server, service or failure domain. Datagrams carry a dozen
/// registrations of three names each.
inline constexpr size_t kMaxNameBytes = 256;

/// True if the text can stand in JSON documents, header fields and log lines:
/// UTF-8 without control characters.
bool IsPlainText(std::string_view aText);
/// True if the text is plain, not empty and not too long for a name.
bool IsName(std::string_view aText);

}

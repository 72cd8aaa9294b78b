#include "gateway/Compression.hpp"

#include <algorithm>

#include <zlib.h>

namespace cactuspitch {

namespace detail {

/// zlib takes its input through a pointer to non-const bytes, but does not
/// modify them.
Bytef* InputOf(std::string_view aBytes)
{
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
  return reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
}

}

std::string Compress(std::string_view aText)
{
  std::string result(compressBound(aText.size()), '\0');
  uLongf size = result.size();
  const int status = compress2(reinterpret_cast<Bytef*>(result.data()),
                               &size,
                               detail::InputOf(aText),
                               aText.size(),
                               Z_BEST_SPEED);
  result.resize(status == Z_OK ? size : 0);
  return result;
}

std::optional<std::string> Decompress(std::string_view aBytes, size_t aMaxBytes)
{
  constexpr size_t kChunkBytes = 65536;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = detail::InputOf(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string text;
  int status = Z_OK;
  while (status == Z_OK && text.size() <= aMaxBytes) {
    const auto before = text.size();
    text.resize(before + kChunkBytes);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
    stream.avail_out = kChunkBytes;
    status = inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || text.size() > aMaxBytes) {
    return std::nullopt;
  }
  return text;
}

}

#include "gateway/Compression.hpp"

#include "common/Strings.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr size_t kMaxBytes = 1 << 20;

// Guards against text that changes in a round trip.
RC_GTEST_PROP(Compression, RestoresTheText, (const std::string& aText))
{
  RC_ASSERT(Decompress(Compress(aText), kMaxBytes) == aText);
}

// Guards against a crash or an endless loop on bytes that are not compressed
// text.
RC_GTEST_PROP(Compression, RejectsInvalidBytes, (const std::string& aBytes))
{
  RC_ASSERT(!Decompress(aBytes, kMaxBytes));
  const auto compressed = Compress(aBytes);
  RC_ASSERT(
    !Decompress(compressed.substr(0, compressed.size() - 1), kMaxBytes));
}

// Guards against a small message that exhausts memory (decompression bomb).
TEST(Compression, LimitsTheTextSize)
{
  const auto compressed = Compress(std::string(kMaxBytes + 1, 'a'));
  EXPECT_FALSE(Decompress(compressed, kMaxBytes));
  EXPECT_TRUE(Decompress(compressed, kMaxBytes + 1));
}

// Guards against a configuration of many routes that takes most of a second to
// send from one gateway to each of 67 others (grown tas-south hunt-d275-7,
// CONFIG).
TEST(Compression, CompressesRoutesWell)
{
  std::string routes;
  for (int index = 0; index < 1800; ++index) {
    AppendTo(routes,
             R"({"name":"route-)",
             index,
             R"(","path-prefix":"/part)",
             index * 7919 % 1000,
             R"(/","kind":"safe","timeout-s":2.5,"priority":1,)",
             R"("max-attempts":3,"service":"kiosk-catalogue"},)");
  }
  EXPECT_LT(Compress(routes).size(), routes.size() / 5);
}

}
}

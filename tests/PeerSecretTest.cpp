#include "ReservedPort.hpp"
#include "common/ProcessSettings.hpp"
#include "rpc/ThriftChannel.hpp"
#include "rpc/ThriftServer.hpp"

#include <AssignerPeer.h>
#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr int kTimeoutMs = 2000;
constexpr const char kSecret[] = "0123456789abcdef";

class PeerSecretTest : public testing::Test
{
protected:
  PeerSecretTest()
    : server_(port_.Address(),
              std::make_shared<wire::AssignerPeerProcessor>(
                std::make_shared<wire::AssignerPeerNull>()),
              kSecret)
  {
    EXPECT_TRUE(server_.Start().ok());
  }

  absl::Status Call(const std::string& aSecret) const
  {
    ThriftChannel<wire::AssignerPeerClient> channel(
      port_.Address(), kTimeoutMs, kTimeoutMs, aSecret);
    return channel.Run([](wire::AssignerPeerClient& aClient) {
      wire::ProcessStatus status;
      aClient.GetStatus(status);
    });
  }

  ReservedPort port_;
  ThriftServer server_;
};

// Guards against calls from processes of another fleet, or from anybody else on
// the network.
TEST_F(PeerSecretTest, OnlyTheSharedSecretIsAccepted)
{
  EXPECT_TRUE(Call(kSecret).ok());
  for (const char* secret :
       { "", "0", "0123456789abcdeg", "0123456789abcdef0123456789abcdef" }) {
    EXPECT_FALSE(Call(secret).ok()) << secret;
  }
  EXPECT_TRUE(Call(kSecret).ok());
}

// Guards against a comparison that accepts a prefix, a repetition or an empty
// secret.
TEST(IsSameSecret, AcceptsOnlyEqualTexts)
{
  EXPECT_TRUE(IsSameSecret("", ""));
  EXPECT_TRUE(IsSameSecret("abc", "abc"));
  for (const char* given : { "", "a", "ab", "abd", "abcabc" }) {
    EXPECT_FALSE(IsSameSecret("abc", given)) << given;
  }
  EXPECT_FALSE(IsSameSecret("", "abc"));
}

}
}

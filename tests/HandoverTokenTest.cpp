#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;
using Json = nlohmann::json;

/// Keys are served again within this time after their owner has left.
constexpr TimeMs kMaxUnownedMs = 3000;

/// A gateway with the owners `k0` to `k2` of keys. Each release is answered
/// with the same token.
class Handover
{
public:
  explicit Handover(const std::string& aToken)
    : fixture_([](Exchange&) {}, 1, kOwners)
  {
    fixture_.SetCommandScript([this, aToken](Exchange& aExchange) {
      const auto command = Json::parse(aExchange.body_);
      const std::string server(
        aExchange.head_.Field("Cactuspitch-Target-Instance"));
      if (aExchange.head_.target_ == "/-/release") {
        ++releases_;
        aExchange.write_(Concat("HTTP/1.1 200 OK\r\nCactuspitch-Handover: ",
                                aToken,
                                "\r\nContent-Length: 0\r\n\r\n"));
        return;
      }
      owners_[command.at("from")] = server;
      if (releases_ > 0 && !tokenInGrant_ && server != leaving_) {
        tokenInGrant_ = command.value("handover", "");
      }
      aExchange.write_(TextResponse(200, ""));
    });
    const auto grantedToAll = [this] {
      return std::ranges::all_of(
        Ids(), [this](const std::string& aId) { return Owns(aId); });
    };
    started_ = fixture_.RunUntil(grantedToAll);
  }
  bool HasStarted() const { return started_; }

  /// Lets the server leave. Returns true if other servers have all of its keys
  /// in time.
  bool Leave(const std::string& aId)
  {
    leaving_ = aId;
    releases_ = 0;
    tokenInGrant_.reset();
    auto entry = fixture_.Store().Spec("servers", aId);
    entry["status"]["state"] = "draining";
    fixture_.Store().Put("servers", aId, entry);
    const auto startMs = fixture_.Loop().NowMs();
    return fixture_.RunUntil([this, &aId] { return !Owns(aId); }) &&
           fixture_.Loop().NowMs() - startMs < kMaxUnownedMs;
  }
  /// Token in the first grant after the last release.
  std::string TokenInGrant() const { return tokenInGrant_.value_or("none"); }
  int Releases() const { return releases_; }
  GatewayFixture& Fixture() { return fixture_; }

private:
  static constexpr int kOwners = 3;

  static std::vector<std::string> Ids() { return { "k0", "k1", "k2" }; }
  bool Owns(const std::string& aId) const
  {
    return std::ranges::any_of(
      owners_, [&](const auto& aEntry) { return aEntry.second == aId; });
  }

  GatewayFixture fixture_;
  std::map<uint32_t, std::string> owners_; ///< by first key of the range
  std::string leaving_;
  std::optional<std::string> tokenInGrant_;
  int releases_ = 0;
  bool started_ = false;
};

struct TokenCase
{
  const char* name_;
  std::string token_;
  std::string passedOn_;
};

// Guards against a leader that ends, or keys that stay without an owner,
// because of the bytes of a handover token.
TEST(HandoverToken, InvalidTokensTerminateNoLeader)
{
  const std::string longText(8000, 'h');
  const std::vector<TokenCase> cases = {
    { "text", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8" },
    { "quotes", "a\"b\\c", "a\"b\\c" },
    { "UTF-8", "s\xc3\xbc\xc3\x9f", "s\xc3\xbc\xc3\x9f" },
    { "long", longText, longText },
    { "not UTF-8", "5c0e7a21\xd9\x4b\xf0\xf8", "" },
    { "ends in a sequence", "5c0e7a21\xe2\x82", "" },
    { "surrogate", "\xed\xa0\x80", "" },
    { "overlong", "\xc0\xaf", "" },
    { "single byte", "\xff", "" },
  };
  for (const auto& row : cases) {
    Handover handover(row.token_);
    ASSERT_TRUE(handover.HasStarted()) << row.name_;
    EXPECT_TRUE(handover.Leave("k0")) << row.name_;
    EXPECT_EQ(handover.TokenInGrant(), row.passedOn_) << row.name_;
    EXPECT_EQ(handover.Releases(), 1) << row.name_;
  }
}

// Guards against invalid tokens that terminate one leader after the other, or
// leave keys without an owner, while servers leave in turn.
TEST(HandoverToken, ServersLeaveInTurn)
{
  Handover handover("\xff\xfe");
  ASSERT_TRUE(handover.HasStarted());
  EXPECT_TRUE(handover.Leave("k0"));
  EXPECT_TRUE(handover.Leave("k1"));
  const auto response =
    handover.Fixture().SendAndWait(GatewayFixture::MakeRequest(
      "GET", "keyed", "x", "Cactuspitch-Shard-Key: 1\r\n"));
  EXPECT_NE(response.find("\r\n\r\nkeyed"), std::string::npos) << response;
}

}
}

#include "common/Strings.hpp"
#include "tests/GatewayFixture.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;

std::string RequestId(const Exchange& aExchange)
{
  return std::string(aExchange.head_.Field("Cactuspitch-Request-Id"));
}

void Echo(const Exchange& aExchange)
{
  aExchange.write_(
    GatewayFixture::MakeResponse(aExchange.head_, RequestId(aExchange)));
}

/// Response with this status line and fields, and the id of the request.
std::string Answer(const Exchange& aExchange, std::string_view aStatusAndFields)
{
  return Concat("HTTP/1.1 ",
                aStatusAndFields,
                "Cactuspitch-Request-Id: ",
                RequestId(aExchange),
                "\r\nContent-Length: 5\r\n\r\nwrong");
}

int StatusOf(const std::string& aResponse)
{
  return aResponse.size() < 12 ? 0 : std::stoi(aResponse.substr(9, 3));
}

struct Case
{
  const char* statusAndFields_;
  size_t cutBytes_ = 0; ///< the connection closes so long before the end
};

// Guards against a status that a caller takes for a guarantee that the request
// was not executed, although the server did not give it (review/8), and against
// a second execution after a guarantee that contradicts itself.
TEST(AmbiguousAnswer, IsNoRefusal)
{
  const Case cases[] = { { "408 X\r\n" },
                         { "429 X\r\n" },
                         { "503 X\r\n" },
                         { "503 X\r\n", 3 },
                         { "503 X\r\nRetry-After: 0.01\r\n" },
                         { "503 X\r\nCactuspitch-Response-Seal: s\r\n" },
                         { "429 X\r\nCactuspitch-Response-Seal: s\r\n" },
                         { "200 X\r\nCactuspitch-Not-Executed: 1\r\n" },
                         { "200 X\r\nCactuspitch-Response-Seal: s\r\n"
                           "Cactuspitch-Not-Executed: 1\r\n" } };
  for (const auto& row : cases) {
    for (const bool isIdempotent : { true, false }) {
      int requests = 0;
      GatewayFixture fixture([&](Exchange& aExchange) {
        if (++requests > 1) {
          Echo(aExchange);
          return;
        }
        auto answer = Answer(aExchange, row.statusAndFields_);
        answer.resize(answer.size() - row.cutBytes_);
        aExchange.write_(answer);
        if (row.cutBytes_ > 0) {
          aExchange.close_();
        }
      });
      const auto response = fixture.SendAndWait(
        isIdempotent
          ? GatewayFixture::MakeRequest("GET", "plain", "s1")
          : GatewayFixture::MakeRequest("POST", "plain", "u1", "", "b"));
      EXPECT_EQ(StatusOf(response), isIdempotent ? 200 : 502)
        << row.statusAndFields_;
      EXPECT_EQ(response.find("wrong"), std::string::npos)
        << row.statusAndFields_;
      EXPECT_EQ(requests, isIdempotent ? 2 : 1) << row.statusAndFields_;
    }
  }
}

// Guards against 503 for an idempotent request whose first attempt may have
// been executed, when no server is left for a retry.
TEST(AmbiguousAnswer, NoGuaranteeAfterAnUnknownOutcome)
{
  ScriptedServer* server = nullptr;
  GatewayFixture fixture(
    [&](Exchange& aExchange) {
      aExchange.reset_();
      server->Crash();
    },
    1);
  server = &fixture.Backend(0);
  const auto response =
    fixture.SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "n1"));
  EXPECT_EQ(StatusOf(response), 502) << response;
  EXPECT_EQ(fixture.BackendRequests(), 1);
}

// Guards against a server that fails most requests with a status of overload
// and is preferred, because it responds at once and never counts as failing.
TEST(AmbiguousAnswer, ServerIsAvoided)
{
  ScriptedServer* failing = nullptr;
  GatewayFixture fixture([&](Exchange& aExchange) {
    if (aExchange.server_ != failing) {
      Echo(aExchange);
    } else {
      aExchange.write_(Answer(aExchange, "429 X\r\n"));
    }
  });
  failing = &fixture.Backend(0);
  constexpr int kRequests = 60;
  for (int index = 0; index < kRequests; ++index) {
    fixture.SendAndWait(GatewayFixture::MakeRequest(
      "POST", "plain", Concat("a", index), "", "b"));
  }
  EXPECT_EQ(fixture.BackendRequests(), kRequests);
  EXPECT_LT(failing->Requests(), kRequests / 4);
}

}
}

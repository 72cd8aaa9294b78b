#include "router/CallerRequest.hpp"

#include "router/HeaderFilter.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

int StatusOf(const CallerInput& aInput, CallerRequest* aResult = nullptr)
{
  CallerRequest request;
  const auto refusal =
    ParseCallerRequest(aInput, { .maxPathBytes_ = 64 }, request);
  if (aResult) {
    *aResult = request;
  }
  return refusal.status_;
}

CallerInput Get(std::string_view aPath)
{
  return { "GET", aPath, "", "", "" };
}

// Guards against a path that a backend server resolves to another key than the
// router did, or to its grant endpoint.
TEST(CallerRequest, AmbiguousPathsAreRefused)
{
  for (const char* path : {
         "/svc/../_cactuspitch/grant",
         "/svc/%2e%2e/_cactuspitch/grant",
         "/svc/a%2fb",
         "/svc/a%5Cb",
         "/svc/a\\b",
         "/svc/key/../other",
         "/svc/./key",
         "/svc/a%00b",
         "/svc/a%zz",
         "/svc/a%4",
         "/svc/a%",
         "svc/key",
       }) {
    EXPECT_EQ(StatusOf(Get(path)), 400) << path;
  }
}

// Guards against a wrong status for missing path segments, reserved service
// names, long paths and unknown methods.
TEST(CallerRequest, MissingPartsAreRefused)
{
  EXPECT_EQ(StatusOf(Get("/svc")), 400);
  EXPECT_EQ(StatusOf(Get("/svc/")), 400);
  EXPECT_EQ(StatusOf(Get("/svc//more")), 400);
  EXPECT_EQ(StatusOf(Get("/")), 404);
  EXPECT_EQ(StatusOf(Get("//key")), 404);
  EXPECT_EQ(StatusOf(Get("/_cactuspitch/grant")), 404);
  EXPECT_EQ(StatusOf(Get("/svc/" + std::string(64, 'k'))), 414);
  EXPECT_EQ(StatusOf({ "BREW", "/svc/key", "", "id", "" }), 405);
}

// Guards against a non-idempotent request without a valid request id, whose
// duplicates the request ledger could not detect.
TEST(CallerRequest, RequestIdIsRequiredForNonIdempotent)
{
  for (const char* method : { "POST", "PUT", "DELETE", "PATCH" }) {
    EXPECT_EQ(StatusOf({ method, "/svc/key", "", "", "" }), 400) << method;
    EXPECT_EQ(StatusOf({ method, "/svc/key", "", "id", "" }), 0) << method;
  }
  EXPECT_EQ(StatusOf({ "POST",
                       "/svc/key",
                       "",
                       "a\x1f"
                       "b",
                       "" }),
            400);
  const std::string longId(129, 'i');
  EXPECT_EQ(StatusOf({ "POST", "/svc/key", "", longId, "" }), 400);
}

// Guards against a malformed deadline that is ignored.
TEST(CallerRequest, BadDeadlineIsRefused)
{
  for (const char* text : { "0", "-5", "abc", "1.5", "99999999999999999999" }) {
    EXPECT_EQ(StatusOf({ "GET", "/svc/key", "", "", text }), 400) << text;
  }
  CallerRequest request;
  EXPECT_EQ(StatusOf({ "GET", "/svc/key", "", "", "250" }, &request), 0);
  EXPECT_EQ(request.deadlineMs_, 250);
}

// Guards against routing two encodings of the same key to different owners.
TEST(CallerRequest, KeyIsDecodedBeforeHashing)
{
  CallerRequest plain;
  CallerRequest encoded;
  EXPECT_EQ(StatusOf(Get("/svc/abc/x"), &plain), 0);
  EXPECT_EQ(StatusOf({ "HEAD", "/svc/%61bc", "q=1", "", "" }, &encoded), 0);
  EXPECT_EQ(plain.hash_, encoded.hash_);
  EXPECT_EQ(plain.hash_, HashKey("abc"));
  EXPECT_EQ(encoded.target_, "/svc/%61bc?q=1");
}

bool Has(const HttpHeaders& aHeaders, std::string_view aName)
{
  return std::ranges::any_of(
    aHeaders, [aName](const auto& aHeader) { return aHeader.first == aName; });
}

// Guards against callers that forge headers of the internal protocol, and
// against forwarding hop-by-hop headers.
TEST(HeaderFilter, InternalAndHopByHopHeadersAreRemoved)
{
  const HttpHeaders sent = {
    { "Connection", "close, X-Private" },
    { "X-Private", "1" },
    { "Keep-Alive", "5" },
    { "TE", "trailers" },
    { "Upgrade", "h2c" },
    { "x-slice-epoch", "9" },
    { "X-Deadline-Clock-Ms", "9" },
    { "X-Request-Id", "a" },
    { "X-Incarnation", "z" },
    { "Content-Length", "3" },
    { "Host", "example" },
    { "Accept", "text/plain" },
  };
  const auto forwarded = HeaderFilter::ForServer(sent);
  ASSERT_EQ(forwarded.size(), 1u);
  EXPECT_EQ(forwarded[0].first, "Accept");
  const auto returned = HeaderFilter::ForCaller({ { "Connection", "X-Private" },
                                                  { "X-Private", "1" },
                                                  { "x-clock-ms", "1" },
                                                  { "X-Not-Run", "busy" },
                                                  { "X-Outcome", "complete" },
                                                  { "Transfer-Encoding", "c" },
                                                  { "ETag", "v" } });
  EXPECT_EQ(returned.size(), 1u);
  EXPECT_TRUE(Has(returned, "ETag"));
}

}
}

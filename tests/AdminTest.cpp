#include "ReservedPort.hpp"
#include "admin/AdminProcess.hpp"
#include "common/ProcessSettings.hpp"
#include "ctl/SubcommandRunner.hpp"
#include "rpc/ThriftServer.hpp"
#include "standin/StandinStore.hpp"

#include <sstream>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr const char kToken[] = "0123456789abcdef";
constexpr int64_t kFingerprint = 0x1234;

/// Router with one quarantined request and a settable configuration version.
class FakeRouter : public wire::RouterPeerNull
{
public:
  void GetStatus(wire::ProcessStatus& aStatus) override
  {
    aStatus.configVersion = version_;
    aStatus.uptimeMs = 1000;
  }
  void ListQuarantine(std::vector<wire::QuarantineEntry>& aEntries) override
  {
    if (!released_) {
      wire::QuarantineEntry entry;
      entry.fingerprint = kFingerprint;
      entry.quarantined = true;
      aEntries.push_back(entry);
    }
  }
  void ReleaseQuarantine(const int64_t aFingerprint) override
  {
    released_ = aFingerprint == kFingerprint;
  }
  void GetSloMinutes(std::vector<wire::SloMinute>& aMinutes,
                     const int64_t aSince) override
  {
    wire::SloMinute minute;
    minute.epochMinute = aSince + 5;
    minute.serviceName = "registry-query";
    minute.cause = "overload";
    minute.requests = 10;
    aMinutes.push_back(minute);
  }

  std::atomic<int64_t> version_ = 0;
  std::atomic<bool> released_ = false;
};

/// Object store and admin process. All tests share them, because CivetWeb takes
/// 2 s to stop.
struct AdminFixture
{
  AdminFixture()
    : standin_(clock_, storePort_.Address())
    , process_(clock_,
               { "i1",
                 "giza-a",
                 adminPort_.Address(),
                 storePort_.Address(),
                 kToken,
                 { deadPort_.Address() } })
  {
    EXPECT_TRUE(standin_.Start().ok());
    HttpObjectStore store(clock_, { .address_ = storePort_.Address() });
    const nlohmann::json instance = { { "id", "i1" },
                                      { "state", "live" },
                                      { "admin", adminPort_.Address() },
                                      { "router", routerPort_.Address() } };
    EXPECT_TRUE(store.Put("instance", "i1", 0, instance.dump()).ok());
    EXPECT_TRUE(process_.Start().ok());
  }

  SteadyClock clock_;
  ReservedPort storePort_;
  ReservedPort adminPort_;
  ReservedPort routerPort_;
  ReservedPort deadPort_;
  StandinStore standin_;
  AdminProcess process_;
};

class AdminTest : public testing::Test
{
protected:
  static void SetUpTestSuite() { fixture_ = std::make_unique<AdminFixture>(); }
  static void TearDownTestSuite() { fixture_.reset(); }

  AdminTest()
    : router_(std::make_shared<FakeRouter>())
    , routerServer_(fixture_->routerPort_.Address(),
                    std::make_shared<wire::RouterPeerProcessor>(router_),
                    kToken)
    , client_(fixture_->clock_,
              { fixture_->adminPort_.Address(), kToken, 10000 })
  {
    EXPECT_TRUE(routerServer_.Start().ok());
  }

  /// Runs a cactuspitch-ctl command in this process and puts its output and its
  /// findings into text_.
  CtlExit Ctl(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.begin(), "cactuspitch-ctl");
    std::vector<char*> argv;
    for (auto& argument : aArguments) {
      argv.push_back(argument.data());
    }
    const int argc = static_cast<int>(argv.size());
    argv.push_back(nullptr);
    Findings findings;
    const auto parsed = ParseCommandLine(
      argc,
      argv.data(),
      { { "CACTUSPITCH_ADMIN", fixture_->adminPort_.Address() } },
      findings);
    std::ostringstream out;
    const auto exit = parsed ? SubcommandRunner(client_, out, out).Run(*parsed)
                             : CtlExit::Usage;
    text_ = out.str() + findings.ToText();
    return exit;
  }

  static std::unique_ptr<AdminFixture> fixture_;
  std::shared_ptr<FakeRouter> router_;
  ThriftServer routerServer_;
  ApiClient client_;
  std::string text_;
};

std::unique_ptr<AdminFixture> AdminTest::fixture_;

// Guards against an API that accepts requests without the token or with a wrong
// one. Health checks need no token.
TEST_F(AdminTest, EveryRouteNeedsTheToken)
{
  for (const std::string token :
       { "", "0123456789abcdeF", "0123456789abcdef0", "0123456789abcde" }) {
    const ApiClient other(fixture_->clock_,
                          { fixture_->adminPort_.Address(), token, 10000 });
    for (const char* path : { "/v1/defaults", "/v1/slo", "/v1/none" }) {
      EXPECT_EQ(other.Get(path)->status_, 401) << token << path;
    }
    EXPECT_EQ(other.Get("/_health")->status_, 200);
  }
  EXPECT_EQ(client_.Get("/v1/defaults")->status_, 200);
}

// Guards against reading request bodies over the size limit, and against
// accepting requests with a wrong method, path or query parameter.
TEST_F(AdminTest, RequestsAreBounded)
{
  EXPECT_EQ(
    client_.Post("/v1/changes", std::string(kMaxChangeBytes, 'x'))->status_,
    413);
  EXPECT_EQ(client_.Post("/v1/defaults", {})->status_, 405);
  EXPECT_EQ(client_.Get("/v1/nothing")->status_, 404);
  EXPECT_EQ(client_.Get("/v1/defaults?x=1")->status_, 400);
}

// Guards against a command line tool that hides a conflict with another
// operator's change, or hides what that change was.
TEST_F(AdminTest, ConflictOutputShowsWhatChanged)
{
  EXPECT_EQ(Ctl({ "defaults",
                  "--set",
                  "maxAttempts=5",
                  "--author",
                  "ann",
                  "--reason",
                  "load test" }),
            CtlExit::Success)
    << text_;
  EXPECT_EQ(Ctl({ "defaults",
                  "--set",
                  "maxAttempts=2",
                  "--author",
                  "bo",
                  "--reason",
                  "r",
                  "--base-version",
                  "0" }),
            CtlExit::Conflict);
  EXPECT_NE(text_.find("maxAttempts=5"), std::string::npos) << text_;
  EXPECT_NE(text_.find("load test"), std::string::npos) << text_;
  EXPECT_EQ(Ctl({ "defaults",
                  "--set",
                  "attemptTimeoutMs=40000",
                  "--author",
                  "bo",
                  "--reason",
                  "r" }),
            CtlExit::Usage);
  EXPECT_NE(text_.find("may not exceed maxDeadlineMs"), std::string::npos);
}

// Guards against reporting a version as in force while a router has an older
// one or is unreachable.
TEST_F(AdminTest, WaitListsLaggingProcess)
{
  EXPECT_EQ(Ctl({ "wait", "--version", "3", "--timeout-ms", "150" }),
            CtlExit::NotInForce);
  EXPECT_NE(text_.find("router i1"), std::string::npos) << text_;
  router_->version_ = 3;
  EXPECT_EQ(Ctl({ "wait", "--version", "3", "--timeout-ms", "150" }),
            CtlExit::Success);
  routerServer_.Stop();
  EXPECT_EQ(Ctl({ "wait", "--version", "3", "--timeout-ms", "150" }),
            CtlExit::NotInForce);
}

// Guards against a release of a quarantined request that does not reach the
// routers, or that is made without an author and a reason.
TEST_F(AdminTest, QuarantinedRequestIsReleased)
{
  EXPECT_EQ(Ctl({ "quarantine" }), CtlExit::Success);
  EXPECT_NE(text_.find("0x0000000000001234"), std::string::npos) << text_;
  EXPECT_EQ(Ctl({ "quarantine", "--release", "0x1234" }), CtlExit::Usage);
  EXPECT_FALSE(router_->released_);
  EXPECT_EQ(Ctl({ "quarantine",
                  "--release",
                  "0x1234",
                  "--author",
                  "ann",
                  "--reason",
                  "fixed" }),
            CtlExit::Success)
    << text_;
  EXPECT_TRUE(router_->released_);
}

// Guards against an admin process that listens beyond the loopback interface
// without a token, or with a short one.
TEST(AdminSettings, BindingBeyondLoopbackNeedsTheToken)
{
  const auto check = [](const std::string& aListen, const std::string& aToken) {
    std::vector<std::string> arguments = {
      "admin", "--listen", aListen, "--auth-token", aToken
    };
    std::vector<char*> argv;
    for (auto& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    Settings settings(AdminSettings());
    settings.Parse(static_cast<int>(argv.size()) - 1, argv.data(), {});
    Findings findings;
    CheckProcessSettings(settings, findings);
    return findings.All().size();
  };
  EXPECT_EQ(check("127.0.0.1:80", ""), 0u);
  EXPECT_EQ(check("0.0.0.0:80", ""), 1u);
  EXPECT_EQ(check("10.0.0.1:80", ""), 1u);
  EXPECT_EQ(check("[::]:80", ""), 1u);
  EXPECT_EQ(check("0.0.0.0:80", "short"), 1u);
  EXPECT_EQ(check("0.0.0.0:80", kToken), 0u);
}

GroupTable MakeTable(int64_t aSequence, std::vector<SliceRecord> aSlices)
{
  GroupTable table;
  table.service_ = "registry-query";
  table.term_ = 1;
  table.sequence_ = aSequence;
  table.servers_ = { { .id_ = "a" }, { .id_ = "b" } };
  table.slices_ = std::move(aSlices);
  return table;
}

// Guards against splits and merges of slices that are listed as moves, and
// against moves and times without an owner that are not listed.
TEST(MoveLog, OnlyChangesOfOwnerAreMoves)
{
  MoveLog log;
  log.Observe(MakeTable(1, { { 0, 1, 0, 1 }, { 100, 4, 0, 1 } }), 1000);
  EXPECT_EQ(log.OwnedSinceMs("registry-query", 0, 5), std::nullopt);
  log.Observe(
    MakeTable(2, { { 0, 1, 0, 1 }, { 50, 1, 0, 1 }, { 100, 4, 0, 1 } }), 2000);
  log.Observe(MakeTable(3, { { 0, 4, 0, 1 } }), 3000);
  EXPECT_TRUE(log.Moves("", 0).empty());
  log.Observe(MakeTable(4, { { 0, 5, 1, 0 } }), 4000);
  ASSERT_EQ(log.Moves("registry-query", 0).size(), 1u);
  EXPECT_EQ(log.Moves("", 0)[0].from_, "a");
  EXPECT_EQ(log.Moves("", 0)[0].to_, "b");
  EXPECT_EQ(log.OwnedSinceMs("registry-query", 0, 5), 4000);
  log.Observe(MakeTable(5, { { 0, 5, kNoServer, 0 } }), 5000);
  EXPECT_EQ(log.LongestGapMs("registry-query", 0, 5600), 600);
  log.Observe(MakeTable(6, { { 0, 6, 0, 1 } }), 5900);
  EXPECT_EQ(log.LongestGapMs("registry-query", 0, 9000), 900);
}

}
}

#include "gateway/CommandSender.hpp"

#include "platform/RequestCodec.hpp"
#include "tests/ScriptedServer.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

/// A sender whose scope the test controls, and one server.
class CommandSenderTest : public testing::Test
{
protected:
  CommandSenderTest() { sender_.SetServer("a", server_.Address(), 1); }

  static KeyCommand Grant(bool aRenews)
  {
    KeyCommand command;
    command.service_ = "s";
    command.backend_ = "a";
    command.last_ = 9;
    command.leaseMs_ = 1000;
    command.renews_ = aRenews;
    return command;
  }
  KeyCommandResult SendAndWait(const KeyCommand& aCommand)
  {
    const auto before = results_.size();
    sender_.Send(aCommand);
    EXPECT_TRUE(RunLoopUntil(loop_, [&] { return results_.size() > before; }));
    return results_.back();
  }

  EventLoop loop_;
  EventLog log_{ loop_, LogLevel::Error, STDERR_FILENO };
  HttpClient client_{ loop_ };
  platform::CommandCodec commands_;
  GrantScope scope_ = GrantScope::All;
  TimeMs confirmedMs_ = 0; ///< when the last confirmation was requested
  TimeMs requiredSinceMs_ = 0;
  std::vector<KeyCommandResult> results_;
  bool holdsResponses_ = false;
  ScriptedServer server_{ loop_, [this](ScriptedServer::Exchange& aExchange) {
                           if (!holdsResponses_) {
                             aExchange.write_(TextResponse(200, ""));
                           }
                         } };
  CommandSender sender_{
    loop_,
    log_,
    client_,
    commands_,
    { [this](TimeMs aSinceMs) {
       return aSinceMs <= confirmedMs_ ? scope_ : GrantScope::Renewals;
     },
      [this](TimeMs aSinceMs) { requiredSinceMs_ = aSinceMs; },
      [this](const KeyCommand&, const CommandResponse& aResponse) {
        results_.push_back(aResponse.result_);
      },
      [](const CommandSender::Notice&) {} }
  };
};

// Guards against a leader that may have been replaced and renews the lease of a
// server that has restarted since, which knows no fence (review/7).
TEST_F(CommandSenderTest, UnconfirmedLeaderReachesNoRestartedServer)
{
  ASSERT_EQ(SendAndWait(Grant(false)), KeyCommandResult::Accepted);
  scope_ = GrantScope::Renewals;
  EXPECT_EQ(SendAndWait(Grant(true)), KeyCommandResult::Accepted);
  server_.Crash();
  server_.Restart();
  RunLoopFor(loop_, 20);
  EXPECT_EQ(SendAndWait(Grant(true)), KeyCommandResult::Withheld);
  EXPECT_EQ(server_.Requests(), 2);
  EXPECT_EQ(server_.Accepted(), 1);
  scope_ = GrantScope::All;
  EXPECT_EQ(SendAndWait(Grant(true)), KeyCommandResult::Withheld);
  EXPECT_GT(requiredSinceMs_, 0);
  confirmedMs_ = requiredSinceMs_;
  EXPECT_EQ(SendAndWait(Grant(true)), KeyCommandResult::Accepted);
}

// Guards against new leases and releases of a leader that may have been
// replaced, which were queued before.
TEST_F(CommandSenderTest, UnconfirmedLeaderSendsOnlyRenewals)
{
  holdsResponses_ = true;
  constexpr int kInFlight = 3;
  for (int count = 0; count < kInFlight; ++count) {
    sender_.Send(Grant(true));
  }
  ASSERT_TRUE(
    RunLoopUntil(loop_, [&] { return server_.Requests() == kInFlight; }));
  auto release = Grant(false);
  release.kind_ = KeyCommandKind::Release;
  sender_.Send(release);
  sender_.Send(Grant(false));
  scope_ = GrantScope::Renewals;
  holdsResponses_ = false;
  ASSERT_TRUE(
    RunLoopUntil(loop_, [&] { return results_.size() == kInFlight + 2; }));
  EXPECT_EQ(std::ranges::count(results_, KeyCommandResult::Withheld), 2);
  EXPECT_EQ(server_.Requests(), kInFlight);
}

// Guards against a command that waits for a connection when its leader loses
// the confirmation, or steps down.
TEST_F(CommandSenderTest, ScopeIsCheckedWhenTheConnectionIsEstablished)
{
  sender_.Send(Grant(true));
  scope_ = GrantScope::Renewals;
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return !results_.empty(); }));
  EXPECT_EQ(results_.back(), KeyCommandResult::Withheld);
  scope_ = GrantScope::All;
  sender_.Send(Grant(true));
  sender_.Reset();
  RunLoopFor(loop_, 50);
  EXPECT_EQ(server_.Requests(), 0);
}

}
}

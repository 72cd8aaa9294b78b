#include "router/LedgerClient.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

using Begin = RequestLedger::BeginResult;
using Verdict = LedgerTicket::Verdict;

// Guards against removing an id too early or keeping it forever.
TEST(RequestLedger, IdIsKnownForTenMinutes)
{
  RequestLedger ledger(10);
  LedgerEntryState state{};
  EXPECT_EQ(ledger.Begin("svc", "a", 1, 0, state), Begin::Recorded);
  ledger.Finish("svc", "a", 1, LedgerEntryState::Completed, 5);
  EXPECT_EQ(ledger.Begin("svc", "a", 2, 599999, state), Begin::Seen);
  EXPECT_EQ(state, LedgerEntryState::Completed);
  EXPECT_EQ(ledger.Begin("other", "a", 3, 599999, state), Begin::Recorded);
  EXPECT_EQ(ledger.Begin("svc", "a", 4, 600000, state), Begin::Recorded);
}

// Guards against evicting a recent id when the ledger is full, after which its
// duplicate would be executed.
TEST(RequestLedger, FullLedgerRefusesInsteadOfEvicting)
{
  RequestLedger ledger(2);
  LedgerEntryState state{};
  EXPECT_EQ(ledger.Begin("svc", "a", 1, 0, state), Begin::Recorded);
  EXPECT_EQ(ledger.Begin("svc", "b", 2, 0, state), Begin::Recorded);
  EXPECT_EQ(ledger.Begin("svc", "c", 3, 0, state), Begin::Full);
  EXPECT_EQ(ledger.Begin("svc", "a", 4, 0, state), Begin::Seen);
  // A removed id must not occupy memory after its retention time.
  ledger.Finish("svc", "a", 1, LedgerEntryState::NotRun, 0);
  EXPECT_EQ(ledger.Begin("svc", "c", 3, 600000, state), Begin::Recorded);
}

// Guards against a delayed NotRun message of one attempt that removes the
// record of the next attempt.
TEST(RequestLedger, DelayedNotRunKeepsNextAttempt)
{
  RequestLedger ledger(10);
  LedgerEntryState state{};
  ledger.Begin("svc", "a", 1, 0, state);
  ledger.Finish("svc", "a", 1, LedgerEntryState::NotRun, 1);
  EXPECT_EQ(ledger.Begin("svc", "a", 2, 2, state), Begin::Recorded);
  ledger.Finish("svc", "a", 1, LedgerEntryState::NotRun, 3);
  EXPECT_EQ(ledger.Begin("svc", "a", 3, 4, state), Begin::Seen);
  EXPECT_EQ(state, LedgerEntryState::InProgress);
}

/// In-memory ledgers of several routers with injected faults.
class FakeLedgerTransport final : public LedgerTransport
{
public:
  ReplicaResponse Begin(const std::string& aPeer,
                        const LedgerId& aId,
                        LedgerEntryState& aState) override
  {
    if (exited_.contains(aPeer)) {
      return ReplicaResponse::Exited;
    }
    if (unreachable_.contains(aPeer)) {
      return ReplicaResponse::Unreachable;
    }
    const auto result = Ledger(aPeer).Begin(
      aId.service_, aId.requestId_, aId.token_, nowMs_, aState);
    if (losesResponses_.contains(aPeer)) {
      return ReplicaResponse::Unreachable;
    }
    return result == Begin::Recorded ? ReplicaResponse::Recorded
                                     : ReplicaResponse::Seen;
  }
  void Finish(const std::string& aPeer,
              const LedgerId& aId,
              LedgerEntryState aState) override
  {
    if (!unreachable_.contains(aPeer)) {
      Ledger(aPeer).Finish(
        aId.service_, aId.requestId_, aId.token_, aState, nowMs_);
    }
  }
  void FinishAsync(const std::string& aPeer,
                   const LedgerId& aId,
                   LedgerEntryState aState) override
  {
    delayed_.push_back([=, this] { Finish(aPeer, aId, aState); });
  }
  /// Delivers the delayed message at aIndex.
  void Deliver(size_t aIndex)
  {
    delayed_[aIndex]();
    delayed_.erase(delayed_.begin() + static_cast<ptrdiff_t>(aIndex));
  }

  std::set<std::string> unreachable_;
  std::set<std::string> exited_;
  std::set<std::string> losesResponses_;
  std::vector<std::function<void()>> delayed_;
  TimeMs nowMs_ = 0;

private:
  RequestLedger& Ledger(const std::string& aPeer)
  {
    return ledgers_.try_emplace(aPeer, 1000).first->second;
  }
  std::map<std::string, RequestLedger> ledgers_;
};

const std::vector<std::string> kRouters = { "r1", "r2", "r3", "r4" };

// Guards against executing a duplicate after one of the replicas is lost.
TEST(LedgerClient, DuplicateIsDetectedAfterLossOfAnyReplica)
{
  for (const size_t lostIndex : { 0U, 1U, 2U }) {
    FakeLedgerTransport peers;
    LedgerClient client(peers);
    const auto first = client.Begin(kRouters, { "svc", "id", 1 });
    ASSERT_EQ(first.verdict_, Verdict::Forward);
    const auto replicas = LedgerClient::Replicas(kRouters, "id");
    ASSERT_EQ(replicas.size(), 3u);
    peers.unreachable_.insert(replicas[lostIndex]);
    EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 2 }).verdict_,
              Verdict::AlreadySeen);
  }
}

// Guards against two routers that reach different replicas and both forward the
// request.
TEST(LedgerClient, RoutersThatReachDifferentReplicasDoNotBothForward)
{
  const auto replicas = LedgerClient::Replicas(kRouters, "id");
  for (const auto& reachedByFirst : replicas) {
    FakeLedgerTransport peers;
    LedgerClient client(peers);
    const std::set<std::string> all = { replicas.begin(), replicas.end() };
    peers.unreachable_ = all;
    peers.unreachable_.erase(reachedByFirst);
    const auto first = client.Begin(kRouters, { "svc", "id", 1 });
    peers.unreachable_ = { reachedByFirst };
    const auto second = client.Begin(kRouters, { "svc", "id", 2 });
    EXPECT_EQ(first.verdict_, Verdict::Unavailable);
    EXPECT_EQ(second.verdict_, Verdict::Forward);
  }
}

// Guards against forwarding a request that no majority of replicas recorded.
TEST(LedgerClient, RefusesWithoutAMajority)
{
  FakeLedgerTransport peers;
  const auto replicas = LedgerClient::Replicas(kRouters, "id");
  peers.unreachable_ = { replicas[0], replicas[2] };
  LedgerClient client(peers);
  EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 3 }).verdict_,
            Verdict::Unavailable);
  peers.unreachable_ = { kRouters.begin(), kRouters.end() };
  EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 1 }).verdict_,
            Verdict::Unavailable);
  EXPECT_EQ(client.Begin({}, { "svc", "id", 1 }).verdict_,
            Verdict::Unavailable);
}

// Guards against refusing all requests while routers whose process has exited
// are still listed.
TEST(LedgerClient, ExitedReplicasAreIgnored)
{
  FakeLedgerTransport peers;
  const auto replicas = LedgerClient::Replicas(kRouters, "id");
  LedgerClient client(peers);
  peers.exited_ = { replicas[0], replicas[1] };
  EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 1 }).verdict_,
            Verdict::Forward);
  EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 2 }).verdict_,
            Verdict::AlreadySeen);
  peers.exited_.insert(replicas[2]);
  EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 3 }).verdict_,
            Verdict::Unavailable);
}

// Guards against refusing all retries of a request that was reported as not
// executed.
TEST(LedgerClient, RetryIsForwardedAfterNotRun)
{
  FakeLedgerTransport peers;
  LedgerClient client(peers);
  const auto first = client.Begin(kRouters, { "svc", "id", 1 });
  client.Finish(first, LedgerEntryState::NotRun);
  EXPECT_EQ(client.Begin(kRouters, { "svc", "id", 2 }).verdict_,
            Verdict::Forward);
}

// Guards against executing one id twice when responses are lost, messages are
// delayed and reordered, and one replica is intermittently unreachable.
RC_GTEST_PROP(LedgerClient, IdExecutesAtMostOnce, ())
{
  FakeLedgerTransport peers;
  LedgerClient client(peers);
  const auto replicas = LedgerClient::Replicas(kRouters, "id");
  const auto flaky = replicas[*rc::gen::inRange<size_t>(0, 3)];
  int runs = 0;
  uint64_t token = 0;
  std::vector<LedgerTicket> open;
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  for (const int step : steps) {
    if (step == 0) {
      auto ticket = client.Begin(kRouters, { "svc", "id", ++token });
      if (ticket.verdict_ == Verdict::Forward) {
        open.push_back(ticket);
        // Two concurrent attempts could both reach a server.
        RC_ASSERT(open.size() <= 1u);
        RC_ASSERT(runs == 0);
      }
    } else if (step == 1 && !open.empty()) {
      client.Finish(open.back(), LedgerEntryState::NotRun);
      open.pop_back();
    } else if (step == 2 && !open.empty()) {
      ++runs;
      client.Finish(open.back(), LedgerEntryState::Completed);
      open.pop_back();
    } else if (step == 3) {
      peers.unreachable_ = { flaky };
    } else if (step == 4) {
      peers.unreachable_.clear();
      peers.losesResponses_ = { flaky };
    } else if (step == 5 && !peers.delayed_.empty()) {
      peers.Deliver(*rc::gen::inRange<size_t>(0, peers.delayed_.size()));
    }
  }
}

}
}

#include "scheduling/SlotClient.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kGateway = 1;
constexpr uint32_t kService = 2;
constexpr uint32_t kServer = 3;
constexpr uint32_t kHome = 10;
constexpr uint32_t kOther = 20;
constexpr uint32_t kBroker = 100;
constexpr uint32_t kOtherBroker = 200;
constexpr uint32_t kDeputy = 300;
constexpr uint64_t kRequester = 1000;
constexpr TimeMs kPollMs = 5;

/// A client with brokers that answer only what the test says.
class SlotClientTest : public testing::Test
{
protected:
  struct Ask
  {
    uint32_t broker_ = 0;
    SlotRequest request_;
  };

  SlotDecision Start(uint64_t aRequester = kRequester)
  {
    SlotRequest request;
    request.service_ = kService;
    request.objectiveMs_ = 300;
    request.objectiveLeftMs_ = 200;
    request.remainingMs_ = 1000;
    return client_.Ask(aRequester, request, kHome, nowMs_);
  }
  SlotState StateOf(uint64_t aRequester = kRequester)
  {
    return client_.Check(aRequester, nowMs_).state_;
  }
  void Answer(const Ask& aAsk, SlotAnswer aAnswer)
  {
    aAnswer.gateway_ = kGateway;
    aAnswer.number_ = aAsk.request_.number_;
    client_.OnAnswer(aAsk.broker_, aAnswer, nowMs_);
  }
  void Assign(const Ask& aAsk)
  {
    Answer(aAsk, { .verdict_ = SlotVerdict::Assigned, .server_ = kServer });
  }
  void RunFor(TimeMs aMs)
  {
    for (const TimeMs endMs = nowMs_ + aMs; nowMs_ < endMs;) {
      nowMs_ += kPollMs;
      client_.Poll(nowMs_);
    }
  }
  /// Slots that the client has returned or withdrawn.
  const SlotEnd& LastEnd() const { return ends_.back().second; }

  TimeMs nowMs_ = 5000;
  std::map<uint32_t, uint32_t> brokers_ = { { kHome, kBroker },
                                            { kOther, kOtherBroker } };
  std::optional<uint32_t> deputy_;
  std::vector<Ask> asks_;
  std::vector<std::pair<uint32_t, SlotEnd>> ends_;
  int decided_ = 0;
  int silent_ = 0;
  /// Answers during Ask(), as a broker in the same process does.
  std::optional<SlotAnswer> localAnswer_;
  SlotClient client_{
    { [this](uint32_t, uint32_t aDomain, std::optional<uint32_t> aExcept)
        -> std::optional<uint32_t> {
       const auto found = brokers_.find(aDomain);
       if (found == brokers_.end()) {
         return std::nullopt;
       }
       return aExcept ? deputy_ : std::optional(found->second);
     },
      [this](uint32_t aBroker, const SlotRequest& aRequest) {
        asks_.push_back({ aBroker, aRequest });
        if (localAnswer_) {
          Answer(Ask(asks_.back()), *localAnswer_);
        }
      },
      [this](uint32_t aBroker, const SlotEnd& aEnd) {
        ends_.emplace_back(aBroker, aEnd);
      },
      [this] { ++decided_; },
      [this](uint32_t, const SlotRequest&) { ++silent_; } },
    kGateway,
    kHome
  };
};

// Guards against a slot that the request does not get, or that is not given
// back with what was learned.
TEST_F(SlotClientTest, AssignsAndReturnsASlot)
{
  EXPECT_EQ(Start().state_, SlotState::Pending);
  ASSERT_EQ(asks_.size(), 1u);
  EXPECT_EQ(asks_[0].broker_, kBroker);
  EXPECT_EQ(asks_[0].request_.gateway_, kGateway);
  EXPECT_EQ(asks_[0].request_.domain_, kHome);
  EXPECT_FALSE(asks_[0].request_.crossing_);
  Assign(asks_[0]);
  EXPECT_EQ(decided_, 1);
  const auto decision = client_.Check(kRequester, nowMs_);
  EXPECT_EQ(decision.state_, SlotState::Assigned);
  EXPECT_EQ(decision.server_, kServer);
  EXPECT_EQ(client_.SlotsInUse(), 1u);
  EXPECT_EQ(StateOf(), SlotState::Unasked);
  client_.Return(decision.number_, SlotOutcome::Served, 70, SlotLoad{ 2, 1 });
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].first, kBroker);
  EXPECT_EQ(LastEnd().server_, kServer);
  EXPECT_EQ(LastEnd().service_, kService);
  EXPECT_EQ(LastEnd().latencyMs_, 70);
  EXPECT_TRUE(LastEnd().load_);
  EXPECT_EQ(client_.SlotsInUse(), 0u);
  client_.Return(decision.number_, SlotOutcome::Served, 70, {});
  EXPECT_EQ(ends_.size(), 1u);
}

// Guards against a decision of a broker in the same process that is announced
// as a later one, or lost.
TEST_F(SlotClientTest, LocalBrokerDecidesAtOnce)
{
  localAnswer_ =
    SlotAnswer{ .verdict_ = SlotVerdict::Assigned, .server_ = kServer };
  EXPECT_EQ(Start().state_, SlotState::Assigned);
  EXPECT_EQ(decided_, 0);
  EXPECT_FALSE(client_.HasPending());
}

// Guards against requests that wait for a broker that nobody knows.
TEST_F(SlotClientTest, UnknownBrokerLeavesTheRequestUnscheduled)
{
  brokers_.clear();
  EXPECT_EQ(Start().state_, SlotState::Unscheduled);
  EXPECT_EQ(StateOf(), SlotState::Unasked);
  EXPECT_FALSE(client_.HasPending());
}

// Guards against a lost request that is never repeated, or repeated under
// another number, which would take two slots.
TEST_F(SlotClientTest, LostRequestIsRepeated)
{
  Start();
  RunFor(SlotClient::kResendMs);
  ASSERT_EQ(asks_.size(), 2u);
  EXPECT_EQ(asks_[1].request_.number_, asks_[0].request_.number_);
  EXPECT_EQ(asks_[1].request_.remainingMs_,
            asks_[0].request_.remainingMs_ - SlotClient::kResendMs);
  Assign(asks_[1]);
  EXPECT_EQ(StateOf(), SlotState::Assigned);
}

// Guards against a second slot after the answer to the first request was lost
// and both are answered.
TEST_F(SlotClientTest, LostAnswerAndDuplicateTakeOneSlot)
{
  Start();
  RunFor(SlotClient::kResendMs);
  Assign(asks_[1]);
  Assign(asks_[0]);
  EXPECT_EQ(client_.SlotsInUse(), 1u);
  EXPECT_EQ(StateOf(), SlotState::Assigned);
  Assign(asks_[0]);
  EXPECT_EQ(StateOf(), SlotState::Unasked);
  EXPECT_TRUE(ends_.empty());
  EXPECT_EQ(decided_, 1);
}

// Guards against a request that waits for an assignment that was lost.
TEST_F(SlotClientTest, LostAssignmentIsAskedForAgain)
{
  Start();
  Answer(asks_[0], { .verdict_ = SlotVerdict::Queued });
  RunFor(SlotClient::kQueuedResendMs - kPollMs);
  EXPECT_EQ(asks_.size(), 1u);
  RunFor(kPollMs);
  ASSERT_EQ(asks_.size(), 2u);
  Assign(asks_[1]);
  EXPECT_EQ(StateOf(), SlotState::Assigned);
}

// Guards against a broker that falls silent while a request waits there: it is
// given up after three repeats without an answer.
TEST_F(SlotClientTest, BrokerThatStopsAnsweringIsGivenUp)
{
  Start();
  Answer(asks_[0], { .verdict_ = SlotVerdict::Queued });
  RunFor(SlotClient::kQueuedResendMs + SlotClient::kSilentMs - kPollMs);
  EXPECT_EQ(asks_.size(), 4u);
  EXPECT_EQ(StateOf(), SlotState::Pending);
  RunFor(kPollMs);
  EXPECT_EQ(StateOf(), SlotState::Unscheduled);
}

// Guards against requests that a silent broker blocks for longer than
// kSilentMs, one after the other.
TEST_F(SlotClientTest, SilentBrokerBlocksNoRequestForLong)
{
  Start();
  RunFor(SlotClient::kSilentMs - kPollMs);
  EXPECT_EQ(StateOf(), SlotState::Pending);
  RunFor(kPollMs);
  EXPECT_EQ(StateOf(), SlotState::Unscheduled);
  EXPECT_EQ(silent_, 1);
  EXPECT_EQ(decided_, 1);
  EXPECT_EQ(LastEnd().server_, 0u);
  EXPECT_EQ(Start().state_, SlotState::Unscheduled);
  RunFor(SlotClient::kAvoidMs);
  // One request finds out whether the broker is back.
  EXPECT_EQ(Start().state_, SlotState::Pending);
  EXPECT_EQ(Start(kRequester + 1).state_, SlotState::Unscheduled);
  Assign(asks_.back());
  EXPECT_EQ(Start(kRequester + 1).state_, SlotState::Pending);
}

// Guards against requests that are decided without a broker although the next
// gateway could take over.
TEST_F(SlotClientTest, DeputyReplacesASilentBroker)
{
  deputy_ = kDeputy;
  Start();
  RunFor(SlotClient::kSilentMs);
  EXPECT_EQ(StateOf(), SlotState::Pending);
  EXPECT_EQ(asks_.back().broker_, kDeputy);
  Assign(asks_.back());
  EXPECT_EQ(StateOf(), SlotState::Assigned);
  Start();
  EXPECT_EQ(asks_.back().broker_, kDeputy);
  Assign(asks_.back());
  RunFor(SlotClient::kAvoidMs);
  Start();
  EXPECT_EQ(asks_.back().broker_, kBroker);
}

// Guards against a gateway that stalled, or whose link is full, and takes the
// broker for silent before it reads the answers.
TEST_F(SlotClientTest, StallDoesNotMakeABrokerSilent)
{
  Start();
  nowMs_ += 2 * SlotClient::kSilentMs;
  client_.Poll(nowMs_);
  EXPECT_EQ(StateOf(), SlotState::Pending);
  EXPECT_EQ(silent_, 0);
  Assign(asks_[0]);
  EXPECT_EQ(StateOf(), SlotState::Assigned);
}

// Guards against one lost answer that makes a broker silent which answers other
// requests.
TEST_F(SlotClientTest, AnswerToAnotherRequestIsASignOfTheBroker)
{
  Start();
  RunFor(SlotClient::kSilentMs - kPollMs);
  Start(kRequester + 1);
  Assign(asks_.back());
  RunFor(SlotClient::kSilentMs - kPollMs);
  EXPECT_EQ(StateOf(), SlotState::Pending);
  RunFor(SlotClient::kResendMs);
  EXPECT_EQ(StateOf(), SlotState::Unscheduled);
}

// Guards against requests in the queue of a broker that others found silent:
// they learn of it before their next repeat.
TEST_F(SlotClientTest, SilenceIsCheckedForWaitingRequestsToo)
{
  Start();
  Answer(asks_[0], { .verdict_ = SlotVerdict::Queued });
  Start(kRequester + 1);
  RunFor(2 * SlotClient::kSilentMs + kPollMs);
  EXPECT_EQ(StateOf(), SlotState::Unscheduled);
}

// Guards against a slot that leaks because a frozen broker assigns it after the
// request was decided without it.
TEST_F(SlotClientTest, LateAnswerReturnsTheSlotUnused)
{
  Start();
  RunFor(SlotClient::kSilentMs);
  EXPECT_EQ(StateOf(), SlotState::Unscheduled);
  const auto before = ends_.size();
  Assign(asks_[0]);
  ASSERT_EQ(ends_.size(), before + 1);
  EXPECT_EQ(ends_.back().first, kBroker);
  EXPECT_EQ(LastEnd().number_, asks_[0].request_.number_);
  EXPECT_EQ(LastEnd().server_, kServer);
  EXPECT_EQ(LastEnd().outcome_, SlotOutcome::Unused);
  EXPECT_EQ(StateOf(), SlotState::Unasked);
  // It answers again, so it is asked again.
  EXPECT_EQ(Start().state_, SlotState::Pending);
}

// Guards against the slot of a second broker that takes the request's place,
// when two gateways think that they are the broker.
TEST_F(SlotClientTest, SlotOfASecondBrokerIsReturned)
{
  Start();
  Ask second = asks_[0];
  second.broker_ = kOtherBroker;
  Assign(second);
  EXPECT_EQ(StateOf(), SlotState::Pending);
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].first, kOtherBroker);
  Assign(asks_[0]);
  EXPECT_EQ(StateOf(), SlotState::Assigned);
  EXPECT_EQ(ends_.size(), 1u);
}

// Guards against slots and queue places of requests whose callers have left.
TEST_F(SlotClientTest, WithdrawnRequestHoldsNothing)
{
  Start();
  client_.Withdraw(kRequester);
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(LastEnd().server_, 0u);
  EXPECT_EQ(LastEnd().number_, asks_[0].request_.number_);
  Assign(asks_[0]);
  EXPECT_EQ(ends_.size(), 2u);
  EXPECT_EQ(LastEnd().server_, kServer);
  EXPECT_FALSE(client_.HasPending());

  Start();
  Assign(asks_.back());
  client_.Withdraw(kRequester);
  EXPECT_EQ(ends_.size(), 3u);
  EXPECT_EQ(LastEnd().server_, kServer);
  EXPECT_EQ(LastEnd().outcome_, SlotOutcome::Unused);
  EXPECT_EQ(client_.SlotsInUse(), 0u);
  client_.Withdraw(kRequester);
  EXPECT_EQ(ends_.size(), 3u);
}

// Guards against a refusal that the caller does not get, with its time.
TEST_F(SlotClientTest, RefusalNamesCauseAndTime)
{
  Start();
  Answer(asks_[0],
         { .verdict_ = SlotVerdict::Refused,
           .cause_ = SlotCause::Full,
           .retryAfterMs_ = 90 });
  const auto decision = client_.Check(kRequester, nowMs_);
  EXPECT_EQ(decision.state_, SlotState::Refused);
  EXPECT_EQ(decision.cause_, SlotCause::Full);
  EXPECT_EQ(decision.retryAfterMs_, 90);
}

// Guards against a request that another domain's refusal ends although its own
// domain would run it later.
TEST_F(SlotClientTest, RequestRefusedElsewhereComesBackOnce)
{
  Start();
  Answer(asks_[0], { .verdict_ = SlotVerdict::Elsewhere, .domain_ = kOther });
  ASSERT_EQ(asks_.size(), 2u);
  EXPECT_EQ(asks_[1].broker_, kOtherBroker);
  EXPECT_TRUE(asks_[1].request_.crossing_);
  EXPECT_EQ(asks_[1].request_.domain_, kOther);
  Answer(asks_[1],
         { .verdict_ = SlotVerdict::Refused, .cause_ = SlotCause::Full });
  ASSERT_EQ(asks_.size(), 3u);
  EXPECT_EQ(asks_[2].broker_, kBroker);
  EXPECT_TRUE(asks_[2].request_.returned_);
  EXPECT_FALSE(asks_[2].request_.crossing_);
  EXPECT_EQ(asks_[2].request_.refusedBy_, kOther);
  // The broker knows the first number, and would repeat its answer.
  EXPECT_NE(asks_[2].request_.number_, asks_[0].request_.number_);
  Answer(asks_[2], { .verdict_ = SlotVerdict::Elsewhere, .domain_ = kOther });
  EXPECT_EQ(StateOf(), SlotState::Unscheduled);
  EXPECT_EQ(asks_.size(), 3u);
}

// Guards against requests lost to a domain whose broker is silent or unknown.
TEST_F(SlotClientTest, RequestComesBackFromASilentDomain)
{
  Start();
  Answer(asks_[0], { .verdict_ = SlotVerdict::Elsewhere, .domain_ = kOther });
  RunFor(SlotClient::kSilentMs);
  EXPECT_EQ(asks_.back().broker_, kBroker);
  EXPECT_TRUE(asks_.back().request_.returned_);
  Assign(asks_.back());
  EXPECT_EQ(StateOf(), SlotState::Assigned);
  // The other broker is avoided now.
  Start();
  Answer(asks_.back(),
         { .verdict_ = SlotVerdict::Elsewhere, .domain_ = kOther });
  EXPECT_EQ(asks_.back().broker_, kBroker);
  EXPECT_TRUE(asks_.back().request_.returned_);
}

// Guards against a crossing request that takes its time in the first domain
// for time that it still has.
TEST_F(SlotClientTest, TimesLeftShrinkOnTheWay)
{
  Start();
  nowMs_ += 12;
  Answer(asks_[0], { .verdict_ = SlotVerdict::Elsewhere, .domain_ = kOther });
  EXPECT_EQ(asks_[1].request_.objectiveLeftMs_,
            asks_[0].request_.objectiveLeftMs_ - 12);
}

// Guards against numbers that a restarted gateway shares with its predecessor.
TEST_F(SlotClientTest, NumbersOfProcessesDiffer)
{
  std::set<int64_t> numbers;
  for (int process = 0; process < 100; ++process) {
    SlotClient client({ [](uint32_t, uint32_t, std::optional<uint32_t>) {
                         return std::optional(kBroker);
                       },
                        [&](uint32_t, const SlotRequest& aRequest) {
                          numbers.insert(aRequest.number_);
                        },
                        [](uint32_t, const SlotEnd&) {},
                        [] {},
                        [](uint32_t, const SlotRequest&) {} },
                      kGateway,
                      kHome);
    client.Ask(kRequester, {}, kHome, nowMs_);
  }
  EXPECT_EQ(numbers.size(), 100u);
}

// Guards against memory that grows with slots that are never returned or
// decisions that nobody fetches.
TEST_F(SlotClientTest, ForgetsOldSlots)
{
  Start();
  Assign(asks_[0]);
  EXPECT_EQ(client_.SlotsInUse(), 1u);
  nowMs_ += SlotClient::kForgetMs;
  client_.Poll(nowMs_);
  EXPECT_EQ(client_.SlotsInUse(), 0u);
  EXPECT_EQ(StateOf(), SlotState::Unasked);
}

}
}

#include "gateway/SlotCodec.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint32_t kGateway = 0xF0000001;

wire::SlotRequest MakeRequest()
{
  SlotRequest request;
  request.number_ = INT64_MAX;
  request.service_ = 0xF0000002;
  request.domain_ = 0xF0000003;
  request.route_ = 0xF0000004;
  request.server_ = 0xF0000005;
  request.rank_ = 3;
  request.objectiveMs_ = 300;
  request.objectiveLeftMs_ = -20;
  request.remainingMs_ = 900;
  request.bytes_ = 5000;
  request.returned_ = true;
  request.refusedBy_ = 0xF0000006;
  request.avoided_ = { 0xF0000007 };
  request.connected_ = { 0xF0000008, 9 };
  return SlotCodec::ToWire(request);
}

wire::SlotAnswer MakeAnswer()
{
  SlotAnswer answer;
  answer.number_ = 7;
  answer.verdict_ = SlotVerdict::Assigned;
  answer.server_ = 0xF0000005;
  return SlotCodec::ToWire(answer);
}

wire::SlotEnd MakeEnd()
{
  SlotEnd end;
  end.number_ = 7;
  end.server_ = 0xF0000005;
  end.outcome_ = SlotOutcome::Served;
  end.latencyMs_ = 80;
  end.load_ = SlotLoad{ 2, 1, 1.5 };
  return SlotCodec::ToWire(end);
}

// Guards against fields that do not arrive as they were sent.
TEST(SlotCodec, MessagesArriveAsSent)
{
  const auto request = SlotCodec::FromWire(MakeRequest(), kGateway);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->gateway_, kGateway);
  EXPECT_EQ(request->number_, INT64_MAX);
  EXPECT_EQ(request->service_, 0xF0000002);
  EXPECT_EQ(request->domain_, 0xF0000003);
  EXPECT_EQ(request->route_, 0xF0000004);
  EXPECT_EQ(request->server_, 0xF0000005);
  EXPECT_EQ(request->rank_, 3);
  EXPECT_EQ(request->objectiveMs_, 300);
  EXPECT_EQ(request->objectiveLeftMs_, -20);
  EXPECT_EQ(request->remainingMs_, 900);
  EXPECT_EQ(request->bytes_, 5000u);
  EXPECT_FALSE(request->crossing_);
  EXPECT_TRUE(request->returned_);
  EXPECT_EQ(request->refusedBy_, 0xF0000006);
  EXPECT_EQ(request->avoided_, std::vector<uint32_t>{ 0xF0000007 });
  EXPECT_EQ(request->connected_, (std::vector<uint32_t>{ 0xF0000008, 9 }));

  const auto answer = SlotCodec::FromWire(MakeAnswer(), kGateway);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->verdict_, SlotVerdict::Assigned);
  EXPECT_EQ(answer->server_, 0xF0000005);

  const auto end = SlotCodec::FromWire(MakeEnd(), kGateway);
  ASSERT_TRUE(end && end->load_);
  EXPECT_EQ(end->outcome_, SlotOutcome::Served);
  EXPECT_EQ(end->latencyMs_, 80);
  EXPECT_EQ(end->load_->running_, 2);
  EXPECT_EQ(end->load_->waiting_, 1);
  EXPECT_DOUBLE_EQ(end->load_->slowness_, 1.5);

  const SlotSummary sent{ 0xF0000002, 0xF0000003, 12.5, 0.75, 40 };
  const auto summary = SlotCodec::FromWire(SlotCodec::ToWire(sent));
  ASSERT_TRUE(summary);
  EXPECT_EQ(summary->service_, sent.service_);
  EXPECT_EQ(summary->domain_, sent.domain_);
  EXPECT_DOUBLE_EQ(summary->freeSlots_, 12.5);
  EXPECT_DOUBLE_EQ(summary->utilization_, 0.75);
  EXPECT_EQ(summary->waitMs_, 40);
}

// Guards against a server without a load report that counts as one without
// load.
TEST(SlotCodec, KeepsThatThereWasNoLoadReport)
{
  const auto end = SlotCodec::FromWire(SlotCodec::ToWire(SlotEnd{}), kGateway);
  ASSERT_TRUE(end);
  EXPECT_FALSE(end->load_);
}

// Guards against own figures that other gateways would drop as invalid.
TEST(SlotCodec, SendsOnlyNumbersInRange)
{
  SlotRequest request;
  request.rank_ = 1000;
  request.objectiveMs_ = INT64_MAX;
  request.objectiveLeftMs_ = INT64_MIN;
  request.remainingMs_ = -1;
  request.bytes_ = UINT32_MAX;
  request.connected_.resize(1000);
  EXPECT_TRUE(SlotCodec::FromWire(SlotCodec::ToWire(request), kGateway));
  SlotEnd end;
  end.latencyMs_ = -1;
  end.load_ =
    SlotLoad{ -1, INT32_MAX, std::numeric_limits<double>::quiet_NaN() };
  EXPECT_TRUE(SlotCodec::FromWire(SlotCodec::ToWire(end), kGateway));
  const SlotSummary summary{
    1, 2, std::numeric_limits<double>::infinity(), -1, -1
  };
  EXPECT_TRUE(SlotCodec::FromWire(SlotCodec::ToWire(summary)));
}

template<typename Message>
using Changes = std::vector<std::function<void(Message&)>>;

// Guards against numbers of other gateways that the scheduling was not made
// for: each one out of range, in a message that is valid otherwise.
TEST(SlotCodec, DropsNumbersOutOfRange)
{
  for (const auto& change : Changes<wire::SlotRequest>{
         [](auto& aRequest) { aRequest.rank = -1; },
         [](auto& aRequest) { aRequest.rank = SlotCodec::kMaxRank + 1; },
         [](auto& aRequest) { aRequest.objectiveMs = -1; },
         [](auto& aRequest) { aRequest.objectiveMs = INT32_MAX; },
         [](auto& aRequest) { aRequest.objectiveLeftMs = INT32_MIN; },
         [](auto& aRequest) { aRequest.remainingMs = -1; },
         [](auto& aRequest) { aRequest.bytes = -1; },
         [](auto& aRequest) { aRequest.avoided.resize(65); },
         [](auto& aRequest) { aRequest.connected.resize(65); } }) {
    auto request = MakeRequest();
    change(request);
    EXPECT_FALSE(SlotCodec::FromWire(request, kGateway));
  }
  for (const auto& change : Changes<wire::SlotAnswer>{
         [](auto& aAnswer) { aAnswer.verdict = -1; },
         [](auto& aAnswer) { aAnswer.verdict = 4; },
         [](auto& aAnswer) { aAnswer.cause = 5; },
         [](auto& aAnswer) { aAnswer.server = 0; },
         [](auto& aAnswer) { aAnswer.retryAfterMs = -1; } }) {
    auto answer = MakeAnswer();
    change(answer);
    EXPECT_FALSE(SlotCodec::FromWire(answer, kGateway));
  }
  for (const auto& change :
       Changes<wire::SlotEnd>{ [](auto& aEnd) { aEnd.outcome = 5; },
                               [](auto& aEnd) { aEnd.latencyMs = -1; },
                               [](auto& aEnd) { aEnd.running = -2; },
                               [](auto& aEnd) { aEnd.waiting = -1; },
                               [](auto& aEnd) { aEnd.slownessPercent = 0; } }) {
    auto end = MakeEnd();
    change(end);
    EXPECT_FALSE(SlotCodec::FromWire(end, kGateway));
  }
  for (const auto& change : Changes<wire::SlotSummary>{
         [](auto& aSummary) { aSummary.freeSlots = -1; },
         [](auto& aSummary) { aSummary.utilization = -1; },
         [](auto& aSummary) { aSummary.waitMs = -1; } }) {
    auto summary = SlotCodec::ToWire(SlotSummary{});
    change(summary);
    EXPECT_FALSE(SlotCodec::FromWire(summary));
  }
}

}
}

#include "policy/RequestQueue.hpp"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr ServiceRate kRate{ .serviceMs_ = 10, .concurrency_ = 1 };
constexpr TimeMs kFarDeadline = 100000;

// Guards against serving a request before one with an earlier deadline.
TEST(RequestQueue, EarliestDeadlineFirst)
{
  RequestQueue queue({}, 1);
  std::vector<RefusedRequest> refused;
  queue.Offer({ 1, 11, kFarDeadline }, kRate, 0, refused);
  queue.Offer({ 2, 12, 500 }, kRate, 0, refused);
  queue.Offer({ 3, 13, 900 }, kRate, 0, refused);
  EXPECT_EQ(queue.Take(kRate, 0, refused)->id_, 2u);
  EXPECT_EQ(queue.Take(kRate, 0, refused)->id_, 3u);
  EXPECT_EQ(queue.Take(kRate, 0, refused)->id_, 1u);
  EXPECT_TRUE(refused.empty());
}

// Guards against a burst of requests for one key that fills the queue and
// starves the other keys, even if its deadlines are earlier.
TEST(RequestQueue, BurstForOneKeyGetsOnlyItsShare)
{
  RequestQueue queue({ .limit_ = 16 }, 1);
  std::vector<RefusedRequest> refused;
  for (uint64_t id = 0; id < 16; ++id) {
    queue.Offer({ id, 1, 1000 }, kRate, 0, refused);
  }
  for (uint64_t id = 100; id < 104; ++id) {
    queue.Offer({ id, id, kFarDeadline }, kRate, 0, refused);
  }
  EXPECT_EQ(queue.Size(), 16u);
  EXPECT_EQ(refused.size(), 4u);
  std::set<uint64_t> firstFive;
  for (int i = 0; i < 5; ++i) {
    firstFive.insert(queue.Take(kRate, 0, refused)->id_);
  }
  EXPECT_EQ(firstFive, (std::set<uint64_t>{ 0, 100, 101, 102, 103 }));
  for (const auto& request : refused) {
    EXPECT_LT(request.id_, 100u);
  }
}

// Guards against queueing a request that can't be served in time until its
// deadline instead of rejecting it immediately.
TEST(RequestQueue, RequestThatCannotMeetItsDeadlineIsRejected)
{
  RequestQueue queue({}, 1);
  std::vector<RefusedRequest> refused;
  for (uint64_t id = 0; id < 20; ++id) {
    queue.Offer({ id, id, 150 }, kRate, 0, refused);
  }
  // Seven requests use up half of the 150 ms.
  EXPECT_EQ(queue.Size(), 7u);
  EXPECT_EQ(refused.size(), 13u);
  queue.Expire(kRate, 130, refused);
  EXPECT_EQ(queue.Size(), 7u);
  queue.Expire(kRate, 131, refused);
  EXPECT_EQ(queue.Size(), 0u);
  EXPECT_EQ(refused.size(), 20u);
}

// Guards against rejected callers that all retry at the same time.
TEST(RequestQueue, RetriesOfRejectedCallersAreSpread)
{
  RequestQueue queue({}, 1);
  std::vector<TimeMs> waits;
  for (int i = 0; i < 400; ++i) {
    waits.push_back(queue.RetryAfterMs(kRate, 0));
  }
  std::ranges::sort(waits);
  EXPECT_GE(waits.front(), 50);
  // 400 callers at 15% of 100 requests/s need 26.7 s.
  EXPECT_GT(waits.back(), 24000);
  EXPECT_LE(waits.back(), 26800);
  for (size_t i = 0; i + 40 < waits.size(); ++i) {
    EXPECT_GT(waits[i + 40] - waits[i], 1000) << i;
  }
}

// Guards against lost or duplicated requests in any sequence of calls.
RC_GTEST_PROP(RequestQueue, EveryRequestLeavesOnce, ())
{
  RequestQueue queue({ .limit_ = 8 }, 1);
  std::vector<RefusedRequest> refused;
  std::multiset<uint64_t> left;
  uint64_t offered = 0;
  TimeMs now = 0;
  for (const int step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
    now += step % 5;
    if (step < 28) {
      queue.Offer({ offered++, static_cast<KeyHash>(step % 3), now + step * 8 },
                  kRate,
                  now,
                  refused);
    } else if (step < 36) {
      if (const auto taken = queue.Take(kRate, now, refused)) {
        left.insert(taken->id_);
      }
    } else if (queue.Remove(offered / 2)) {
      left.insert(offered / 2);
    }
    RC_ASSERT(queue.Size() <= 8u);
  }
  while (const auto taken = queue.Take(kRate, now, refused)) {
    left.insert(taken->id_);
  }
  for (const auto& request : refused) {
    left.insert(request.id_);
  }
  RC_ASSERT(left.size() == offered);
  RC_ASSERT(std::set<uint64_t>(left.begin(), left.end()).size() == offered);
}

}
}

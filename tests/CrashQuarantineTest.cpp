#include "policy/CrashQuarantine.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr uint64_t kBad = 1;
constexpr uint64_t kGood = 2;

SuspectVerdict Begin(CrashQuarantine& aQuarantine,
                     uint64_t aFingerprint,
                     TimeMs aNowMs,
                     const char* aServer = "b")
{
  return aQuarantine.TryBegin(aFingerprint, aServer, aNowMs).verdict_;
}

// Guards against a request that crashes a third server, and against
// quarantining another request that was in flight with it.
TEST(CrashQuarantine, SecondCrashQuarantinesOnlyTheCrashingRequest)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash("a", { kBad, kGood }, 0);
  EXPECT_EQ(Begin(quarantine, kBad, 10), SuspectVerdict::Run);
  EXPECT_EQ(Begin(quarantine, kGood, 10), SuspectVerdict::Wait);
  quarantine.OnCrash("b", { kBad, 77 }, 20);
  EXPECT_EQ(Begin(quarantine, kBad, 30), SuspectVerdict::Refuse);
  EXPECT_EQ(Begin(quarantine, 77, 30), SuspectVerdict::Run);
  EXPECT_EQ(Begin(quarantine, kGood, 30), SuspectVerdict::Run);
  quarantine.OnEnd(kGood, "b", true, 40);
  EXPECT_EQ(Begin(quarantine, kGood, 50, "c"), SuspectVerdict::Run);
  EXPECT_EQ(Begin(quarantine, kGood, 50, "c"), SuspectVerdict::Run);
}

// Guards against suspects of different routers running on the same server,
// where a crash would be attributed to both.
TEST(CrashQuarantine, RoutersTakeTurns)
{
  constexpr int kRouters = 8;
  std::vector<CrashQuarantine> routers(kRouters);
  std::vector<std::string> names(kRouters);
  for (int i = 0; i < kRouters; ++i) {
    names[i] = "router-" + std::to_string(i);
  }
  for (int i = 0; i < kRouters; ++i) {
    routers[i].SetMembers(names[i], names);
    routers[i].OnCrash("a", { 100 + static_cast<uint64_t>(i) }, i % 3);
  }
  std::vector<int> started(kRouters);
  for (TimeMs now = 3; now < 1600; ++now) {
    int startedNow = 0;
    for (int i = 0; i < kRouters; ++i) {
      const auto fingerprint = 100 + static_cast<uint64_t>(i);
      if (Begin(routers[i], fingerprint, now) == SuspectVerdict::Run) {
        ++started[i];
        ++startedNow;
        routers[i].OnEnd(fingerprint, "b", false, now);
      }
    }
    EXPECT_LE(startedNow, 1) << now;
  }
  for (int i = 0; i < kRouters; ++i) {
    EXPECT_GT(started[i], 0) << i;
  }
}

// Guards against a quarantine that doesn't reach the other routers, and against
// a delayed message that quarantines a released request again.
TEST(CrashQuarantine, MergeAndRelease)
{
  CrashQuarantine here;
  CrashQuarantine peer;
  here.OnCrash("a", { kBad }, 0);
  here.OnCrash("b", { kBad }, 100);
  EXPECT_TRUE(here.TakeChanged());
  EXPECT_FALSE(here.TakeChanged());
  const auto early = here.Entries(150);
  peer.Merge(early, 160);
  EXPECT_EQ(Begin(peer, kBad, 200), SuspectVerdict::Refuse);
  peer.Release(kBad, 300);
  peer.Merge(early, 310);
  EXPECT_EQ(Begin(peer, kBad, 320), SuspectVerdict::Run);
  here.Merge(peer.Entries(330), 340);
  EXPECT_EQ(Begin(here, kBad, 350), SuspectVerdict::Run);
  here.OnCrash("c", { kBad }, 400);
  here.OnCrash("d", { kBad }, 500);
  peer.Merge(here.Entries(510), 520);
  EXPECT_EQ(Begin(peer, kBad, 530), SuspectVerdict::Refuse);
}

// Guards against a message of a peer that doesn't know yet that the request has
// succeeded, and against an entry that never expires.
TEST(CrashQuarantine, ClearanceAndExpiry)
{
  CrashQuarantine here;
  CrashQuarantine peer;
  here.OnCrash("a", { kGood }, 0);
  peer.Merge(here.Entries(5), 5);
  EXPECT_EQ(Begin(here, kGood, 10), SuspectVerdict::Run);
  here.OnEnd(kGood, "b", true, 20);
  here.Merge(peer.Entries(30), 30);
  EXPECT_EQ(here.Entries(40).front().crashes_, 0);
  peer.Merge(here.Entries(50), 50);
  EXPECT_EQ(peer.Entries(60).front().crashes_, 0);

  here.OnCrash("a", { kBad }, 100);
  here.OnCrash("b", { kBad }, 200);
  EXPECT_EQ(Begin(here, kBad, 600199), SuspectVerdict::Refuse);
  EXPECT_EQ(Begin(here, kBad, 600201), SuspectVerdict::Run);
  EXPECT_FALSE(here.HasSuspects());
}

// Guards against losing the conclusive crash record of a request because the
// maximum number of records was reached.
TEST(CrashQuarantine, ManyCrashesDoNotHideTheConclusiveOne)
{
  CrashQuarantine quarantine;
  quarantine.SetMembers("r", { "r" });
  for (int i = 0; i < 40; ++i) {
    quarantine.OnCrash("s" + std::to_string(i), { { kBad, 0 } }, i);
  }
  const auto trial = quarantine.TryBegin(kBad, "t", 100);
  EXPECT_EQ(trial.verdict_, SuspectVerdict::Run);
  quarantine.OnCrash("t", { { kBad, trial.knownCrashes_ } }, 110);
  EXPECT_EQ(Begin(quarantine, kBad, 120), SuspectVerdict::Refuse);
  EXPECT_TRUE(quarantine.Find(kBad, 120).quarantined_);
}

// Guards against quarantining a harmless request that was in flight at two of
// many crashed servers, and against a mass crash that hides a request which
// does crash servers.
TEST(CrashQuarantine, MassCrashNeedsOneMoreCrash)
{
  CrashQuarantine quarantine;
  quarantine.OnCrash("a", { { kGood, 0 } }, 0);
  for (int i = 0; i < 10; ++i) {
    quarantine.OnCrash("m" + std::to_string(i), { { 100u + i, 0 } }, i);
  }
  quarantine.OnCrash("b", { { kGood, 1 } }, 50);
  EXPECT_EQ(Begin(quarantine, kGood, 60), SuspectVerdict::Run);
  quarantine.OnCrash("c", { { kGood, 2 } }, 70);
  EXPECT_EQ(Begin(quarantine, kGood, 80), SuspectVerdict::Refuse);
}

// Guards against unbounded memory use; quarantined requests are kept longest.
TEST(CrashQuarantine, EntriesAreBounded)
{
  CrashQuarantine quarantine({ .maxEntries_ = 10 });
  quarantine.OnCrash("a", { kBad }, 0);
  quarantine.OnCrash("b", { kBad }, 1);
  for (uint64_t i = 100; i < 200; ++i) {
    quarantine.OnCrash("c", { i }, 2);
  }
  EXPECT_EQ(quarantine.Entries(3).size(), 10u);
  EXPECT_EQ(Begin(quarantine, kBad, 3), SuspectVerdict::Refuse);
}

}
}

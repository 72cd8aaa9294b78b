#include "membership/EvacuationSet.hpp"

#include "gateway/StoreRevision.hpp"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

using Domains = EvacuationSet::Domains;

// Guards against an evacuation that ends because a gateway that has lost the
// store tells its old state, and against one that is taken back and stays.
TEST(EvacuationSet, HigherRevisionHolds)
{
  EvacuationSet set;
  EXPECT_FALSE(set.Merge({ "a" }, 0));
  EXPECT_TRUE(set.All().empty());
  EXPECT_TRUE(set.Replace({}, 10));
  EXPECT_TRUE(set.Merge({ "a" }, 12));
  EXPECT_FALSE(set.Merge({}, 11));
  EXPECT_FALSE(set.Replace({}, 11));
  EXPECT_FALSE(set.Apply({}, { "a" }, 12));
  EXPECT_TRUE(set.Contains("a"));
  EXPECT_TRUE(set.Apply({ "b" }, { "a" }, 13));
  EXPECT_EQ(set.All(), Domains{ "b" });
  EXPECT_FALSE(set.Merge({ "a" }, -1));
  EXPECT_EQ(set.Revision(), 13);
}

// Guards against a state before the first list that counts as known: a gateway
// would say that it is ready before it knows the evacuations.
TEST(EvacuationSet, IsUnknownBeforeTheFirstState)
{
  EvacuationSet set;
  set.AdvanceTo(20);
  EXPECT_EQ(set.Revision(), 0);
  EXPECT_FALSE(set.Replace({ "a" }, 0));
  EXPECT_TRUE(set.Replace({ "a" }, 5));
  set.AdvanceTo(20);
  set.AdvanceTo(7);
  EXPECT_EQ(set.Revision(), 20);
  EXPECT_TRUE(set.Contains("a"));
}

// Guards against evacuations that are ignored after the store was restored,
// because its numbers are below the earlier ones.
TEST(EvacuationSet, RestoredStoreReplacesTheState)
{
  EvacuationSet set;
  EXPECT_TRUE(set.Replace({ "a" }, MakeRevision(1, 900)));
  EXPECT_TRUE(set.Replace({ "b" }, MakeRevision(2, 30)));
  EXPECT_FALSE(set.Merge({ "a" }, MakeRevision(1, 950)));
  EXPECT_EQ(set.All(), Domains{ "b" });
}

// Guards against entries of another writer that crowd an evacuated domain out
// of the datagrams.
TEST(EvacuationSet, DomainsWithServersComeFirst)
{
  EvacuationSet set;
  Domains domains{ "zone" };
  for (int index = 0; index < 1000; ++index) {
    domains.insert("other" + std::to_string(index));
  }
  ASSERT_TRUE(set.Replace(domains, 1));
  const auto selected =
    set.Select(10, [](const auto& aDomain) { return aDomain == "zone"; });
  ASSERT_EQ(selected.size(), 10U);
  EXPECT_EQ(selected.front(), "zone");
}

// Guards against gateways that end in different states: whatever part of a
// history of the store each learns, in whatever order, it ends with the state
// of the highest revision that it has seen.
RC_GTEST_PROP(EvacuationSetProperty, EndsWithTheNewestState, ())
{
  std::vector<Domains> states{ {} };
  const auto changes =
    *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 4));
  for (const int change : changes) {
    auto next = states.back();
    const auto domain = std::to_string(change);
    if (next.erase(domain) == 0) {
      next.insert(domain);
    }
    states.push_back(std::move(next));
  }
  EvacuationSet set;
  size_t newest = 0;
  const auto seen = *rc::gen::container<std::vector<size_t>>(
    rc::gen::inRange<size_t>(0, states.size()));
  for (const auto index : seen) {
    const auto revision = static_cast<int64_t>(index + 1);
    if (*rc::gen::arbitrary<bool>()) {
      set.Merge(states[index], revision);
    } else {
      set.Replace(states[index], revision);
    }
    newest = std::max(newest, index);
    RC_ASSERT(set.All() == states[newest]);
    RC_ASSERT(set.Revision() == static_cast<int64_t>(newest + 1));
  }
}

}
}

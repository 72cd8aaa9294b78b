#include "common/RepeatFilter.hpp"
#include "common/Strings.hpp"
#include "tests/PlatformStore.hpp"
#include "tests/ProcessFleet.hpp"

#include <fstream>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

TEST(RepeatFilter, PassesEachSubjectOncePerInterval)
{
  RepeatFilter filter;
  EXPECT_TRUE(filter.Passes("a", 1000));
  EXPECT_FALSE(filter.Passes("a", 1000 + RepeatFilter::kIntervalMs - 1));
  EXPECT_TRUE(filter.Passes("b", 2000));
  EXPECT_TRUE(filter.Passes("a", 1000 + RepeatFilter::kIntervalMs));
  EXPECT_FALSE(filter.Passes("b", 1000 + RepeatFilter::kIntervalMs));
}

// Guards against memory that grows with the names that another writer invents.
TEST(RepeatFilter, RemembersABoundedNumberOfSubjects)
{
  RepeatFilter filter;
  for (size_t index = 0; index < RepeatFilter::kMaxSubjects; ++index) {
    EXPECT_TRUE(filter.Passes(Concat("n", index), 1));
  }
  EXPECT_FALSE(filter.Passes("further", 1));
  EXPECT_TRUE(filter.Passes("further", 1 + RepeatFilter::kIntervalMs));
}

/// A gateway process and a store.
class OddEntryLogTest : public testing::Test
{
protected:
  OddEntryLogTest()
  {
    fleet_.Launch("gateway",
                  "cactuspitch-gateway",
                  {},
                  { { "CACTUSPITCH_INSTANCE", "g" },
                    { "CACTUSPITCH_FAILURE_DOMAIN", "z" },
                    { "CACTUSPITCH_LISTEN", FreeEndpoint().ToText() },
                    { "CACTUSPITCH_READY_LISTEN", FreeEndpoint().ToText() },
                    { "CACTUSPITCH_PEER_LISTEN", FreeEndpoint().ToText() },
                    { "CACTUSPITCH_METRICS_LISTEN", FreeEndpoint().ToText() },
                    { "CACTUSPITCH_EVACUATION_MS", "5000" },
                    { "CACTUSPITCH_STORE", store_.Address().ToText() } });
  }
  /// Lines of the gateway's log with all of these texts.
  int Lines(const std::vector<std::string>& aTexts) const
  {
    std::ifstream file(Concat(fleet_.LogDirectory(), "/gateway.log"));
    int count = 0;
    for (std::string line; std::getline(file, line);) {
      count += std::ranges::all_of(aTexts, [&](const auto& aText) {
        return line.find(aText) != std::string::npos;
      });
    }
    return count;
  }
  /// Writes the entries again and again, as servers write their registrations.
  void WriteOften(const std::string& aKind)
  {
    constexpr int kWrites = 8;
    for (int write = 0; write < kWrites; ++write) {
      store_.Put(aKind, "a&b", { { "status", Concat("state ", write) } });
      store_.PutText(aKind, "c\xff", "{\"metadata\":{\"name\":\"c\xff\"}}");
      store_.PutText(aKind, "d", R"({"metadata":{"name":"d"}})");
      store_.PutText(
        aKind, "e", R"({"metadata":{"name":"e","revision":7},"spec":?})");
      store_.PutText(aKind, "f", "7");
      RunLoopFor(loop_, 300);
    }
  }

  EventLoop loop_;
  PlatformStore store_{ loop_, kPlatformPages };
  ProcessFleet fleet_{ BINARY_DIR };
};

// Guards against operators who do not see an odd entry, and against logs that
// are full of it: the entry is read again with each of its writes.
TEST_F(OddEntryLogTest, NamesEachEntryOnce)
{
  for (const auto* kind :
       { "servers", "evacuations", "config", "cactuspitch" }) {
    WriteOften(kind);
    const auto ofKind = Concat("kind=\"", kind, "\"");
    const std::string event = "event=store-entry-unreadable";
    EXPECT_EQ(Lines({ event, ofKind, "name=\"c\\377\"", "name-encoding" }), 1)
      << kind;
    EXPECT_EQ(Lines({ event, ofKind, "name=\"d\"", "\"revision\"" }), 1)
      << kind;
    EXPECT_EQ(Lines({ event, ofKind, "name=\"e\"", "\"content\"" }), 1) << kind;
    EXPECT_EQ(Lines({ event, ofKind, "name=\"\"", "reason=\"name\"" }), 1)
      << kind;
    EXPECT_EQ(Lines({ event, ofKind }), 4) << kind;
  }
  EXPECT_EQ(Lines({ "event=backend-unreadable", "backend=\"a&b\"" }), 1);
  EXPECT_EQ(Lines({ "event=backend-unreadable" }), 1);
  EXPECT_EQ(Lines({ "event=evacuation-unreadable" }), 0);
  EXPECT_EQ(Lines({ "event=backend-changed" }), 0);
}

}
}

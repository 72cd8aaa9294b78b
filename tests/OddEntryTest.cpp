// Entries of another writer among those that the gateways list and watch.

#include "common/Strings.hpp"
#include "tests/OddEntries.hpp"
#include "tests/ServiceFixture.hpp"

#include <array>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

/// Odd entries, and the pages in which the store lists them.
struct OddEntryTable
{
  const char* name_;
  std::vector<OddEntry> (*entries_)();
  PageLimits pages_;
};

/// Entries of a kind that the gateways follow.
struct FollowedKind
{
  const char* name_;
  const char* kind_;
  const char* prefix_; ///< of the names that gateways look at
};

constexpr std::array kKinds = {
  FollowedKind{ "Servers", "servers", "" },
  FollowedKind{ "Configurations", "config", "" },
  FollowedKind{ "Evacuations", "evacuations", "" },
  FollowedKind{ "Gateways", "cactuspitch", "instance." },
};

/// With one object in each page, each name is asked for again.
constexpr PageLimits kSmallPages{ 1, SIZE_MAX };

const std::array kOddEntries = {
  OddEntryTable{ "Names", &OddNames, kSmallPages },
  OddEntryTable{ "Metadata", &OddMetadata, kPlatformPages },
  OddEntryTable{ "Content", &OddContent, kPlatformPages },
};

class OddEntryTest
  : public ServiceFixture
  , public testing::WithParamInterface<std::tuple<FollowedKind, OddEntryTable>>
{
protected:
  OddEntryTest() { fixture_.Store().SetPageLimits(Odd().pages_); }

  static const FollowedKind& Kind() { return std::get<0>(GetParam()); }
  static const OddEntryTable& Odd() { return std::get<1>(GetParam()); }

  /// Puts the entries before and behind all others.
  void PutOddEntries()
  {
    for (const auto* place : { "", "zz" }) {
      for (const auto& entry : Odd().entries_()) {
        PutOddEntry(
          fixture_.Store(), Kind().kind_, Concat(Kind().prefix_, place), entry);
      }
    }
  }
  /// Changes the kind in a way that shows in its metric.
  void Change()
  {
    const std::string kind = Kind().kind_;
    if (kind == "servers") {
      fixture_.Register("p9", 0, 2);
    } else if (kind == "config") {
      fixture_.PutConfig(2, {});
    } else if (kind == "evacuations") {
      fixture_.Store().Put(kind, "z", { { "by", "operator" } });
    } else {
      fixture_.AddGateway("g9");
    }
  }
  bool IsChangeInForce()
  {
    const std::string kind = Kind().kind_;
    if (kind == "servers") {
      return Shows("cactuspitch_backends 4");
    }
    if (kind == "config") {
      return Shows("cactuspitch_config_version 2");
    }
    if (kind == "evacuations") {
      // The domain of all servers.
      return Shows("cactuspitch_ready 1") && !IsServed();
    }
    return Shows("cactuspitch_peers_alive 1");
  }
  /// Waits until the change is in force, and undoes an evacuation.
  void ExpectChangeAndService()
  {
    EXPECT_TRUE(Eventually([this] { return IsChangeInForce(); }));
    fixture_.Store().Remove("evacuations", "z");
    EXPECT_TRUE(Eventually([this] { return IsServed(); }));
    EXPECT_EQ(fixture_.Store().Refused(), 0);
  }
};

// Guards against a list that is not read to its end while an entry of another
// writer stands in it: no server is known after a restart of all gateways
// (review/11).
TEST_P(OddEntryTest, OthersInAListAreInForce)
{
  PutOddEntries();
  Change();
  Restart();
  ExpectChangeAndService();
}

// Guards against a watch that stays at such an entry.
TEST_P(OddEntryTest, LaterEventsAreInForce)
{
  PutOddEntries();
  fixture_.RunFor(500);
  PutOddEntries();
  Change();
  ExpectChangeAndService();
}

INSTANTIATE_TEST_SUITE_P(EachKind,
                         OddEntryTest,
                         testing::Combine(testing::ValuesIn(kKinds),
                                          testing::ValuesIn(kOddEntries)),
                         [](const auto& aInfo) {
                           return Concat(std::get<0>(aInfo.param).name_,
                                         std::get<1>(aInfo.param).name_);
                         });

}
}

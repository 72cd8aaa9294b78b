#include "rpc/TableCodec.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

GroupTable MakeTable(size_t aSlices)
{
  GroupTable table;
  table.service_ = "registry-query";
  table.term_ = 3;
  table.sequence_ = 7;
  table.servers_ = { { .id_ = "a" }, { .id_ = "b" } };
  const KeyHash width = UINT64_MAX / aSlices;
  for (size_t i = 0; i < aSlices; ++i) {
    table.slices_.push_back({ i * width, 1, static_cast<int32_t>(i % 2), 0 });
  }
  return table;
}

// Guards against deltas after which a router's table differs from the
// assigner's.
RC_GTEST_PROP(TableCodec, DeltaReproducesTable, ())
{
  const auto old = MakeTable(*rc::gen::inRange<size_t>(1, 40));
  auto changed = old;
  changed.sequence_ = 8;
  for (auto& slice : changed.slices_) {
    if (*rc::gen::arbitrary<bool>()) {
      slice.owner_ = 1 - slice.owner_;
      ++slice.epoch_;
    }
  }
  if (*rc::gen::arbitrary<bool>()) {
    changed.servers_[1].draining_ = true;
  }
  auto applied = old;
  RC_ASSERT(ApplyWire(ToWireDelta(old, changed), applied).ok());
  RC_ASSERT(applied.slices_ == changed.slices_);
  RC_ASSERT(applied.servers_ == changed.servers_);
  RC_ASSERT(applied.sequence_ == 8);
}

// Guards against sending the server list with every poll, which would exceed
// the bandwidth limit of a process.
TEST(TableCodec, DeltaLeavesUnchangedServersOut)
{
  const auto old = MakeTable(4);
  auto changed = old;
  changed.sequence_ = 8;
  EXPECT_TRUE(ToWireDelta(old, changed).servers.empty());
}

// Guards against encoding a split as a delta, which cannot express it.
TEST(TableCodec, SplitSendsTheFullTable)
{
  const auto old = MakeTable(4);
  auto split = old;
  split.sequence_ = 8;
  split.slices_.insert(split.slices_.begin() + 1, { 5, 1, 0, 1 });
  EXPECT_TRUE(ToWireDelta(old, split).isFull);
}

// Guards against applying a delta to a version other than its base.
TEST(TableCodec, DeltaOfAnotherVersionIsRefused)
{
  auto table = MakeTable(4);
  auto next = table;
  next.sequence_ = 9;
  auto delta = ToWireDelta(table, next);
  table.sequence_ = 6;
  EXPECT_EQ(ApplyWire(delta, table).code(),
            absl::StatusCode::kFailedPrecondition);
}

// Guards against accepting a message whose indices are outside the server list.
TEST(TableCodec, InvalidOwnerIndexIsRefused)
{
  auto message = ToWire(MakeTable(4));
  message.slices[2].owner = 2;
  GroupTable table;
  EXPECT_EQ(ApplyWire(message, table).code(),
            absl::StatusCode::kInvalidArgument);
}

}
}

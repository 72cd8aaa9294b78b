#pragma once

#include "common/GroupTable.hpp"
#include "common/Types.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <cactuspitch_types.h>

namespace cactuspitch {

/// End of a lease that is extended in place, so that a renewal does not copy
/// the table it belongs to.
class LeaseEnd
{
public:
  LeaseEnd(TimeMs aEndMs = 0)
    : endMs_(aEndMs)
  {
  }
  LeaseEnd(const LeaseEnd& aOther)
    : endMs_(aOther.Get())
  {
  }
  LeaseEnd& operator=(const LeaseEnd&) = delete;

  operator TimeMs() const { return Get(); }
  TimeMs Get() const { return endMs_.load(std::memory_order_acquire); }
  /// Never shortens.
  void Extend(TimeMs aEndMs);

private:
  std::atomic<TimeMs> endMs_;
};

/// A received table and how long it may be used for backend servers that do
/// not check the fence.
struct FollowedTable
{
  GroupTable table_;
  LeaseEnd viewLeaseUntilMs_;
};

/// Newest configuration that this process has seen.
struct FollowedConfig
{
  int64_t version_ = 0;
  std::string json_;
  /// Age of the last confirmation by the store at receivedMs_, -1 when never
  /// confirmed.
  TimeMs confirmedAgeMs_ = -1;
  TimeMs receivedMs_ = 0;

  /// -1 when never confirmed.
  TimeMs AgeMs(TimeMs aNowMs) const
  {
    return confirmedAgeMs_ < 0 ? -1 : confirmedAgeMs_ + aNowMs - receivedMs_;
  }
};

/// The process that answered a question for tables.
struct TableSource
{
  std::string address_;  ///< Thrift address
  std::string instance_; ///< empty when not known

  /// Tables name an instance or its address.
  bool IsNamed(std::string_view aName) const
  {
    return !aName.empty() && (aName == address_ || aName == instance_);
  }
};

using TablePtr = std::shared_ptr<const FollowedTable>;

/// All known tables at one moment; the groups of a service divide its hash
/// space evenly.
struct TableSnapshot
{
  /// Indexed by group; null entries are not known.
  absl::flat_hash_map<std::string, std::vector<TablePtr>> services_;

  /// Null when the table is not known.
  const TablePtr& Find(std::string_view aService, KeyHash aHash) const;
};

/// Merges the answers of assigners: versions only grow, and a view lease is
/// taken only from the assigner or deputy that the table names. Used by one
/// thread at a time; published snapshots are immutable but for lease ends.
class FollowedTables
{
public:
  FollowedTables();

  /// The question that asks for everything newer than what is known.
  wire::GetTablesRequest Question() const;

  /// aSentMs is when the question was sent: the lease counts from there.
  /// True when a table or the configuration became newer.
  bool Apply(const wire::GetTablesResponse& aAnswer,
             const TableSource& aSource,
             TimeMs aSentMs,
             TimeMs aReceivedMs);

  const std::shared_ptr<const TableSnapshot>& Snapshot() const
  {
    return snapshot_;
  }
  const std::shared_ptr<const FollowedConfig>& Config() const
  {
    return config_;
  }
  const std::vector<std::string>& RouterPeers() const { return routerPeers_; }
  /// True when some table is known and none waits for its full state.
  bool IsComplete() const;

private:
  using GroupId = std::pair<std::string, int32_t>;
  struct Entry
  {
    std::shared_ptr<FollowedTable> table_;
    bool needsFull_ = false;
  };

  bool ApplyTable(const wire::GroupTable& aMessage,
                  const TableSource& aSource,
                  TimeMs aSentMs);
  bool ApplyConfig(const wire::ConfigDocument& aMessage, TimeMs aReceivedMs);
  void Publish();

  std::map<GroupId, Entry> tables_;
  std::shared_ptr<const TableSnapshot> snapshot_;
  std::shared_ptr<const FollowedConfig> config_;
  std::vector<std::string> routerPeers_;
};

}

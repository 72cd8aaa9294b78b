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

/// Expiry time of a lease. It is extended in place, so that a renewal does not
/// copy the table it belongs to. Safe to use from any thread.
class LeaseExpiry
{
public:
  LeaseExpiry(TimeMs aEndMs = 0)
    : endMs_(aEndMs)
  {
  }
  LeaseExpiry(const LeaseExpiry& aOther)
    : endMs_(aOther.Get())
  {
  }
  LeaseExpiry& operator=(const LeaseExpiry&) = delete;

  operator TimeMs() const { return Get(); }
  TimeMs Get() const { return endMs_.load(std::memory_order_acquire); }
  /// Never moves the expiry to an earlier time.
  void Extend(TimeMs aEndMs);

private:
  std::atomic<TimeMs> endMs_;
};

/// A received table, with the time until which it may be used for backend
/// servers that do not check the fence.
struct FollowedTable
{
  GroupTable table_;
  LeaseExpiry viewLeaseUntilMs_;
};

/// Newest configuration that this process has received.
struct FollowedConfig
{
  int64_t version_ = 0;
  std::string json_;
  /// Age of the store's last confirmation at receivedMs_; -1 when never
  /// confirmed.
  TimeMs confirmedAgeMs_ = -1;
  TimeMs receivedMs_ = 0;

  /// Age of the store's last confirmation; -1 when never confirmed.
  TimeMs AgeMs(TimeMs aNowMs) const
  {
    return confirmedAgeMs_ < 0 ? -1 : confirmedAgeMs_ + aNowMs - receivedMs_;
  }
};

/// The process that sent a GetTables response.
struct TableSource
{
  std::string address_;  ///< Thrift address
  std::string instance_; ///< empty when unknown

  /// True when aName, as found in a table, means this process. Tables name a
  /// process by its instance or its address.
  bool IsNamed(std::string_view aName) const
  {
    return !aName.empty() && (aName == address_ || aName == instance_);
  }
};

using TablePtr = std::shared_ptr<const FollowedTable>;

/// All known tables at one moment. The groups of a service divide its hash
/// space evenly.
struct TableSnapshot
{
  /// Indexed by group; null entries are not known.
  absl::flat_hash_map<std::string, std::vector<TablePtr>> services_;

  /// Null when the table is not known.
  const TablePtr& Find(std::string_view aService, KeyHash aHash) const;
};

/// Merges GetTables responses of assigners. Versions only increase, and a view
/// lease is accepted only from the assigner or deputy that the table names. Not
/// thread-safe; published snapshots are immutable except for lease expiries.
class FollowedTables
{
public:
  FollowedTables();

  /// The request for everything newer than what is known.
  wire::GetTablesRequest MakeRequest() const;

  /// aSentMs is when the request was sent; view leases count from there.
  /// Returns true when a table or the configuration became newer.
  bool Apply(const wire::GetTablesResponse& aResponse,
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
  /// True when at least one table is known and none awaits its full state.
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

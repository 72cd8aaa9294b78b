#pragma once

#include "FollowedTables.hpp"
#include "common/Clock.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

struct TableFollowerOptions
{
  std::string instance_;
  std::string role_;                   ///< router, assigner or admin
  std::vector<std::string> assigners_; ///< bootstrap Thrift addresses
  std::string secret_ = {};            ///< shared by all processes
  /// Well below half of the view lease of 1,000 ms, because the lease counts
  /// from the send time and the next answer comes one poll later.
  TimeMs longPollMs_ = 300;
  TimeMs connectTimeoutMs_ = 300;
  /// Time beyond longPollMs_ after which an assigner counts as silent.
  TimeMs responseTimeoutMs_ = 600;
};

/// Keeps the newest table of every group and the newest configuration, by long
/// polls of the assigner and the deputy that each table names and of one
/// bootstrap assigner. Versions never go back. A poll that ends without a
/// change renews a view lease by naming the table's version in an empty delta.
/// Table() and Config() may be called from any thread.
class TableFollower
{
public:
  TableFollower(const Clock& aClock, TableFollowerOptions aOptions);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  void Start();
  void Stop();

  /// Null when no table of the service is known. aHash selects the group.
  std::shared_ptr<const FollowedTable> Table(std::string_view aService,
                                             KeyHash aHash) const;
  std::vector<std::shared_ptr<const FollowedTable>> Tables() const;
  std::shared_ptr<const FollowedConfig> Config() const;
  /// Thrift addresses of the live routers, sorted.
  std::vector<std::string> RouterPeers() const;
  /// Thrift address of an assigner or deputy that a table names; empty when
  /// that instance has not answered yet.
  std::string AssignerAddress(const std::string& aName) const;
  /// True once every group that an assigner named is known.
  bool IsReady() const;

  /// Waits until a table newer than (aTerm, aSequence) is known for the group
  /// of the hash, or until the deadline. False on timeout.
  bool WaitNewer(std::string_view aService,
                 KeyHash aHash,
                 Term aTerm,
                 int64_t aSequence,
                 TimeMs aDeadlineMs);
  /// Asks for the newest table now over a connection of its own, e.g. after a
  /// refused epoch; does not wait for the answer.
  void RequestRefresh(std::string_view aService, KeyHash aHash);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}

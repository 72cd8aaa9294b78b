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
  /// from the send time and is renewed only by the next poll.
  TimeMs longPollMs_ = 300;
  TimeMs connectTimeoutMs_ = 300;
  /// Time to wait beyond longPollMs_ before the call fails and the assigner
  /// counts as unresponsive.
  TimeMs responseTimeoutMs_ = 600;
};

/// Keeps the newest table of every group and the newest configuration. It
/// long-polls the assigner and the deputy that each table names, and one
/// bootstrap assigner. Versions never decrease. A poll that ends without a
/// change renews the view lease with an empty delta for the known version.
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
  /// that instance has not responded yet.
  std::string AssignerAddress(const std::string& aName) const;
  /// True once the full table of every group that an assigner named is known.
  bool IsReady() const;

  /// Waits until a table newer than (aTerm, aSequence) is known for the group
  /// of the hash. Returns false when aDeadlineMs passes first.
  bool WaitNewer(std::string_view aService,
                 KeyHash aHash,
                 Term aTerm,
                 int64_t aSequence,
                 TimeMs aDeadlineMs);
  /// Requests the newest tables now, over separate connections, for example
  /// after a request was refused because of its epoch. Does not wait for the
  /// response.
  void RequestRefresh(std::string_view aService, KeyHash aHash);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}

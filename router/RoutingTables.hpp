#pragma once

#include "rpc/TableFollower.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// Interface of TableFollower for the data path; tests use a fake.
class RoutingTables
{
public:
  virtual ~RoutingTables() = default;
  virtual std::shared_ptr<const FollowedTable> Table(std::string_view aService,
                                                     KeyHash aHash) const = 0;
  virtual std::vector<std::shared_ptr<const FollowedTable>> Tables() const = 0;
  /// Thrift addresses of the live routers.
  virtual std::vector<std::string> RouterPeers() const = 0;
  virtual std::shared_ptr<const FollowedConfig> Config() const = 0;
  /// Thrift address of the assigner aName; empty when unknown.
  virtual std::string AssignerAddress(const std::string& aName) const = 0;
  virtual bool IsReady() const = 0;
  virtual bool WaitNewer(std::string_view aService,
                         KeyHash aHash,
                         Term aTerm,
                         int64_t aSequence,
                         TimeMs aDeadlineMs) = 0;
  virtual void RequestRefresh(std::string_view aService, KeyHash aHash) = 0;
};

/// RoutingTables on top of a running TableFollower.
class FollowerRoutingTables final : public RoutingTables
{
public:
  explicit FollowerRoutingTables(TableFollower& aFollower)
    : follower_(aFollower)
  {
  }

  std::shared_ptr<const FollowedTable> Table(std::string_view aService,
                                             KeyHash aHash) const override
  {
    return follower_.Table(aService, aHash);
  }
  std::vector<std::shared_ptr<const FollowedTable>> Tables() const override
  {
    return follower_.Tables();
  }
  std::vector<std::string> RouterPeers() const override
  {
    return follower_.RouterPeers();
  }
  std::shared_ptr<const FollowedConfig> Config() const override
  {
    return follower_.Config();
  }
  std::string AssignerAddress(const std::string& aName) const override
  {
    return follower_.AssignerAddress(aName);
  }
  bool IsReady() const override { return follower_.IsReady(); }
  bool WaitNewer(std::string_view aService,
                 KeyHash aHash,
                 Term aTerm,
                 int64_t aSequence,
                 TimeMs aDeadlineMs) override
  {
    return follower_.WaitNewer(aService, aHash, aTerm, aSequence, aDeadlineMs);
  }
  void RequestRefresh(std::string_view aService, KeyHash aHash) override
  {
    follower_.RequestRefresh(aService, aHash);
  }

private:
  TableFollower& follower_;
};

}

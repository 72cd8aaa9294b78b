#pragma once

#include "FakeBackend.hpp"
#include "ReservedPort.hpp"
#include "router/Router.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cactuspitch {

/// RoutingTables with one table that the test sets.
class FakeRoutingTables final : public RoutingTables
{
public:
  explicit FakeRoutingTables(const Clock& aClock)
    : clock_(aClock)
  {
  }

  void Set(GroupTable aTable, TimeMs aViewLeaseUntilMs = INT64_MAX);
  /// Sets an action that the next RequestRefresh() runs once.
  void OnRefresh(std::function<void()> aAction);
  /// Number of RequestRefresh() calls.
  int Refreshes() const { return refreshes_; }

  std::shared_ptr<const FollowedTable> Table(std::string_view aService,
                                             KeyHash aHash) const override;
  std::vector<std::shared_ptr<const FollowedTable>> Tables() const override;
  std::vector<std::string> RouterPeers() const override;
  void SetPeers(std::vector<std::string> aPeers);
  std::shared_ptr<const FollowedConfig> Config() const override
  {
    return nullptr;
  }
  std::string AssignerAddress(const std::string& aName) const override
  {
    return aName;
  }
  bool IsReady() const override { return true; }
  bool WaitNewer(std::string_view aService,
                 KeyHash aHash,
                 Term aTerm,
                 int64_t aSequence,
                 TimeMs aDeadlineMs) override;
  void RequestRefresh(std::string_view aService, KeyHash aHash) override;

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> peers_;
  std::shared_ptr<const FollowedTable> table_;
  std::function<void()> onRefresh_;
  std::atomic<int> refreshes_ = 0;
};

/// In-process router with one service, "svc", of one slice.
class RouterFixture
{
public:
  RouterFixture();
  /// Makes the backend server the owner of all keys.
  void SetOwner(const FakeBackend& aBackend,
                Epoch aEpoch = 1,
                bool aChecksFence = true,
                TimeMs aViewLeaseUntilMs = INT64_MAX);
  /// Leaves all keys without an owner.
  void ClearOwner(Epoch aEpoch = 1);
  absl::StatusOr<HttpResponse> Send(const std::string& aMethod,
                                    const std::string& aPath,
                                    HttpHeaders aHeaders = {},
                                    const std::string& aBody = {}) const;
  absl::StatusOr<HttpResponse> Get(HttpHeaders aHeaders = {}) const
  {
    return Send("GET", "/svc/key", std::move(aHeaders));
  }
  /// Sends a POST with the request id aId.
  absl::StatusOr<HttpResponse> Post(const std::string& aId,
                                    HttpHeaders aHeaders = {}) const;

  SteadyClock clock_;
  FakeRoutingTables tables_;
  ReservedPort http_;
  ReservedPort rpc_;
  std::unique_ptr<Router> router_;

private:
  int64_t sequence_ = 0;
};

}

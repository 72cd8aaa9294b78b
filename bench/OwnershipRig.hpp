#pragma once

#include "common/GroupTable.hpp"
#include "tests/Deployment.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// A deployment of real processes whose ownership is measured.
class OwnershipRig
{
public:
  OwnershipRig(std::string aBinaryDir, DeploymentOptions aOptions);

  /// Empty, or why the deployment does not serve.
  std::string Start();
  Deployment& GetDeployment() { return deployment_; }
  ProcessFleet& Fleet() { return deployment_.Fleet(); }

  /// Newest table that any assigner shows.
  GroupTable Table() const;
  /// Index of the instance that leads the group, -1 when unknown.
  int AssignerIndex() const;
  std::string OwnerOf(const std::string& aKey) const;
  /// A key that the server owns; empty when it owns none.
  std::string KeyOwnedBy(const std::string& aServer) const;
  /// Waits until the server owns nothing or something.
  bool WaitOwns(const std::string& aServer,
                bool aOwns,
                TimeMs aTimeoutMs) const;
  /// Waits until every slice has a usable standby again.
  bool WaitStandbys(TimeMs aTimeoutMs) const;
  /// Asks the assigner to move the slice of the key to its standby.
  bool RequestMove(const std::string& aKey) const;
  /// What the recorded executions violate; empty when nothing.
  std::string CheckHistory() const;

  const std::string& Service() const { return service_; }

private:
  const int instances_;
  const std::string service_;
  Deployment deployment_;
};

/// A caller that requests one key over and over through one router.
class CallerLoop
{
public:
  struct Attempt
  {
    int64_t startUs_ = 0;
    int64_t endUs_ = 0;
    bool complete_ = false;
    std::string failure_; ///< outcome and reason when not complete
  };

  /// A request that cannot be answered in aDeadlineMs fails.
  CallerLoop(std::string aRouter,
             const std::string& aService,
             const std::string& aKey,
             TimeMs aDeadlineMs);
  ~CallerLoop();
  CallerLoop(const CallerLoop&) = delete;
  CallerLoop& operator=(const CallerLoop&) = delete;

  void Stop();
  std::vector<Attempt> Attempts() const;
  /// Waits for a complete answer to a request that began after aFromUs; the
  /// milliseconds from there to its end, -1 on timeout.
  double WaitServedMs(int64_t aFromUs, TimeMs aTimeoutMs) const;

private:
  void Run();

  const std::string router_;
  const std::string target_;
  const TimeMs deadlineMs_;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::thread thread_;
};

}

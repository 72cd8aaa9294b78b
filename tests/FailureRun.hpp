#pragma once

#include "Deployment.hpp"
#include "standin/LoadGenerator.hpp"

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// One execution, as a backend server recorded it.
struct RecordedExecution
{
  std::string server_;
  std::string incarnation_;
  std::string requestId_;
  std::string method_;
  std::string service_;
  std::string key_;
  Epoch epoch_ = 0;
  int64_t startUs_ = 0;
  int64_t commitUs_ = 0;
};

/// One send, as the load generator recorded it.
struct RecordedSend
{
  std::string requestId_;
  std::string method_;
  std::string outcome_;
  std::string reason_;
};

/// A deployment under load while a fault is caused, and the checks of the
/// invariants on the recorded histories. No check depends on the speed of the
/// machine.
class FailureRun
{
public:
  FailureRun(std::string aBinaryDir, DeploymentOptions aOptions);
  ~FailureRun();
  FailureRun(const FailureRun&) = delete;
  FailureRun& operator=(const FailureRun&) = delete;

  /// Three instances and one service of four servers.
  static DeploymentOptions DefaultOptions();

  /// Sends the load to these routers only; called before Start().
  void UseRouters(std::vector<int> aIndices) { routers_ = std::move(aIndices); }
  /// Sends the load through readiness checks like those of the platform's
  /// balancer; called before Start().
  void UseReadinessChecks() { load_.readyCheckMs_ = 200; }
  /// Starts deployment and load; what is missing, or empty.
  std::string Start();
  Deployment& GetDeployment() { return deployment_; }
  ProcessFleet& Fleet() { return deployment_.Fleet(); }

  /// Time for the load to run on.
  static void SleepFor(TimeMs aTimeMs);
  /// Backend server that the table names as owner of the key, from an answer.
  std::string OwnerOf(const std::string& aKey);
  /// Index of the instance that is the service's assigner, from the store.
  std::optional<int> AssignerIndex();
  std::optional<int> DeputyIndex();
  /// True when every key of the load is answered completely.
  bool AllKeysServed();

  /// Ends the load and returns all violations as lines, empty when there are
  /// none.
  std::string Finish();
  const LoadReport& Report() const { return *report_; }
  std::vector<RecordedExecution> Executions() const;

private:
  std::optional<int> InstanceIndex(const char* aMember);
  std::vector<RecordedSend> Sends() const;

  const SteadyClock clock_;
  Deployment deployment_;
  std::vector<int> routers_;
  LoadOptions load_;
  std::optional<LoadReport> report_;
  std::atomic<bool> stop_ = false;
  std::thread loadThread_;
};

/// Violations of the invariants in the histories, one a line.
std::string CheckHistories(const std::vector<RecordedExecution>& aExecutions,
                           const std::vector<RecordedSend>& aSends);

}

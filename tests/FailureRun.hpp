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

/// One request execution as recorded by a backend server.
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

/// One send of a request as recorded by the load generator.
struct RecordedSend
{
  std::string requestId_;
  std::string method_;
  std::string outcome_;
  std::string reason_;
};

/// Runs a deployment under load while a test injects faults, then checks the
/// invariants on the recorded histories. These checks don't depend on the speed
/// of the machine.
class FailureRun
{
public:
  FailureRun(std::string aBinaryDir, DeploymentOptions aOptions);
  ~FailureRun();
  FailureRun(const FailureRun&) = delete;
  FailureRun& operator=(const FailureRun&) = delete;

  /// Three instances and one service with four backend servers.
  static DeploymentOptions DefaultOptions();

  /// Sends the load to these routers only. Call it before Start().
  void UseRouters(std::vector<int> aIndices) { routers_ = std::move(aIndices); }
  /// Polls the readiness of the routers every 200 ms and sends no new requests
  /// to those that aren't ready, as the platform's load balancer does. Call it
  /// before Start().
  void UseReadinessChecks() { load_.readyCheckMs_ = 200; }
  /// Starts the deployment and the load. Returns an empty string, or what
  /// failed to start.
  std::string Start();
  Deployment& GetDeployment() { return deployment_; }
  ProcessFleet& Fleet() { return deployment_.Fleet(); }

  /// Sleeps while the load goes on.
  static void SleepFor(TimeMs aTimeMs);
  /// Returns the backend server that responds to a request for the key; empty
  /// when none does within 10 s.
  std::string OwnerOf(const std::string& aKey);
  /// Index of the instance that the store records as the service's assigner;
  /// nullopt when there is none.
  std::optional<int> AssignerIndex();
  std::optional<int> DeputyIndex();
  /// True if each key of the load gets a complete response from some router of
  /// the load; waits up to 15 s per key.
  bool AllKeysServed();

  /// Stops the load and returns all violations, one per line; empty when there
  /// are none. Call it once.
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

/// Returns the violations of the invariants in the recorded histories, one per
/// line; empty when there are none.
std::string CheckHistories(const std::vector<RecordedExecution>& aExecutions,
                           const std::vector<RecordedSend>& aSends);

}

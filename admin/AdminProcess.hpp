#pragma once

#include "FleetApi.hpp"
#include "RulesApi.hpp"
#include "SloApi.hpp"
#include "SloCollector.hpp"
#include "common/Settings.hpp"
#include "store/HttpObjectStore.hpp"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

struct AdminOptions
{
  std::string instance_;
  std::string failureDomain_;
  std::string listen_; ///< HTTP address of the API
  std::string store_;  ///< address of the object store
  /// Bearer token of the API and secret of the Thrift calls; empty: none.
  std::string token_;
  std::vector<std::string> assigners_;
  /// Interval at which the counters of the SLO report are saved.
  TimeMs sloIntervalMs_ = 15000;
};

std::vector<SettingSpec> AdminSettings();

/// Owns the components of the administration process and runs its threads.
class AdminProcess
{
public:
  AdminProcess(const Clock& aClock, AdminOptions aOptions);
  ~AdminProcess();
  AdminProcess(const AdminProcess&) = delete;
  AdminProcess& operator=(const AdminProcess&) = delete;

  /// Returns the error when the HTTP server cannot start.
  absl::Status Start();
  void Stop();

private:
  std::vector<ApiRoute> AllRoutes();
  /// Thread that passes new tables to the move log and the configuration
  /// version to the editor, until Stop() is called.
  void ObserveTables();

  const Clock& clock_;
  AdminOptions options_;
  MetricsRegistry metrics_;
  HttpObjectStore store_;
  TableFollower follower_;
  InstanceDirectory directory_;
  FleetClient fleet_;
  ConfigEditor editor_;
  MoveLog moves_;
  SloArchive archive_;
  SloCollector collector_;
  RulesApi rulesApi_;
  FleetApi fleetApi_;
  SloApi sloApi_;
  ApiServer server_;
  std::atomic<bool> stopping_ = false;
  std::thread observerThread_;
};

}

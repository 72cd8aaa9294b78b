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
  std::string listen_;
  std::string store_;
  std::string token_;
  std::vector<std::string> assigners_;
  TimeMs sloIntervalMs_ = 15000;
};

std::vector<SettingSpec> AdminSettings();

/// All parts of the administration process.
class AdminProcess
{
public:
  AdminProcess(const Clock& aClock, AdminOptions aOptions);
  ~AdminProcess();
  AdminProcess(const AdminProcess&) = delete;
  AdminProcess& operator=(const AdminProcess&) = delete;

  absl::Status Start();
  void Stop();

private:
  std::vector<ApiRoute> AllRoutes();
  /// Feeds the move log.
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

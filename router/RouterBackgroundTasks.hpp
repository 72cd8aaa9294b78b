#pragma once

#include "PeerChannelPool.hpp"
#include "RouterContext.hpp"
#include "ThriftLedgerTransport.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <AssignerPeer.h>

namespace cactuspitch {

using AssignerChannelPool = PeerChannelPool<wire::AssignerPeerClient>;

/// Periodic work of the router: load reports each second to the assigner of
/// each group, shared quarantine, rules from the configuration, idle
/// connections. Each duty has a thread, so that a silent peer delays no other.
class RouterBackgroundTasks
{
public:
  RouterBackgroundTasks(RouterContext& aContext,
                        std::string aOwnAddress,
                        RouterChannelPool& aRouters,
                        AssignerChannelPool& aAssigners);
  ~RouterBackgroundTasks();
  RouterBackgroundTasks(const RouterBackgroundTasks&) = delete;
  RouterBackgroundTasks& operator=(const RouterBackgroundTasks&) = delete;

  void Start();
  void Stop();
  /// Takes the configuration and the live routers over.
  void Refresh();
  /// Measurements of the last window, for the metrics page.
  std::vector<wire::ServerMeasurement> LastMeasurements() const;
  int64_t ReportsSent() const { return reportsSent_; }

private:
  /// Reports by assigner address.
  using Reports = std::map<std::string, wire::LoadReport>;

  /// False when the duties end.
  bool SleepFor(TimeMs aMs);
  void RunRefresh();
  void RunQuarantine();
  void RunReports();
  void ShareQuarantine();
  void FetchQuarantine();
  Reports MakeReports(TimeMs aWindowMs);
  std::map<std::string, wire::ServerMeasurement> MeasureServers();
  void AddLoad(Reports& aReports);
  void CloseIdleConnections();

  RouterContext& context_;
  const std::string ownAddress_;
  RouterChannelPool& routers_;
  AssignerChannelPool& assigners_;

  mutable std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<wire::ServerMeasurement> lastMeasurements_;
  std::atomic<int64_t> reportsSent_ = 0;
  int64_t rejectedVersion_ = 0;
  std::vector<std::thread> threads_;
};

}

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

/// Periodic tasks of the router: applying the configuration, exchanging the
/// quarantine with other routers, and, once a second, sending load reports to
/// the assigner of each group and closing idle connections. Configuration,
/// quarantine and reports each have a thread, so that an unresponsive peer
/// delays only one of them.
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
  /// Applies the latest configuration and list of live routers.
  void Refresh();
  /// Measurements of the last window, for the metrics endpoint.
  std::vector<wire::ServerMeasurement> LastMeasurements() const;
  int64_t ReportsSent() const { return reportsSent_; }

private:
  /// Load reports by assigner address.
  using Reports = std::map<std::string, wire::LoadReport>;

  /// False when the tasks are stopping.
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

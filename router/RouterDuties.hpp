#pragma once

#include "PeerPool.hpp"
#include "RouterContext.hpp"
#include "ThriftLedgerPeers.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <AssignerPeer.h>

namespace cactuspitch {

using AssignerPeerPool = PeerPool<wire::AssignerPeerClient>;

/// Periodic work of the router: load reports each second to the assigner of
/// each group, shared quarantine, rules from the configuration, idle
/// connections. Each duty has a thread, so that a silent peer delays no other.
class RouterDuties
{
public:
  RouterDuties(RouterContext& aContext,
               std::string aOwnAddress,
               RouterPeerPool& aRouters,
               AssignerPeerPool& aAssigners);
  ~RouterDuties();
  RouterDuties(const RouterDuties&) = delete;
  RouterDuties& operator=(const RouterDuties&) = delete;

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
  bool Pause(TimeMs aMs);
  void RunRefresh();
  void RunQuarantine();
  void RunReports();
  void ShareQuarantine();
  void FetchQuarantine();
  Reports MakeReports(TimeMs aWindowMs);
  std::map<std::string, wire::ServerMeasurement> MeasureServers();
  void AddLoad(Reports& aReports);
  void DropIdle();

  RouterContext& context_;
  const std::string ownAddress_;
  RouterPeerPool& routers_;
  AssignerPeerPool& assigners_;

  mutable std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<wire::ServerMeasurement> lastMeasurements_;
  std::atomic<int64_t> reportsSent_ = 0;
  int64_t rejectedVersion_ = 0;
  std::vector<std::thread> threads_;
};

}

#pragma once

#include "ControlLoop.hpp"
#include "FleetConfig.hpp"
#include "FleetDirectory.hpp"
#include "GrantSender.hpp"
#include "PeerClient.hpp"
#include "PeerHandler.hpp"
#include "SliceBalancer.hpp"
#include "StoreSync.hpp"
#include "common/Clock.hpp"
#include "common/HttpServer.hpp"
#include "common/Metrics.hpp"
#include "rpc/TableFollower.hpp"
#include "rpc/ThriftServer.hpp"
#include "store/HttpObjectStore.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

struct AssignerOptions
{
  std::string instance_;
  std::string failureDomain_;
  std::string listen_;
  std::string rpcListen_;
  std::string store_;
  std::vector<std::string> assigners_;
  std::string secret_;
  size_t slices_ = 256;
};

/// Owns and connects the components of one assigner process.
class AssignerProcess
{
public:
  explicit AssignerProcess(AssignerOptions aOptions);
  ~AssignerProcess();
  AssignerProcess(const AssignerProcess&) = delete;
  AssignerProcess& operator=(const AssignerProcess&) = delete;

  absl::Status Start();
  /// Hands the groups for which this process is the assigner over to their
  /// deputies. Returns when that is done or after aTimeoutMs.
  void HandOver(TimeMs aTimeoutMs);

private:
  void Dispatch(const std::shared_ptr<ManagedGroup>& aGroup,
                const Action& aAction);
  void RunPeriodic();
  void HandleHttp(HttpExchange& aExchange);
  wire::ProcessStatus Status() const;
  std::string MetricsText();

  const AssignerOptions options_;
  SteadyClock clock_;
  const TimeMs startedMs_;
  HttpObjectStore store_;
  FleetDirectory directory_;
  FleetConfig config_;
  ControlLoop control_;
  GrantSender grantSender_;
  PeerClient peerClient_;
  StoreSync storeSync_;
  SliceBalancer balancer_;
  TableFollower follower_;
  std::shared_ptr<PeerHandler> handler_;
  ThriftServer rpc_;
  HttpServer http_;
  MetricsRegistry metrics_;
  TimeMs lastProbeMs_ = 0;
  std::atomic<bool> stopping_ = false;
};

}

#pragma once

#include "ControlLoop.hpp"
#include "FleetDirectory.hpp"
#include "common/BoundedRing.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <cactuspitch_types.h>

namespace cactuspitch {

wire::HeartbeatRequest ToWire(const PeerHeartbeat& aHeartbeat,
                              const std::string& aService,
                              int32_t aGroup);
PeerHeartbeat FromWire(const wire::HeartbeatRequest& aRequest);
wire::HeartbeatResponse ToWire(const PeerHeartbeatReply& aReply);

/// Calls other assigners over Thrift: sends heartbeats to deputies and probes
/// the liveness of instances. Each peer has a thread of its own, so that an
/// unresponsive peer does not delay the others.
class PeerClient
{
public:
  PeerClient(ControlLoop& aControl,
             const FleetDirectory& aDirectory,
             std::string aSecret);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  void Stop();
  void SendHeartbeat(const ManagedGroup& aGroup, PeerHeartbeat aHeartbeat);
  /// Probes the peers whose liveness the groups need to know. aInstance names
  /// the sender.
  void ProbePeers(const std::string& aInstance);

private:
  struct Job
  {
    std::string service_;
    int32_t group_ = 0;
    bool isProbe_ = false;
    PeerHeartbeat heartbeat_;
  };
  struct Link
  {
    explicit Link(std::string aAddress);
    const std::string address_;
    BoundedRing<Job> ring_;
    std::thread thread_;
  };

  void Push(Job aJob);
  void Run(Link& aLink);

  ControlLoop& control_;
  const FleetDirectory& directory_;
  const std::string secret_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  bool stopped_ = false;
};

}

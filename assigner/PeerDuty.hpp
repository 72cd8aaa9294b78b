#pragma once

#include "ControlDuty.hpp"
#include "FleetDirectory.hpp"
#include "common/BoundedRing.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <cactuspitch_types.h>

namespace cactuspitch {

wire::HeartbeatRequest ToWire(const PeerQuestion& aQuestion,
                              const std::string& aService,
                              int32_t aGroup);
PeerQuestion FromWire(const wire::HeartbeatRequest& aRequest);
wire::HeartbeatResponse ToWire(const PeerAnswer& aAnswer);

/// Asks other assigners over Thrift: heartbeats to deputies, and probes whether
/// an instance lives. One thread for each peer, so that a silent one delays no
/// other.
class PeerDuty
{
public:
  PeerDuty(ControlDuty& aControl,
           const FleetDirectory& aDirectory,
           std::string aSecret);
  ~PeerDuty();
  PeerDuty(const PeerDuty&) = delete;
  PeerDuty& operator=(const PeerDuty&) = delete;

  void Stop();
  void Ask(const GroupHost& aHost, PeerQuestion aQuestion);
  /// Probes the peers that each group wants to know about, as aInstance.
  void Probe(const std::string& aInstance);

private:
  struct Job
  {
    std::string service_;
    int32_t group_ = 0;
    bool isProbe_ = false;
    PeerQuestion question_;
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

  ControlDuty& control_;
  const FleetDirectory& directory_;
  const std::string secret_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  bool stopped_ = false;
};

}

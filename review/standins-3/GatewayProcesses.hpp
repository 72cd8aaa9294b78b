#pragma once

#include "net/TcpStream.hpp"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cactuspitch {

/// Addresses of one gateway.
struct GatewayAddresses
{
  std::string name_;
  std::string zone_;
  Endpoint front_;
  Endpoint ready_;
  Endpoint peer_;
  Endpoint metrics_;
  Endpoint store_;
};

GatewayAddresses NewGatewayAddresses(const std::string& aName,
                                     const std::string& aZone,
                                     const Endpoint& aStore);

/// Starts gateways with the command and the settings template of the deploy
/// file, and ends those that are left when it is destroyed.
class GatewayProcesses
{
public:
  GatewayProcesses();
  ~GatewayProcesses();
  GatewayProcesses(const GatewayProcesses&) = delete;
  GatewayProcesses& operator=(const GatewayProcesses&) = delete;

  void Start(const GatewayAddresses& aAddresses);
  /// Ends all processes and removes their files.
  void EndAll();
  void Signal(const std::string& aName, int aSignal);
  /// Reaps the process if it has ended. Its wait status is in aStatus.
  bool HasEnded(const std::string& aName, int* aStatus = nullptr);
  pid_t Pid(const std::string& aName) const { return processes_.at(aName); }
  std::string LogPath(const std::string& aName) const;

private:
  std::string folder_;
  std::map<std::string, pid_t> processes_;
};

}

#pragma once

#include "tests/ProcessFleet.hpp"
#include "tests/SoakBackend.hpp"
#include "tests/SoakCaller.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

/// Real gateways as processes, with a store, backend servers and callers of
/// this process, and random faults: signals, cut links, troubles of the store
/// and of servers, in series and overlapping. Afterwards all heals, and callers
/// have to be served again.
class GatewaySoak
{
public:
  struct Options
  {
    uint32_t seed_ = 1;
    int gateways_ = 4;
    TimeMs faultDurationMs_ = 15000;
    /// Of these kinds; all when it names none.
    std::vector<std::string> faults_;
    std::string binaryDir_;
  };

  explicit GatewaySoak(Options aOptions);
  ~GatewaySoak();
  /// Broken promises, each with its time.
  std::vector<std::string> Run();
  const SoakJournal& Journal() const { return journal_; }
  std::string LogDirectory() const { return fleet_.LogDirectory(); }

private:
  enum class GatewayState : uint8_t
  {
    Down,
    Up,
    Frozen,
    Stopping
  };
  struct GatewayProcess
  {
    std::string name_;
    std::string failureDomain_;
    Endpoint listen_;
    Endpoint ready_;
    Endpoint peer_;
    Endpoint metrics_;
    std::unique_ptr<LinkCut> storeLink_;
    std::string store_;
    GatewayState state_ = GatewayState::Down;
    int incarnation_ = 0; ///< counts its starts
    TimeMs startedMs_ = 0;
  };
  struct FaultKind
  {
    const char* name_;
    int weight_; ///< how often it comes, among the others
    void (GatewaySoak::*begin_)();
  };
  static const std::vector<FaultKind>& Faults();
  /// Kinds to draw from, each as often as its weight says.
  std::vector<const FaultKind*> WeightedFaults() const;

  void AddGateways();
  void AddBackends();
  void AddCallers();
  void PutConfig();
  void StartGateway(int aGateway);
  void BeginFault();
  void EndFaults();
  bool WaitForRecovery();
  /// Looks for ended processes and for keys with two holders.
  void CheckProcesses();
  void CheckKeyConflicts();
  int RandomInt(int aLow, int aHigh);
  int RandomGateway();
  SoakBackend& RandomBackend();
  void ChooseRequest(SoakRequest& aRequest);

  // Faults.
  void KillGateway();
  void KillManyGateways();
  void FreezeGateway();
  void StopGateway();
  void SendSighupToGateway();
  void CutStoreLink();
  void InjectStoreFault();
  void CompactHistory();
  void CrashBackend();
  void FreezeBackend();
  void ReplaceBackend();
  void PauseBackend();
  void InjectResponseFault();
  void DelayCommands();
  void CutBackendLink();
  void SilenceConnections();
  void ChangeConfig();

  Options options_;
  const std::vector<const FaultKind*> weightedFaults_;
  EventLoop loop_;
  std::mt19937 random_;
  std::mt19937 callRandom_; ///< of callers, so that a seed keeps its faults
  SoakJournal journal_;
  PlatformStore store_;
  ProcessFleet fleet_;
  std::vector<GatewayProcess> gateways_;
  std::vector<std::unique_ptr<SoakBackend>> backends_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  DelayedTasks tasks_;
  Timer checkTimer_;
  int64_t version_ = 0;
  bool sendsCrashRequests_ = false;
  bool faultsEnded_ = false;
  std::map<uint32_t, TimeMs> conflictSinceMs_;
};

}

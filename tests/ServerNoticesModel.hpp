#pragma once

#include "bench/EventQueue.hpp"
#include "gateway/BackendLoad.hpp"
#include "policy/Placement.hpp"
#include "policy/RetryBudget.hpp"
#include "policy/ServerPause.hpp"

#include <memory>
#include <random>
#include <set>
#include <vector>

namespace cactuspitch {

/// Discrete-event simulation of a service without keys at high load, while its
/// servers are replaced one after the other and some announce pauses. Gateways
/// place requests with the production policies; network, servers and callers
/// are simulated.
class ServerNoticesModel
{
public:
  struct Options
  {
    int gateways_ = 65;
    int servers_ = 90;
    int slots_ = 4;
    double serviceTimeMs_ = 350;
    TimeMs objectiveMs_ = 1200;
    TimeMs deadlineMs_ = 6000;
    double load_ = 0.9; ///< offered load, as a share of all slots
    TimeMs drainMs_ = 2500;
    int seconds_ = 30;
    bool obeysLeavingNotices_ = true;
    bool obeysPauses_ = true;
  };
  struct Result
  {
    int64_t requests_ = 0;
    int64_t served_ = 0;
    int64_t late_ = 0; ///< served, but slower than the objective
    int64_t refused_ = 0;
    int64_t lost_ = 0; ///< queued or running at a server that ended
    /// Attempts that reached a server more than the drain time after the
    /// gateway had received its leaving notice.
    int64_t sentAfterLeavingNotice_ = 0;
    /// Attempts that reached a server in its pause, from half a second after
    /// the gateway received the notice. The first two of each gateway in a
    /// pause are allowed and don't count.
    int64_t sentInPause_ = 0;
    /// Attempts rejected by full servers within a second after their pauses.
    int64_t shedAfterPause_ = 0;

    Result& operator+=(const Result& aOther);
  };

  ServerNoticesModel(Options aOptions, uint32_t aSeed);
  Result Run();

private:
  struct Call
  {
    TimeMs sentMs_ = 0;     ///< first sent by the caller
    TimeMs receivedMs_ = 0; ///< by the current gateway
    int callerRetries_ = 0; ///< after refusals by gateways
    int attempts_ = 0;
    std::set<size_t> tried_;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Server
  {
    int incarnation_ = 0;
    bool up_ = true;
    bool leaving_ = false;
    bool draining_ = false; ///< registered as draining
    int running_ = 0;
    std::vector<std::pair<CallPtr, size_t>> waiting_; ///< call, gateway index
    TimeMs pauseEndMs_ = 0;
  };

  /// State of a server as known to one gateway.
  struct View
  {
    BackendLoad load_;
    ServerPause pause_;
    int inFlight_ = 0;
    bool acceptsRequests_ = true;
    TimeMs leavingNoticeMs_ = 0; ///< 0: no leaving notice received
    TimeMs pauseStartMs_ = 0;    ///< first pause notice
    TimeMs pauseUntilMs_ = 0;
    int sentInPause_ = 0;
  };

  struct GatewayState
  {
    std::vector<View> views_;
    std::vector<size_t> preferredServers_;
    RetryBudget budget_{ 16, 10 };
  };

  View NewView() const;
  void StartReplacement(size_t aServer);
  void StartPause(size_t aServer);
  void ReportLoads();
  void SendNextCall();
  void Dispatch(size_t aGateway, const CallPtr& aCall);
  void Refuse(const CallPtr& aCall, TimeMs aRetryAfterMs);
  void Send(size_t aGateway, size_t aServer, const CallPtr& aCall);
  void OnArrival(size_t aGateway, size_t aServer, const CallPtr& aCall);
  void StartWork(size_t aGateway, size_t aServer, const CallPtr& aCall);
  void OnWorkDone(size_t aGateway,
                  size_t aServer,
                  int aIncarnation,
                  const CallPtr& aCall);
  void OnNotExecuted(size_t aGateway,
                     size_t aServer,
                     const CallPtr& aCall,
                     TimeMs aPauseMs);
  void RecordLeavingNotice(size_t aGateway, size_t aServer);
  void CountArrival(View& aView);
  /// Indices of the servers that a gateway considers for one request.
  std::vector<size_t> Candidates(const GatewayState& aGateway);
  size_t RandomIndex(size_t aCount);
  double RandomBetween(double aLow, double aHigh);
  static double RandomBetween(std::mt19937& aRandom, double aLow, double aHigh);
  void After(TimeMs aDelayMs, EventQueue::Action aAction);

  Options options_;
  std::mt19937 random_;
  /// Separate generator for arrivals and pauses, so that runs with and without
  /// notices see the same load.
  std::mt19937 workload_;
  EventQueue events_;
  PlacementOptions placement_;
  std::vector<Server> servers_;
  std::vector<GatewayState> gateways_;
  Result result_;
};

}

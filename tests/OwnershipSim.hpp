#pragma once

#include "HistoryChecker.hpp"
#include "control/GroupController.hpp"

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

enum class SimFaultKind : uint8_t
{
  KillServer,
  PauseServer,
  KillInstance,
  PauseInstance,
  StopInstance,
  PauseRouter,
  Cut,
  CutOneWay,
  CutFromStore,
  StoreDown,
  StoreLosesAnswers,
  BadNetwork,
  DrainServer,
  JoinServer,
  MoveSlice,
  SplitAndMerge,
  Count
};

template<>
struct EnumNames<SimFaultKind>
{
  static constexpr std::string_view kNames[] = {
    "kill-server",
    "pause-server",
    "kill-instance",
    "pause-instance",
    "stop-instance",
    "pause-router",
    "cut",
    "cut-one-way",
    "cut-from-store",
    "store-down",
    "store-loses-answers",
    "bad-network",
    "drain-server",
    "join-server",
    "move-slice",
    "split-and-merge",
  };
};

/// A fault of a schedule. Targets are taken modulo the number of processes.
struct SimFault
{
  SimFaultKind kind_ = SimFaultKind::KillServer;
  int target_ = 0;
  int other_ = 0;
  TimeMs atMs_ = 0;
  TimeMs durationMs_ = 0;
};
std::ostream& operator<<(std::ostream& aStream, const SimFault& aFault);

struct SimOptions
{
  uint64_t seed_ = 1;
  int instances_ = 4;
  int servers_ = 4;
  int unchecked_ = 1; ///< of them do not check the fence
  int routers_ = 2;
  size_t slices_ = 6;
  /// An instance notices a silent store this late at most, when its open watch
  /// should have ended.
  TimeMs storeWatchMs_ = 3000;
};

/// Runs the control logic of several instances against simulated backend
/// servers, routers and a store. Every process has its own clock; their rates
/// differ by up to 1%. Deterministic from the seed and the faults.
class OwnershipSim
{
public:
  explicit OwnershipSim(SimOptions aOptions);
  ~OwnershipSim();

  void Inject(const SimFault& aFault);
  void RunUntil(TimeMs aTrueMs);
  /// Closes open intervals; the history is complete after it.
  const History& Finish();

  /// Keys without an owner now.
  std::vector<KeyHash> Unserved() const;
  /// Longest time that a key was without an owner since aFromMs.
  TimeMs LongestGapMs(TimeMs aFromMs) const;
  std::string Describe() const;

private:
  struct Process;
  struct Server;
  struct Instance;
  struct Router;
  struct Event
  {
    TimeMs atMs_;
    int64_t order_;
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.atMs_, aOther.order_) < std::tie(atMs_, order_);
    }
  };
  using Task = std::function<void()>;

  TimeMs Random(TimeMs aBelow);
  bool Chance(int aPercent) { return Random(100) < aPercent; }
  void At(TimeMs aTrueMs, Task aTask);
  TimeMs LocalMs(const Process& aProcess) const;
  TimeMs LocalMsAt(const Process& aProcess, TimeMs aTrueMs) const;
  bool IsCut(int aFrom, int aTo) const;
  /// Runs aTask at aTo after a network delay; aRefused at aFrom when nothing
  /// listens there.
  void Send(int aFrom, int aTo, const Task& aTask, const Task& aRefused = {});
  /// Runs at once, or when the process resumes.
  void RunAt(Process& aProcess, Task aTask);
  void Kill(Process& aProcess);
  void Pause(Process& aProcess, TimeMs aDurationMs);

  void StartInstance(Instance& aInstance);
  void TickInstance(Instance& aInstance, int aLife);
  void Advance(Instance& aInstance);
  void Perform(Instance& aInstance, const Actions& aActions);
  void SendOrder(Instance& aInstance, const GrantCommand& aOrder);
  void SendQuestion(Instance& aInstance, const PeerHeartbeat& aQuestion);
  void PollStore(Instance& aInstance);
  void WriteStore(Instance& aInstance, const WriteGroup& aWrite);
  void ApplyWrite(const WriteGroup& aWrite, WriteResult& aResult);
  void PingPeers(Instance& aInstance);
  /// The platform's lists as this instance sees them.
  void ShowPlatform(Instance& aInstance);
  GrantReply Execute(Server& aServer, const GrantCommand& aOrder);
  void TickRouter(Router& aRouter);
  void PollTable(Router& aRouter);

  Instance* Assigner();
  /// Keys are served by (server index, epoch).
  std::set<std::pair<int, Epoch>> OwnersOf(KeyHash aKey) const;
  void Sample();

  SimOptions options_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  TimeMs nowMs_ = 0;
  int64_t eventOrder_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<Process*> processes_;            ///< instances, servers, routers
  std::map<std::pair<int, int>, TimeMs> cuts_; ///< until
  TimeMs storeDownUntilMs_ = 0;
  TimeMs storeDownSinceMs_ = 0;
  TimeMs storeLossUntilMs_ = 0;
  TimeMs badNetworkUntilMs_ = 0;
  bool storeDrops_ = false;
  int64_t version_ = 0;
  GroupObject object_;
  std::vector<KeyHash> keys_;
  History history_;
  std::map<std::tuple<KeyHash, int, std::string, Epoch>, TimeMs> open_;
  std::map<KeyHash, TimeMs> servedMs_;
  std::map<KeyHash, std::vector<std::pair<TimeMs, TimeMs>>> gaps_;
};

}

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

/// One fault of a schedule. target_ and other_ are taken modulo the number of
/// processes or keys that the fault can affect.
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
  int unchecked_ = 1; ///< number of servers that don't check the fence
  int routers_ = 2;
  size_t slices_ = 6;
  /// Maximum delay until an instance notices a silent store: its open watch
  /// request should have ended by then.
  TimeMs storeWatchMs_ = 3000;
};

/// Runs the control logic of several instances against simulated backend
/// servers, routers and a store. Each process has its own clock; the rates of
/// any two clocks differ by less than 1%. A run is deterministic for given
/// options and faults.
class OwnershipSim
{
public:
  explicit OwnershipSim(SimOptions aOptions);
  ~OwnershipSim();

  void Inject(const SimFault& aFault);
  void RunUntil(TimeMs aTrueMs);
  /// Closes the open ownership intervals and returns the complete history.
  const History& Finish();

  /// Keys that have no owner at the current time.
  std::vector<KeyHash> Unserved() const;
  /// Longest time since aFromMs that any key was without an owner.
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
  using Callback = std::function<void()>;

  TimeMs Random(TimeMs aBelow);
  bool Chance(int aPercent) { return Random(100) < aPercent; }
  void At(TimeMs aTrueMs, Callback aCallback);
  TimeMs LocalMs(const Process& aProcess) const;
  TimeMs LocalMsAt(const Process& aProcess, TimeMs aTrueMs) const;
  bool IsCut(int aFrom, int aTo) const;
  /// Runs aCallback at aTo after a network delay, or aRefused at aFrom if the
  /// process at aTo is down. A lost message runs neither.
  void Send(int aFrom,
            int aTo,
            const Callback& aCallback,
            const Callback& aRefused = {});
  /// Runs the callback at once, or after a paused process resumes; drops it if
  /// the process is down.
  void RunAt(Process& aProcess, Callback aCallback);
  void Kill(Process& aProcess);
  void Pause(Process& aProcess, TimeMs aDurationMs);

  void StartInstance(Instance& aInstance);
  void TickInstance(Instance& aInstance, int aIncarnation);
  void Advance(Instance& aInstance);
  void Perform(Instance& aInstance, const Actions& aActions);
  void SendCommand(Instance& aInstance, const GrantCommand& aCommand);
  void SendHeartbeat(Instance& aInstance, const PeerHeartbeat& aHeartbeat);
  void PollStore(Instance& aInstance);
  void WriteStore(Instance& aInstance, const WriteGroup& aWrite);
  void ApplyWrite(const WriteGroup& aWrite, WriteResult& aResult);
  void PingPeers(Instance& aInstance);
  /// Passes the platform's current lists of instances and servers to aInstance.
  void UpdatePlatformLists(Instance& aInstance);
  GrantReply Execute(Server& aServer, const GrantCommand& aCommand);
  void TickRouter(Router& aRouter);
  void PollTable(Router& aRouter);

  Instance* Assigner();
  /// Owners of the key now, as pairs of server index and epoch.
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
  std::vector<Process*> processes_; ///< instances, servers, routers
  std::map<std::pair<int, int>, TimeMs> cutUntilMs_; ///< by (from, to)
  TimeMs storeDownUntilMs_ = 0;
  TimeMs storeDownSinceMs_ = 0;
  TimeMs storeLossUntilMs_ = 0;
  TimeMs badNetworkUntilMs_ = 0;
  bool storeDrops_ = false;
  int64_t version_ = 0;
  GroupObject object_;
  std::vector<KeyHash> keys_;
  History history_;
  std::map<std::tuple<KeyHash, int, std::string, Epoch>, TimeMs> openOwners_;
  std::map<KeyHash, TimeMs> lastServedMs_;
  std::map<KeyHash, std::vector<std::pair<TimeMs, TimeMs>>> gaps_;
};

}

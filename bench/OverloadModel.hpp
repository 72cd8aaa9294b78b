#pragma once

#include "EventQueue.hpp"
#include "policy/RetryBudget.hpp"
#include "policy/ServerGate.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

struct OverloadOptions
{
  std::string policy_ = "adaptive";
  int routers_ = 8;
  int servers_ = 15;
  int slots_ = 5;
  /// Requests that wait at a server when its slots are in use.
  size_t serverQueue_ = 0;
  double serviceMs_ = 10;
  double networkMs_ = 0.5; ///< one way
  TimeMs deadlineMs_ = 500;
  double normalLoad_ = 0.7; ///< of the capacity
  double overload_ = 3;
  /// Part of the callers that come back after 100 ms, whatever they are told.
  double impatient_ = 0.2;
  int maxRepeats_ = 3;
  /// A request that is shed more often is refused.
  int maxSheds_ = 12;
  /// Shed requests go back to the gate only within the retry budget.
  bool chargeSheds_ = false;
  uint64_t seed_ = 1;
};

/// Counts of one second; requests count in the second in which they arrive.
struct OverloadSecond
{
  int64_t newRequests_ = 0;
  int64_t newInTime_ = 0;
  int64_t answersInTime_ = 0; ///< of new and repeated requests
  int64_t answersLate_ = 0;
  int64_t refused_ = 0;
  int64_t sheds_ = 0;
};

/// Callers, the gates of all routers and backend servers that shed what
/// exceeds their slots. Callers are spread unevenly over the routers.
class OverloadModel
{
public:
  explicit OverloadModel(OverloadOptions aOptions);

  /// Normal load, then overload, then normal load.
  void Run(int aNormalSeconds, int aOverloadSeconds, int aAfterSeconds);
  const std::vector<OverloadSecond>& Seconds() const { return seconds_; }
  /// Requests a second that all servers can run.
  double CapacityPerSecond() const;

private:
  struct Request
  {
    uint64_t key_ = 0;
    size_t gate_ = 0;
    int64_t arrivedUs_ = 0;
    TimeMs deadlineMs_ = 0;
    int repeats_ = 0;
    int sheds_ = 0;
    int64_t sentUs_ = 0;
  };
  struct Gate
  {
    std::unique_ptr<ServerGate> gate_;
    size_t server_ = 0;
    size_t router_ = 0;
    TimeMs pollMs_ = INT64_MAX;
  };

  void ScheduleArrivals(double aPerSecond, int64_t aBeginUs, int64_t aEndUs);
  void NextArrival(double aPerSecond, int64_t aEndUs);
  void Arrive(uint64_t aKey, int aRepeats);
  void Apply(size_t aGate, const GateActions& aActions);
  void Send(uint64_t aId);
  void ReachServer(uint64_t aId);
  void RunAtServer(size_t aServer, uint64_t aId);
  void Answer(uint64_t aId);
  void Shed(uint64_t aId);
  void Refuse(uint64_t aId, TimeMs aRetryAfterMs);
  OverloadSecond& Second();
  double Exponential(double aMean);

  OverloadOptions options_;
  EventQueue events_;
  std::mt19937_64 random_;
  std::discrete_distribution<size_t> routerOfCaller_;
  std::vector<Gate> gates_;
  std::vector<RetryBudget> budgets_; ///< of each router
  std::vector<int> busySlots_;
  std::vector<std::deque<uint64_t>> waiting_; ///< at each server
  std::unordered_map<uint64_t, Request> requests_;
  uint64_t nextId_ = 0;
  std::vector<OverloadSecond> seconds_;
};

}

#pragma once

#include "common/Types.hpp"
#include "scheduling/ColdRate.hpp"
#include "scheduling/DomainCrossing.hpp"
#include "scheduling/ServerSlots.hpp"
#include "scheduling/SlotMessages.hpp"
#include "scheduling/SlotQueue.hpp"
#include "scheduling/SlotServers.hpp"
#include "scheduling/WorkEstimate.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactuspitch {

struct SlotOptions
{
  /// A request may wait for this fraction of its objective in any case; beyond
  /// it, only while the objective can still be met.
  double minWaitShare_ = 0.125;
  /// Fraction of the started work that goes to ranks below the most urgent one
  /// that waits, so that none is starved.
  double lowRankShare_ = 0.1;
  /// Upper limit of Retry-After as a fraction of the remaining time; callers
  /// honour at most a third of it.
  double maxRetryAfterShare_ = 0.3;
  TimeMs minRetryAfterMs_ = 30;
  ColdLimits cold_;
};

/// Decides which requests run when and where at the backend servers of one
/// service in one failure domain. All gateways ask the scheduler of the
/// domain's broker for slots, so that a server gets as many requests as keep
/// its slots busy and few wait there (ServerSlots::Depth), no server is idle
/// while a request waits elsewhere, and scarce room goes to the most urgent
/// requests. Does no I/O.
class SlotScheduler
{
public:
  SlotScheduler(SlotOptions aOptions,
                DomainCrossing& aCrossing,
                uint32_t aSeed);

  /// Replaces the servers that may get requests. Slots of servers that are not
  /// listed any more stay taken until they are given back.
  void SetServers(const std::vector<SlotServer>& aServers, TimeMs aNowMs);
  /// Applies with the next SetServers().
  void SetColdLimits(ColdLimits aLimits) { servers_.SetColdLimits(aLimits); }
  /// A request that is already known is answered again.
  void OnRequest(const SlotRequest& aRequest, TimeMs aNowMs);
  void OnEnd(const SlotEnd& aEnd, TimeMs aNowMs);
  /// To be called every few ms: refuses requests that waited too long, and
  /// drops slots that were never given back.
  void Poll(TimeMs aNowMs);
  /// Answers since the last call.
  std::vector<SlotAnswer> TakeAnswers();
  /// Room for requests of other domains.
  SlotSummary Summary(TimeMs aNowMs) const;
  bool IsIdle() const;

private:
  struct Forecast
  {
    double waitMs_ = 0;
    double available_ = 0; ///< slots that more urgent requests leave
    SlotCause cause_ = SlotCause::Full;
  };
  using EntryKey = std::pair<uint32_t, int64_t>;
  struct EntryKeyHash
  {
    size_t operator()(const EntryKey& aKey) const;
  };

  SlotEntry& AddEntry(const SlotRequest& aRequest, TimeMs aNowMs);
  void Drop(SlotEntry& aEntry, TimeMs aNowMs);
  void Decide(SlotEntry& aEntry, TimeMs aNowMs);
  void DecideCrossing(SlotEntry& aEntry, TimeMs aNowMs);
  bool TryAssignNow(SlotEntry& aEntry, TimeMs aNowMs);
  bool TryLeave(SlotEntry& aEntry, double aWaitMs, TimeMs aNowMs);
  void Enqueue(SlotEntry& aEntry, TimeMs aNowMs);
  void Assign(SlotEntry& aEntry, ScheduledServer& aServer, TimeMs aNowMs);
  void LeaveQueue(const SlotEntry& aEntry);
  void Refuse(SlotEntry& aEntry,
              SlotCause aCause,
              TimeMs aRetryAfterMs,
              TimeMs aNowMs);
  void RefuseWaiting(SlotEntry& aEntry, TimeMs aNowMs);
  void RefuseNoServer(SlotEntry& aEntry, TimeMs aNowMs);
  void Close(SlotEntry& aEntry, SlotPhase aPhase, TimeMs aNowMs);
  void ReleaseSlot(SlotEntry& aEntry, TimeMs aNowMs);
  void Learn(const SlotEntry& aEntry,
             const SlotEnd& aEnd,
             ScheduledServer& aServer,
             TimeMs aNowMs);
  void OnReport(const SlotEntry& aEnded,
                const SlotLoad& aLoad,
                ScheduledServer& aServer,
                TimeMs aNowMs);
  void OnDue(SlotEntry& aEntry, TimeMs aNowMs);
  void SetDue(SlotEntry& aEntry, TimeMs aDueMs);
  void Forget(const SlotEntry& aEntry);
  void Send(SlotEntry& aEntry, SlotVerdict aVerdict);

  void FillAll(TimeMs aNowMs);
  /// Starts waiting requests while the server has room.
  void Fill(ScheduledServer& aServer, TimeMs aNowMs);
  SlotEntry* Next(ScheduledServer& aServer, TimeMs aNowMs);
  SlotEntry* NextOfRank(const ScheduledServer& aServer,
                        size_t aRank,
                        TimeMs aNowMs);
  SlotQueue& QueueOf(const SlotEntry& aEntry);
  Forecast Predict(const SlotEntry& aEntry, TimeMs aNowMs);
  double ExpectedMs(const SlotEntry& aEntry, TimeMs aNowMs);
  /// Time that most requests like this one take.
  double LikelyMs(const SlotEntry& aEntry, TimeMs aNowMs);
  TimeMs RetryAfterMs(const SlotEntry& aEntry,
                      const Forecast& aForecast,
                      TimeMs aNowMs);
  TimeMs WithinRetryLimits(const SlotEntry& aEntry,
                           double aWantedMs,
                           TimeMs aNowMs);
  TimeMs MinWaitMs(const SlotEntry& aEntry) const;
  const SlotCapacity& Capacity(TimeMs aNowMs);

  SlotOptions options_;
  DomainCrossing& crossing_;
  std::minstd_rand random_;
  WorkEstimate work_;
  SlotServers servers_;
  SlotQueue queue_; ///< requests that any server can run
  /// Accepted requests that only one server can run.
  SlotQueue ownerBound_;
  std::unordered_map<EntryKey, SlotEntry, EntryKeyHash> entries_;
  std::map<std::pair<TimeMs, uint64_t>, SlotEntry*> due_;
  uint64_t sequence_ = 0;
  size_t waiting_ = 0;
  size_t inUse_ = 0;
  std::vector<SlotAnswer> answers_;
  SlotCapacity capacity_; ///< at capacityMs_
  TimeMs capacityMs_ = -1;
};

}

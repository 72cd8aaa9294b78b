#pragma once

#include "common/Types.hpp"
#include "scheduling/ColdRate.hpp"
#include "scheduling/DomainCrossing.hpp"
#include "scheduling/SlotMessages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Backend server of the scheduler's service and failure domain.
struct SlotServer
{
  uint32_t id_ = 0;          ///< hash of the server's id
  uint32_t incarnation_ = 0; ///< hash of this run of the server
  int slots_ = 1;
  TimeMs coldUntilMs_ = 0;
};

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
/// domain's broker for slots, so that a server never gets more requests than it
/// has slots, a free server is never idle while a request waits elsewhere, and
/// scarce room goes to the most urgent requests. Does no I/O.
class SlotScheduler
{
public:
  SlotScheduler(SlotOptions aOptions,
                DomainCrossing& aCrossing,
                uint32_t aSeed);

  /// Replaces the servers that may get requests. Slots of servers that are not
  /// listed any more stay taken until they are given back.
  void SetServers(const std::vector<SlotServer>& aServers, TimeMs aNowMs);
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
};

}

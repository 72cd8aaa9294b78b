#pragma once

#include "common/Types.hpp"
#include "scheduling/SlotMessages.hpp"

#include <cstdint>
#include <map>
#include <random>

namespace cactuspitch {

struct CrossingOptions
{
  /// Cost of leaving the failure domain, in ms of latency: at least minCostMs_,
  /// in proportion to the bytes, at most maxCostShare_ of the objective.
  double minCostMs_ = 4;
  double msPerKb_ = 5;
  double maxCostShare_ = 0.5;
  /// A summary older than this says nothing about the room.
  TimeMs validMs_ = 500;
};

/// A request that its own failure domain can't run at once.
struct CrossingRequest
{
  TimeMs localWaitMs_ = 0; ///< expected, in the queue of its own domain
  /// No server of the domain takes requests: any other domain is better.
  bool noLocalServer_ = false;
  TimeMs objectiveMs_ = 0;
  TimeMs objectiveLeftMs_ = 0;
  uint32_t bytes_ = 0;
};

/// Decides which requests of a service leave their failure domain, from the
/// room that the brokers of the other domains report. Does no I/O.
class DomainCrossing
{
public:
  DomainCrossing(CrossingOptions aOptions, uint32_t aDomain, uint32_t aSeed);

  /// Room in another domain, or in the own one: each summary that the broker
  /// sends is also passed here. A domain sends requests away only while its own
  /// last summary says that it is short, so that no other domain takes it for a
  /// target at the same time.
  void OnSummary(const SlotSummary& aSummary, TimeMs aNowMs);
  /// The domain that the request should go to; 0 to stay.
  uint32_t Choose(const CrossingRequest& aRequest, TimeMs aNowMs);
  /// The domain refused a request that was sent there.
  void OnReturned(uint32_t aDomain, TimeMs aNowMs);

private:
  struct Domain
  {
    SlotSummary summary_;
    TimeMs atMs_ = 0;
    bool isShort_ = false;
    TimeMs shortSinceMs_ = 0;
    TimeMs heldUntilMs_ = 0; ///< no target before this time
    int credit_ = 0;         ///< slots that may be used until the next summary
    int sent_ = 0;           ///< requests since the last summary
    double recentSent_ = 0;  ///< requests, halved with each summary
    double limit_ = 0;       ///< of the credit, after refusals
    bool returned_ = false;  ///< has refused a request since the last summary
  };

  bool IsFresh(const Domain& aDomain, TimeMs aNowMs) const;
  bool IsTarget(const Domain& aDomain, TimeMs aNowMs) const;
  bool MayLeave(TimeMs aNowMs) const;
  bool Pays(const CrossingRequest& aRequest, const Domain& aTarget) const;
  int Credit(const Domain& aTarget, TimeMs aNowMs);
  /// For requests without a server in their own domain: the neighbour with the
  /// most room, then the least wait.
  Domain* Roomiest(TimeMs aNowMs);
  static uint32_t Send(Domain& aTarget);

  CrossingOptions options_;
  uint32_t domain_;
  std::map<uint32_t, Domain> domains_; ///< with the own one
  std::minstd_rand random_;
};

}

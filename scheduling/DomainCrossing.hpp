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

  /// Room in another domain.
  void OnSummary(const SlotSummary& aSummary, TimeMs aNowMs);
  /// The domain that the request should go to; 0 to stay.
  uint32_t Choose(const CrossingRequest& aRequest, TimeMs aNowMs);
  /// The domain refused a request that was sent there.
  void OnReturned(uint32_t aDomain, TimeMs aNowMs);

private:
  struct Neighbour
  {
    SlotSummary summary_;
    TimeMs atMs_ = 0;
    double credit_ = 0; ///< slots that may still be used until the next summary
  };

  CrossingOptions options_;
  uint32_t domain_;
  std::map<uint32_t, Neighbour> neighbours_;
  std::minstd_rand random_;
};

}

#pragma once

#include "keyspace/KeyLoad.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <vector>

namespace cactuspitch {

/// When and how much the balancer moves.
struct BalanceOptions
{
  /// Acts above this ratio of a server's utilization to the mean.
  double startRatio_ = 1.2;
  /// Utilization below which a server is never relieved: it has free slots.
  double idleUtilization_ = 0.35;
  /// Shares of load below this part of the mean are not worth a move.
  double smallestPart_ = 0.06;
  int maxMoves_ = 8;
  /// Seconds of mean work time assumed for a request until it is measured.
  double workSeconds_ = 0.1;
};

/// Chooses moves that bring the utilization of the owners together: load from
/// the busiest server to the least busy one, in parts cut from the edge of a
/// segment. Moves cost little where the old holder hands its keys over, so
/// balance is weighed higher than the number of moves.
class KeyBalancer
{
public:
  explicit KeyBalancer(BalanceOptions aOptions = {});

  void SetWorkSeconds(double aSeconds);
  std::vector<KeyOwnership::Move> Plan(const KeyOwnership& aOwnership,
                                       const KeyLoad& aLoad,
                                       TimeMs aNowMs) const;

private:
  BalanceOptions options_;
};

}

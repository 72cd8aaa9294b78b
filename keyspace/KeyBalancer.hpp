#pragma once

#include "keyspace/KeyLoad.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// Thresholds and limits of KeyBalancer.
struct KeyBalanceOptions
{
  /// A server is overloaded only if its utilization exceeds the mean by more
  /// than this factor.
  double imbalanceThreshold_ = 1.15;
  /// The utilization must exceed that threshold by this many standard
  /// deviations of the request count from which it was measured.
  double significance_ = 1.0;
  /// Servers below this utilization are never overloaded: they have free slots.
  double idleUtilization_ = 0.3;
  /// Smallest load worth moving, as a fraction of the mean utilization times
  /// the capacity of the target.
  double minMoveShare_ = 0.08;
  /// A key is dominant, and moves to a faster server, if it uses at least this
  /// fraction of its owner's capacity.
  double dominantShare_ = 0.6;
  /// A server counts as faster if it has at least this many times the capacity
  /// and its utilization is lower by more than the same factor.
  double fasterRatio_ = 1.25;
  /// Maximum number of moves in one plan, per server.
  double movesPerServer_ = 0.75;
};

/// Plans moves of key ranges that equalize the utilization of the owners. Load
/// moves from the busiest to the least busy server, in ranges split off the
/// edge of a segment. A single key that is too hot for its owner moves to the
/// fastest server. Moves are cheap when the previous owner hands its keys over,
/// so an even load takes priority over a small number of moves.
class KeyBalancer
{
public:
  explicit KeyBalancer(KeyBalanceOptions aOptions = {});

  /// aServiceSeconds is the mean service time of a request on a server of mean
  /// speed. Returns no moves when the load is balanced.
  std::vector<KeyOwnership::Move> Plan(const KeyOwnership& aOwnership,
                                       const KeyRates& aRates,
                                       double aServiceSeconds,
                                       TimeMs aNowMs) const;

private:
  struct ServerUtilization
  {
    double rate_ = 0;
    double capacity_ = 1;    ///< requests per second
    bool exhausted_ = false; ///< no further range can be moved away

    double Utilization() const { return rate_ / capacity_; }
    double Headroom() const { return capacity_ - rate_; }
  };
  struct RateRange
  {
    uint32_t first_;
    uint32_t last_;
    std::string owner_;
    double rate_;
  };
  using Utilizations = std::map<std::string, ServerUtilization>;

  /// Moves a key that alone saturates the busiest server to a faster server.
  /// Later plans move the other load away from that server.
  void MoveDominantKey(std::vector<RateRange>& aRanges,
                       Utilizations& aServers,
                       const KeyRates& aRates,
                       std::vector<KeyOwnership::Move>& aMoves) const;
  bool IsOverloaded(const ServerUtilization& aServer,
                    double aMean,
                    const KeyRates& aRates) const;
  /// Takes a range with a rate of about aWanted from the ranges of aFrom.
  /// Returns false when no range fits.
  static bool SplitOff(std::vector<RateRange>& aRanges,
                       const std::string& aFrom,
                       double aWanted,
                       const KeyRates& aRates,
                       RateRange& aResult);

  KeyBalanceOptions options_;
};

}

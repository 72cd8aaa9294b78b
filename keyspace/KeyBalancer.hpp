#pragma once

#include "keyspace/KeyLoad.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// When and how much the balancer moves.
struct KeyBalanceOptions
{
  /// Acts above this ratio of a server's utilization to the mean.
  double imbalanceThreshold_ = 1.15;
  /// And only if the excess is this many standard deviations of the count of
  /// requests that the utilization was measured from.
  double significance_ = 1.0;
  /// Utilization below which a server is never relieved: it has free slots.
  double idleUtilization_ = 0.3;
  /// Shares of load below this part of the mean are not worth a move.
  double minMoveShare_ = 0.08;
  /// A key that takes this part of its owner's capacity is better off with a
  /// faster owner,
  double dominantShare_ = 0.6;
  /// if that one has this many times the capacity and is that much less busy.
  double fasterRatio_ = 1.25;
  /// Moves of one plan, for each server.
  double movesPerServer_ = 0.75;
};

/// Chooses moves that bring the utilization of the owners together: load from
/// the busiest server to the least busy one, in parts cut from the edge of a
/// segment. A single key that is too hot for its owner goes to the fastest one.
/// Moves cost little where the old holder hands its keys over, so balance is
/// weighed higher than the number of moves.
class KeyBalancer
{
public:
  explicit KeyBalancer(KeyBalanceOptions aOptions = {});

  /// aServiceSeconds: mean time of one request on a server of mean speed.
  std::vector<KeyOwnership::Move> Plan(const KeyOwnership& aOwnership,
                                       const KeyRates& aRates,
                                       double aServiceSeconds,
                                       TimeMs aNowMs) const;

private:
  struct ServerUse
  {
    double rate_ = 0;
    double capacity_ = 1; ///< requests per second
    bool done_ = false;   ///< cannot be relieved any further

    double Utilization() const { return rate_ / capacity_; }
    double Left() const { return capacity_ - rate_; }
  };
  struct Piece
  {
    uint32_t first_;
    uint32_t last_;
    std::string owner_;
    double rate_;
  };
  using Uses = std::map<std::string, ServerUse>;

  /// Moves a key that alone fills the busiest server to a faster one; the
  /// load beside it is moved away by later plans.
  void MoveDominantKey(std::vector<Piece>& aPieces,
                       Uses& aUses,
                       const KeyRates& aRates,
                       std::vector<KeyOwnership::Move>& aMoves) const;
  bool IsOverloaded(const ServerUse& aUse,
                    double aMean,
                    const KeyRates& aRates) const;
  /// Cuts about aWanted from a piece of aFrom; false when none fits.
  static bool Cut(std::vector<Piece>& aPieces,
                  const std::string& aFrom,
                  double aWanted,
                  const KeyRates& aRates,
                  Piece& aResult);

  KeyBalanceOptions options_;
};

}

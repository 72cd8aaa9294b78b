#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/StoreClient.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Life of an instance that led.
struct LeaderIncarnation
{
  std::string instance_;
  int64_t bootId_ = 0;

  bool operator==(const LeaderIncarnation&) const = default;
};

/// Times of the leader's right. A leader may send orders for kLeaseMs after the
/// sending of its last confirmed renewal: long enough to ride out an outage of
/// the store. A successor counts with orders of the old leader until then,
/// unless it knows that the old process has ended or stopped leading.
struct LeaderTiming
{
  static constexpr TimeMs kLeaseMs = 8000;
  static constexpr TimeMs kRenewIntervalMs = 1000;
  /// Without a confirmed renewal for this long, and out of touch with most
  /// gateways, a leader may have been replaced.
  static constexpr TimeMs kMaxUnconfirmedMs = 1500;
  /// A silent leader is replaced: three heartbeats were lost.
  static constexpr TimeMs kElectionTimeoutMs = 800;
  /// Candidates try one after the other.
  static constexpr TimeMs kDelayPerRankMs = 150;
  /// A gateway that hears almost nobody is probably cut off itself.
  static constexpr TimeMs kIsolatedElectionTimeoutMs = 5000;
  static constexpr TimeMs kInitialElectionTimeoutMs = 300;
  /// At the first start nobody knows the others: small instances wait longer,
  /// in proportion to what they lack of a whole core.
  static constexpr TimeMs kSmallInstanceDelayMs = 400;
};

/// Election of the one gateway that assigns keys, by conditional updates of one
/// object of the store. Other gateways hear of the leader by gossip, so the
/// store is called for renewals only.
class LeaderElection
{
public:
  struct Handlers
  {
    std::function<void(int64_t aTerm)> onElected_;
    std::function<void()> onLeadershipLost_;
    std::function<void()> onEarlierLeadersEnded_;
  };

  LeaderElection(EventLoop& aLoop,
                 EventLog& aLog,
                 StoreClient& aStore,
                 const PeerMesh& aPeers,
                 LeaderIncarnation aSelf,
                 int aCpuPercent,
                 std::function<int64_t()> aUnixNowMs,
                 Handlers aHandlers);

  void Start();
  void OnGossip(const wire::Gossip& aGossip);
  /// Gives the leadership up; the others take it at once.
  void Resign(std::string_view aCause);
  /// Takes no part in elections any more.
  void WithdrawCandidacy();

  bool IsLeading() const { return state_ == State::Leading; }
  /// True while orders to backend servers may be sent.
  bool MaySendCommands() const;
  /// Renewals only, while another gateway may have been elected unheard.
  GrantScope AllowedGrantScope() const;
  int64_t Term() const { return term_; }
  int64_t HighestTerm() const { return highestTerm_; }
  /// The latest term that this process led and has given up.
  int64_t EndedTerm() const { return endedTerm_; }
  const std::string& Leader() const { return leader_; }
  /// True while a leader, or this process as one, tells the owners of keys.
  bool HearsLeader() const;

private:
  enum class State : uint8_t
  {
    Following,
    Acquiring,
    Leading
  };

  void Tick();
  bool ShouldAcquire() const;
  /// Out of touch with most of the gateways that it has heard.
  bool IsIsolated() const;
  TimeMs RankDelayMs() const;
  TimeMs InitialElectionTimeoutMs() const;
  void Acquire();
  void OnLeaseRead(const StoreResponse& aResponse);
  void OnLeaseWritten(const StoreResponse& aResponse, TimeMs aSentMs);
  /// Waits for the gossip of the gateway that was faster.
  void WaitForWinner(int64_t aTerm);
  /// The object's leader renewed it so recently that it is probably alive.
  bool IsRenewedRecently(const nlohmann::json& aSpec) const;
  /// Follows, and tries after this time and a random part of the retry time.
  void RetryIn(TimeMs aMs);
  void VerifyWrite(TimeMs aSentMs);
  void BecomeLeader(TimeMs aConfirmedMs);
  void Renew();
  void OnRenewed(const StoreResponse& aResponse, TimeMs aSentMs);
  void StepDown(std::string_view aCause);
  void PruneEarlierLeaders();
  nlohmann::json LeaseSpec() const;
  bool IsOwnSpec(const nlohmann::json& aSpec) const;

  EventLoop& loop_;
  EventLog& log_;
  StoreClient& store_;
  const PeerMesh& peers_;
  LeaderIncarnation self_;
  int cpuPercent_;
  std::function<int64_t()> unixNowMs_;
  Handlers handlers_;
  Timer timer_;
  State state_ = State::Following;
  bool withdrawn_ = false;
  int64_t term_ = 0;
  int64_t highestTerm_ = 0;
  int64_t endedTerm_ = 0;
  int64_t revision_ = 0;
  TimeMs confirmedMs_ = 0; ///< sending time of the last confirmed renewal
  TimeMs electedMs_ = 0;
  TimeMs leaderHeardMs_ = 0;
  TimeMs leaderHeardBeforeReadMs_ =
    0; ///< leaderHeardMs_ when the object's read began
  TimeMs lastRenewalMs_ = 0;
  bool renewing_ = false;
  bool everHeardLeader_ = false;
  uint64_t generation_ = 0;
  std::string leader_;
  std::vector<LeaderIncarnation>
    earlierLeaders_; ///< leaders that may still send orders
};

}

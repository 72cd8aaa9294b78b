#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/StoreClient.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Incarnation of an instance that was the leader.
struct LeaderIncarnation
{
  std::string instance_;
  int64_t bootId_ = 0;

  bool operator==(const LeaderIncarnation&) const = default;
};

/// Timing of the leader lease. A leader may send commands until kLeaseMs after
/// it sent its last confirmed renewal, which is long enough to bridge a store
/// outage. A successor has to expect commands from the old leader until then,
/// unless it knows that the old process has exited or has stopped leading.
struct LeaderTiming
{
  static constexpr TimeMs kLeaseMs = 8000;
  static constexpr TimeMs kRenewIntervalMs = 1000;
  static constexpr TimeMs kMinRenewIntervalMs = 200;
  /// A leader may have been replaced at any time since it sent its last
  /// confirmed renewal. For this long it continues to open connections to
  /// servers; a successor allows for that, see
  /// LeaseTiming::earlierLeaderConnectMs_.
  static constexpr TimeMs kMaxUnconfirmedMs = 1500;
  /// The same if all other gateways have been heard instead, which can't have
  /// replaced the leader before they sent their last gossip.
  static constexpr TimeMs kMaxUnheardMs = 1000;
  /// A gateway that was not heard for so long before a confirmed renewal is
  /// gone; otherwise it would have replaced the leader.
  static constexpr TimeMs kForgottenMs = 10000;
  /// After a restore of the store a replaced leader may be able to renew its
  /// lease, until its successor has written its own again.
  static constexpr TimeMs kRestoreSettleMs = 2 * kRenewIntervalMs;
  /// A leader is replaced after three lost heartbeats.
  static constexpr TimeMs kElectionTimeoutMs = 800;
  /// Delay between candidates of consecutive ranks, so that they do not
  /// compete.
  static constexpr TimeMs kDelayPerRankMs = 150;
  /// A gateway that receives gossip from few others is probably isolated itself
  /// and waits longer.
  static constexpr TimeMs kIsolatedElectionTimeoutMs = 5000;
  static constexpr TimeMs kInitialElectionTimeoutMs = 300;
  /// At the first start gateways do not know each other and have no ranks.
  /// Instances with less than one core wait up to this much longer, in
  /// proportion to the missing share of a core.
  static constexpr TimeMs kSmallInstanceDelayMs = 400;
};

/// Elects the gateway that assigns keys by conditional updates of one object in
/// the store. The other gateways learn of the leader by gossip, so in the
/// steady state only renewals call the store.
class LeaderElection
{
public:
  struct Handlers
  {
    std::function<void(int64_t aTerm)> onElected_;
    std::function<void()> onLeadershipLost_;
    /// All earlier leaders are known to have exited or stopped leading.
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
  /// Steps down. Other gateways start an election without waiting for the
  /// timeout.
  void Resign(std::string_view aCause);
  /// The store was restored from an older copy, which may lack the lease.
  void OnStoreRestored();
  /// This gateway no longer takes part in elections.
  void WithdrawCandidacy();

  bool IsLeading() const { return state_ == State::Leading; }
  /// True while commands may be sent to backend servers.
  bool MaySendCommands() const;
  /// All after a recent confirmed renewal of the leader lease that was sent at
  /// aSinceMs or later, or recent gossip of all other gateways.
  GrantScope AllowedGrantScope(TimeMs aSinceMs = 0) const;
  /// Renews the leader lease soon if the last confirmed renewal was sent before
  /// aSinceMs.
  void RequireConfirmation(TimeMs aSinceMs);
  /// False while another gateway is likely to lead without this one having
  /// received its gossip.
  bool IsProbablySoleLeader() const;
  /// A server rejected the present fence of a lease, because it has seen a
  /// higher one. The leader lease is renewed at once, and grants are limited to
  /// renewals until that is confirmed.
  void OnFenceRejected();
  int64_t Term() const { return term_; }
  int64_t HighestTerm() const { return highestTerm_; }
  /// Last term in which this process was the leader and which has ended.
  int64_t EndedTerm() const { return endedTerm_; }
  const std::string& Leader() const { return leader_; }
  /// True while this process leads or receives the leader's gossip, which
  /// carries the owners of keys.
  bool HearsLeader() const;

private:
  enum class State : uint8_t
  {
    Following,
    Acquiring,
    Leading
  };

  void Tick();
  /// Logs a change of AllowedGrantScope().
  void ReportGrantScope();
  bool ShouldAcquire() const;
  /// True if most of the known gateways are not heard any more.
  bool IsIsolated() const;
  /// Time since when no other gateway can have replaced this leader according
  /// to their gossip; 0 if unknown. Does not cover gateways that were never
  /// heard.
  TimeMs HeardFromAllSinceMs() const;
  TimeMs RankDelayMs() const;
  TimeMs InitialElectionTimeoutMs() const;
  void Acquire();
  void OnLeaseRead(const StoreResponse& aResponse);
  void OnLeaseWritten(const StoreResponse& aResponse, TimeMs aSentMs);
  /// Adds a leader that may still send commands.
  void AddEarlierLeader(const LeaderIncarnation& aLeader);
  /// The lowest term that is above all terms of earlier eras of the store, even
  /// those that neither the store nor the gateways remember.
  int64_t FirstTermOfEra() const;
  /// Follows and waits for gossip of the gateway that won the election.
  void WaitForWinner(int64_t aTerm);
  /// True if the lease was renewed so recently that its holder is probably
  /// alive.
  bool IsRenewedRecently(const nlohmann::json& aSpec) const;
  /// Follows and tries again after aMs plus a random part of the retry
  /// interval.
  void RetryIn(TimeMs aMs);
  void VerifyWrite(TimeMs aSentMs);
  void BecomeLeader(TimeMs aConfirmedMs);
  void Renew();
  bool IsRenewalDue() const;
  /// Shorter while the store is slow, so that confirmations stay recent.
  TimeMs RenewIntervalMs() const;
  /// Writes the lease of this leader to a store that was restored from an older
  /// copy, unless the copy names a newer leader.
  void RestoreLease();
  void OnRestoredLeaseRead(const StoreResponse& aResponse);
  StoreClient::Callback RenewalHandler(TimeMs aSentMs);
  void OnRenewed(const StoreResponse& aResponse, TimeMs aSentMs);
  void OnConfirmed(const StoreResponse& aResponse, TimeMs aSentMs);
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
  TimeMs confirmedMs_ = 0; ///< when the last confirmed renewal was sent
  TimeMs electedMs_ = 0;
  TimeMs leaderHeardMs_ = 0;
  /// leaderHeardMs_ at the start of the read.
  TimeMs leaderHeardBeforeReadMs_ = 0;
  TimeMs lastRenewalMs_ = 0;
  TimeMs renewalLatencyMs_ = 0; ///< of the last confirmed renewal
  TimeMs requiredSinceMs_ = 0;  ///< see RequireConfirmation
  TimeMs restoredMs_ = 0; ///< last restore of the store in this term, or 0
  bool renewing_ = false;
  bool lastRenewalFailed_ = false;
  /// A fence was rejected since the last renewal was sent, or since the last
  /// confirmed one was.
  bool rejectedSinceSent_ = false;
  bool rejectedSinceConfirmed_ = false;
  GrantScope reportedScope_ = GrantScope::All;
  bool everHeardLeader_ = false;
  uint64_t generation_ = 0;
  std::string leader_;
  int64_t leaderBootId_ = 0; ///< of leader_, as last heard
  /// Leaders that may still send commands.
  std::vector<LeaderIncarnation> earlierLeaders_;
};

}

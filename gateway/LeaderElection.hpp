#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/StoreLink.hpp"
#include "keyspace/KeyOwnership.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Life of an instance that led.
struct LeaderLife
{
  std::string instance_;
  int64_t bootId_ = 0;

  bool operator==(const LeaderLife&) const = default;
};

/// Times of the leader's right. A leader may send orders for kRightMs after the
/// sending of its last confirmed renewal: long enough to ride out an outage of
/// the store. A successor counts with orders of the old leader until then,
/// unless it knows that the old process has ended or stopped leading.
struct LeaderTiming
{
  static constexpr TimeMs kRightMs = 8000;
  static constexpr TimeMs kRenewMs = 1000;
  /// Without a confirmed renewal for this long, and out of touch with most
  /// gateways, a leader may have been replaced.
  static constexpr TimeMs kConfirmedMs = 1500;
  /// A silent leader is replaced: three heartbeats were lost.
  static constexpr TimeMs kSilenceMs = 800;
  /// Candidates try one after the other.
  static constexpr TimeMs kRankStepMs = 150;
  /// A gateway that hears almost nobody is probably cut off itself.
  static constexpr TimeMs kIsolatedSilenceMs = 5000;
  static constexpr TimeMs kFirstSilenceMs = 300;
  /// At the first start nobody knows the others: small instances wait longer,
  /// in proportion to what they lack of a whole core.
  static constexpr TimeMs kSmallInstanceMs = 400;
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
    std::function<void()> onLost_;
    std::function<void()> onForeignEnded_;
  };

  LeaderElection(EventLoop& aLoop,
                 EventLog& aLog,
                 StoreLink& aStore,
                 const PeerMesh& aPeers,
                 LeaderLife aSelf,
                 int aCpuPercent,
                 std::function<int64_t()> aUnixNowMs,
                 Handlers aHandlers);

  void Start();
  void OnGossip(const wire::Gossip& aGossip);
  /// Gives the leadership up; the others take it at once.
  void Resign(std::string_view aCause);
  /// Takes no part in elections any more.
  void Retire();

  bool IsLeading() const { return state_ == State::Leading; }
  /// True while orders to backend servers may be sent.
  bool MayOrder() const;
  /// Renewals only, while another gateway may have been elected unheard.
  GrantScope MayGrant() const;
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
  bool ShouldTry() const;
  /// Out of touch with most of the gateways that it has heard.
  bool IsIsolated() const;
  TimeMs RankDelayMs() const;
  TimeMs FirstSilenceMs() const;
  void Acquire();
  void OnRead(const StoreAnswer& aAnswer);
  void OnWritten(const StoreAnswer& aAnswer, TimeMs aSentMs);
  /// Waits for the gossip of the gateway that was faster.
  void WaitForWinner(int64_t aTerm);
  /// The object's leader renewed it so recently that it is probably alive.
  bool IsRenewedRecently(const nlohmann::json& aSpec) const;
  /// Follows, and tries after this time and a random part of the retry time.
  void TryAgainIn(TimeMs aMs);
  void CheckWritten(TimeMs aSentMs);
  void BecomeLeader(TimeMs aConfirmedMs);
  void Renew();
  void OnRenewed(const StoreAnswer& aAnswer, TimeMs aSentMs);
  void StepDown(std::string_view aCause);
  void PruneEarlier();
  nlohmann::json Spec() const;
  bool IsOwnSpec(const nlohmann::json& aSpec) const;

  EventLoop& loop_;
  EventLog& log_;
  StoreLink& store_;
  const PeerMesh& peers_;
  LeaderLife self_;
  int cpuPercent_;
  std::function<int64_t()> unixNowMs_;
  Handlers handlers_;
  Timer timer_;
  State state_ = State::Following;
  bool retired_ = false;
  int64_t term_ = 0;
  int64_t highestTerm_ = 0;
  int64_t endedTerm_ = 0;
  int64_t revision_ = 0;
  TimeMs confirmedMs_ = 0; ///< sending time of the last confirmed renewal
  TimeMs electedMs_ = 0;
  TimeMs heardMs_ = 0;
  TimeMs heardBeforeMs_ = 0; ///< heardMs_ when the object's read began
  TimeMs renewedMs_ = 0;
  bool renewing_ = false;
  bool everHeard_ = false;
  uint64_t round_ = 0;
  std::string leader_;
  std::vector<LeaderLife> earlier_; ///< leaders that may still send orders
};

}

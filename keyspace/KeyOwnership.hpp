#pragma once

#include "keyspace/KeySegment.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Timing of grants. A holder's clock may run slow by kClockDrift.
struct LeaseTiming
{
  /// Backend servers above which a fleet counts as large.
  static constexpr size_t kLargeFleetServers = 120;

  /// A crashed owner's keys are served again after at most renewIntervalMs_ +
  /// leaseMs_; the loss of a leader (about 1 s) must fit into leaseMs_ -
  /// renewIntervalMs_.
  TimeMs leaseMs_ = 2500;
  TimeMs renewIntervalMs_ = 700;
  TimeMs retryIntervalMs_ = 150;
  /// No answer for this long, over two calls or more: the server is lost.
  TimeMs lostAfterMs_ = 1200;
  /// How long an earlier leader may go on sending renewals after it was
  /// replaced (LeaderLease), with the time limit of its last call.
  TimeMs earlierLeaderRenewMs_ = 8600;
  /// Longest grant of any earlier leader; it may have had other settings, or
  /// more backend servers.
  TimeMs maxEarlierLeaseMs_ = 2500;

  /// For this many backend servers, none of which accepts a longer grant than
  /// aMaxHoldMs.
  static LeaseTiming For(size_t aServers, TimeMs aMaxHoldMs);
};

/// When the keys of a new service are dealt out for the first time: backend
/// servers register one after the other, and the first one must not get all
/// keys.
struct FirstTableTiming
{
  /// No new server for this long.
  TimeMs settleMs_ = 600;
  /// At the latest this long after the first server, without and with requests
  /// that wait for an owner.
  TimeMs idleLimitMs_ = 6000;
  TimeMs demandLimitMs_ = 1000;
};

/// Latest moment at which a grant sent at any time up to aArrivalMs can still
/// be in force. Holders' clocks may run 2% slow; 50 ms cover rounding.
TimeMs LeaseEndMs(TimeMs aArrivalMs, TimeMs aHoldMs);

/// Which grants a leader may send.
enum class GrantScope : uint8_t
{
  All,
  /// Only those that prolong a hold without interruption. A leader that may
  /// have been replaced does not know whether a server that failed to answer
  /// was restarted since: a new life takes grants that the old one would refuse
  /// for a newer leader's fence.
  Renewals,
  Count
};

template<>
struct EnumNames<GrantScope>
{
  static constexpr std::string_view kNames[] = { "all", "renewals" };
};

enum class KeyCommandKind : uint8_t
{
  Grant,
  Release,
  Count
};

template<>
struct EnumNames<KeyCommandKind>
{
  static constexpr std::string_view kNames[] = { "grant", "release" };
};

/// Order to a backend server about its keys.
struct KeyCommand
{
  KeyCommandKind kind_ = KeyCommandKind::Grant;
  std::string service_;
  std::string backend_;
  uint32_t first_ = 0;
  uint32_t last_ = 0;
  int64_t fence_ = 0;
  TimeMs leaseMs_ = 0;
  std::string handover_; ///< token of the last holder, may be empty
  TimeMs sentMs_ = 0;
};

enum class KeyCommandResult : uint8_t
{
  Accepted,
  OlderFence,  ///< the server has seen a higher fence
  NotSent,     ///< certainly not received
  Unanswered,  ///< may be carried out late
  Misdirected, ///< another server has the address
  Count
};

template<>
struct EnumNames<KeyCommandResult>
{
  static constexpr std::string_view kNames[] = { "accepted",
                                                 "older-fence",
                                                 "not-sent",
                                                 "unanswered",
                                                 "misdirected" };
};

/// What the leader knows of a backend server that may own keys.
struct OwnerCandidate
{
  int64_t startTimeMs_ = 0;
  bool usable_ = false; ///< registered and not draining
  double capacity_ = 1; ///< requests that it runs at once, weighted by speed
};

/// Ownership of the keys of one service at the leader. Pure: time and results
/// are inputs, orders are outputs. A change of owner becomes effective in three
/// steps: Propose() a table, Commit() after the store has it, then release the
/// previous holders and grant the new owner.
class KeyOwnership
{
public:
  KeyOwnership(std::string aService, LeaseTiming aTiming);

  /// Starts from a table of an earlier leader. aNowMs is when this leader's
  /// term began; every fence is replaced by one of the new term.
  void Adopt(KeySegments aSegments,
             const std::function<int64_t()>& aNextFence,
             TimeMs aNowMs);
  /// The earlier leaders' processes are known to have ended or stopped.
  void OnEarlierLeadersEnded(TimeMs aNowMs);

  void SetCandidates(std::map<std::string, OwnerCandidate> aCandidates,
                     TimeMs aNowMs);
  const std::map<std::string, OwnerCandidate>& Candidates() const
  {
    return candidates_;
  }

  /// True when enough servers are known for the first table.
  bool IsReadyForFirstTable(const FirstTableTiming& aTiming,
                            bool aHasDemand,
                            TimeMs aNowMs) const;

  /// Changes that leaving, lost and restarted servers need, and the moves that
  /// aBalance asks for. Empty when the durable table needs no change.
  struct Move
  {
    uint32_t first_;
    uint32_t last_;
    std::string target_;
  };
  using Balance =
    std::function<std::vector<Move>(const KeyOwnership& aOwnership)>;
  std::optional<KeySegments> Propose(const std::function<int64_t()>& aNextFence,
                                     const Balance& aBalance,
                                     TimeMs aNowMs);
  /// The store holds aSegments now.
  void Commit(const KeySegments& aSegments, TimeMs aNowMs);

  /// Orders that are due. The caller sends all of them at once.
  std::vector<KeyCommand> TakeCommands(TimeMs aNowMs,
                                       GrantScope aScope = GrantScope::All);
  void OnCommandDone(const KeyCommand& aOrder,
                     KeyCommandResult aResult,
                     const std::string& aHandover,
                     TimeMs aNowMs);

  const KeySegments& Segments() const { return segments_; }
  /// True when the owner has answered a grant and nobody else can hold it.
  bool IsActive(size_t aIndex) const { return segmentStates_[aIndex].granted_; }
  bool IsLost(const std::string& aBackend, TimeMs aNowMs) const;
  /// A stable segment has no previous holder and a granted owner.
  bool IsStable(size_t aIndex) const;
  /// Counts state changes, so that followers hear of each.
  uint64_t Revision() const { return revision_; }

private:
  /// How long one backend server may hold the keys of a segment.
  struct LeaseState
  {
    TimeMs answeredEndMs_ = 0;
    TimeMs unansweredEndMs_ = 0;
    TimeMs earlierLeaderEndMs_ = 0; ///< through renewals of earlier leaders
    bool fenced_ = false; ///< took a fence of this term: refuses older ones
    bool released_ = false;
    int inFlight_ = 0; ///< grants without an answer yet

    bool HasEnded(TimeMs aNowMs) const;
    bool WasNeverGranted() const;
  };
  struct SegmentState
  {
    LeaseState owner_;
    std::map<std::string, LeaseState> previous_;
    TimeMs lastGrantMs_ = 0;
    TimeMs lastReleaseMs_ = 0;
    bool releaseInFlight_ = false;
    bool granted_ = false;
    bool lastGrantFailed_ = false;
    std::string handover_;
  };
  struct Contact
  {
    TimeMs firstFailureMs_ = 0; ///< since the last answer
    int failures_ = 0;
  };

  bool CanGrant(size_t aIndex, TimeMs aNowMs) const;
  bool NeedsNewOwner(const KeySegment& aSegment, TimeMs aNowMs) const;
  std::string PickTarget(const std::map<std::string, double>& aLoad) const;
  void ReassignSegments(KeySegments& aSegments,
                        const std::function<int64_t()>& aNextFence,
                        TimeMs aNowMs) const;
  KeySegment WithOwner(const KeySegment& aSegment,
                       const std::string& aTarget,
                       int64_t aFence) const;
  void AddReleases(size_t aIndex,
                   std::vector<KeyCommand>& aOrders,
                   TimeMs aNowMs);

  std::string service_;
  LeaseTiming timing_;
  KeySegments segments_;
  std::vector<SegmentState> segmentStates_;
  std::map<std::string, OwnerCandidate> candidates_;
  std::map<std::string, Contact> contacts_;
  std::optional<TimeMs> firstServerMs_;
  TimeMs newestServerMs_ = 0;
  uint64_t revision_ = 1;
};

}

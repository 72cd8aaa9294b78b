#pragma once

#include "keyspace/KeySegment.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Timing of the leases that the leader grants to the owners of keys. The
/// clock of a lease holder may run up to 2% slow.
struct LeaseTiming
{
  /// With more backend servers than this, leases are longer (see For()).
  static constexpr size_t kLargeFleetServers = 120;

  /// Duration of a lease. The keys of a crashed owner are served again after at
  /// most renewIntervalMs_ + leaseMs_. Leases must outlast a change of leader
  /// (about 1 s), which has to fit into leaseMs_ - renewIntervalMs_.
  TimeMs leaseMs_ = 2500;
  TimeMs renewIntervalMs_ = 700;
  /// Delay before a command that failed is sent again.
  TimeMs retryIntervalMs_ = 150;
  /// A server that has not responded for this long, to at least two commands,
  /// is considered lost.
  TimeMs lostAfterMs_ = 1200;
  /// How long an earlier leader may continue to send renewals after it was
  /// replaced, until its leader lease expires; includes the timeout of its last
  /// call.
  TimeMs earlierLeaderRenewMs_ = 8600;
  /// How long an earlier leader may continue to open connections to servers
  /// after it was replaced. After that it reaches only processes that were
  /// running before.
  TimeMs earlierLeaderConnectMs_ = 1600;
  /// Longest lease of any earlier leader, which may have had other settings or
  /// more backend servers.
  TimeMs maxEarlierLeaseMs_ = 2500;

  /// Timing for a fleet of aServers backend servers, which reject leases longer
  /// than aMaxHoldMs.
  static LeaseTiming For(size_t aServers, TimeMs aMaxHoldMs);
};

/// Delays before the keys of a new service are assigned for the first time.
/// Backend servers register one after the other, and the first one must not get
/// all keys.
struct FirstTableTiming
{
  /// Keys are assigned when no new server has registered for this long.
  TimeMs settleMs_ = 600;
  /// Longest time from the registration of the first server to the assignment
  /// when no request (idle) or some request (demand) is waiting for an owner.
  TimeMs idleLimitMs_ = 6000;
  TimeMs demandLimitMs_ = 1000;
};

/// Latest time at which a lease of aLeaseMs that reached its holder at or
/// before aArrivalMs can still be valid. Allows for a holder's clock that runs
/// 2% slow and for 50 ms of rounding.
TimeMs LeaseEndMs(TimeMs aArrivalMs, TimeMs aLeaseMs);

/// Which leases a leader may grant.
enum class GrantScope : uint8_t
{
  All,
  /// Only renewals of leases that have not been interrupted, on connections
  /// that are already open. A leader that may have been replaced cannot tell
  /// whether a server has restarted since. The new incarnation would accept a
  /// grant that the previous one had rejected because it knew the fence of a
  /// newer leader.
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

/// Command to a backend server to take or give up a lease for a key range.
struct KeyCommand
{
  KeyCommandKind kind_ = KeyCommandKind::Grant;
  std::string service_;
  std::string backend_;
  uint32_t first_ = 0;
  uint32_t last_ = 0;
  int64_t fence_ = 0;
  TimeMs leaseMs_ = 0;
  std::string handover_; ///< token from the previous owner; may be empty
  TimeMs sentMs_ = 0;
  uint64_t number_ = 0; ///< ascending in the order of TakeCommands()
  bool renews_ = false; ///< grant of a lease that is valid already
  /// Connection on which the fence was sent, and the only one on which it may
  /// be sent again; 0 if it was never sent. In OnCommandDone() the one that was
  /// used; 0 if unknown.
  uint64_t connection_ = 0;
};

enum class KeyCommandResult : uint8_t
{
  Accepted,
  OlderFence,  ///< rejected: the server has seen a higher fence
  NotSent,     ///< the server certainly did not receive the command
  Withheld,    ///< not sent, because another leader may have been elected
  Unanswered,  ///< no response: the server may still execute the command
  Misdirected, ///< another server is listening on the address
  /// Not sent: the connection on which the fence was sent has ended, and
  /// another one may reach a later incarnation.
  Disconnected,
  Count
};

template<>
struct EnumNames<KeyCommandResult>
{
  static constexpr std::string_view kNames[] = { "accepted",    "older-fence",
                                                 "not-sent",    "withheld",
                                                 "unanswered",  "misdirected",
                                                 "disconnected" };
};

/// Backend server that may own keys, as known to the leader.
struct OwnerCandidate
{
  int64_t startTimeMs_ = 0; ///< wall clock; identifies the incarnation
  bool usable_ = false;     ///< registered and not draining
  double capacity_ = 1;     ///< concurrent requests, weighted by server speed
};

/// State machine of the leader that assigns the keys of one service to owners.
/// It does no I/O: the time and the results of commands are inputs, commands
/// are outputs. A change of owner takes three steps: Propose() a table,
/// Commit() it once it is stored, then release the leases of the previous
/// owners and grant one to the new owner.
class KeyOwnership
{
public:
  KeyOwnership(std::string aService, LeaseTiming aTiming);

  /// Takes over the table of an earlier leader and replaces every fence by one
  /// of the new term. aNowMs is the time at which this leader's term began.
  void Adopt(KeySegments aSegments,
             const std::function<int64_t()>& aNextFence,
             TimeMs aNowMs);
  /// The processes of all earlier leaders are known to have exited or to have
  /// stopped sending commands.
  void OnEarlierLeadersEnded(TimeMs aNowMs);

  void SetCandidates(std::map<std::string, OwnerCandidate> aCandidates,
                     TimeMs aNowMs);
  const std::map<std::string, OwnerCandidate>& Candidates() const
  {
    return candidates_;
  }

  /// Whether the keys of a new service can be assigned, or more servers should
  /// be awaited. aHasDemand: requests are waiting for an owner.
  bool IsReadyForFirstTable(const FirstTableTiming& aTiming,
                            bool aHasDemand,
                            TimeMs aNowMs) const;

  /// Key range to be moved to another owner.
  struct Move
  {
    uint32_t first_;
    uint32_t last_;
    std::string target_;
  };
  using Balance =
    std::function<std::vector<Move>(const KeyOwnership& aOwnership)>;
  /// Returns the table with the changes required by leaving, lost and restarted
  /// servers; if there are none, with the moves that aBalance plans. Returns
  /// nullopt if the stored table needs no change.
  std::optional<KeySegments> Propose(const std::function<int64_t()>& aNextFence,
                                     const Balance& aBalance,
                                     TimeMs aNowMs);
  /// Puts aSegments into effect, which the store has accepted.
  void Commit(const KeySegments& aSegments, TimeMs aNowMs);

  /// Replaces fences that an earlier incarnation of their owner may have had,
  /// because the connection on which they were sent has ended. A table that
  /// names the same owners needs no new write: fences of a later term are
  /// higher than all of this one. To be called before TakeCommands().
  void ReplaceUsedFences(const std::function<int64_t()>& aNextFence);
  /// Commands that are due. The caller has to send all of them immediately and
  /// to report each result to OnCommandDone().
  std::vector<KeyCommand> TakeCommands(TimeMs aNowMs,
                                       GrantScope aScope = GrantScope::All);
  /// aHandover is the token that the previous owner returned for a release; may
  /// be empty.
  void OnCommandDone(const KeyCommand& aCommand,
                     KeyCommandResult aResult,
                     const std::string& aHandover,
                     TimeMs aNowMs);

  const KeySegments& Segments() const { return segments_; }
  /// True if the owner has accepted its lease and no other server can hold one.
  bool IsActive(size_t aIndex) const { return segmentStates_[aIndex].granted_; }
  /// True if the server has not responded to commands for lostAfterMs_.
  bool IsLost(const std::string& aBackend, TimeMs aNowMs) const;
  /// True if the owner has accepted its lease, no previous owner is left in the
  /// table, and the keys can move without waiting for leases of earlier
  /// leaders.
  bool IsStable(size_t aIndex) const;
  /// Incremented with every change that other gateways have to be sent.
  uint64_t Revision() const { return revision_; }

private:
  /// Lease of one backend server for the keys of a segment: latest times at
  /// which it may still be valid, by the commands that granted it.
  struct LeaseState
  {
    TimeMs acceptedEndMs_ = 0;
    TimeMs unansweredEndMs_ = 0;
    TimeMs earlierLeaderEndMs_ = 0; ///< granted or renewed by earlier leaders
    /// Accepted a fence of this term when earlier leaders could reach no later
    /// incarnation of the server any more: their commands are rejected.
    bool fenced_ = false;
    bool released_ = false;
    int inFlight_ = 0; ///< grant commands without a result yet
    /// Number of the last command that was taken before a grant had its result.
    uint64_t lastBesideGrant_ = 0;

    /// Whether an accepted aRelease was executed after all grants. The server
    /// may execute commands that overlap in time in any order.
    bool IsEndedBy(const KeyCommand& aRelease) const;
    bool HasEnded(TimeMs aNowMs) const;
    bool WasNeverGranted() const;
    bool IsSafeFromEarlierLeaders(TimeMs aNowMs) const;
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
    bool lastGrantWithheld_ = false;
    std::string handover_;
    /// Connection on which the owner's fence was sent; 0 if it was not.
    uint64_t connection_ = 0;
    bool needsFence_ = false; ///< see ReplaceUsedFences()
  };
  /// Consecutive failed commands to a server, since its last response.
  struct FailureStreak
  {
    TimeMs firstFailureMs_ = 0;
    int failures_ = 0;
  };

  bool CanGrant(size_t aIndex, TimeMs aNowMs) const;
  /// Notes on which connection the fence of the owner was sent.
  static void NoteConnection(SegmentState& aState,
                             const KeyCommand& aGrant,
                             KeyCommandResult aResult);
  /// Whether a move should wait until the owner is fenced. Otherwise, the next
  /// owner would wait until all leases of earlier leaders have ended.
  bool AwaitsFence(size_t aIndex, TimeMs aNowMs) const;
  bool NeedsNewOwner(const KeySegment& aSegment, TimeMs aNowMs) const;
  std::string PickTarget(const std::map<std::string, double>& aLoad) const;
  void ReassignSegments(KeySegments& aSegments,
                        const std::function<int64_t()>& aNextFence,
                        TimeMs aNowMs) const;
  KeySegment WithOwner(const KeySegment& aSegment,
                       const std::string& aTarget,
                       int64_t aFence) const;
  void AddReleases(size_t aIndex,
                   std::vector<KeyCommand>& aCommands,
                   TimeMs aNowMs);

  std::string service_;
  LeaseTiming timing_;
  KeySegments segments_;
  std::vector<SegmentState> segmentStates_;
  std::map<std::string, OwnerCandidate> candidates_;
  std::map<std::string, FailureStreak> failureStreaks_;
  std::optional<TimeMs> firstServerMs_;
  TimeMs newestServerMs_ = 0;
  /// Grants that were sent before prove nothing about earlier leaders.
  TimeMs fencingSinceMs_ = 0;
  uint64_t revision_ = 1;
  uint64_t lastCommand_ = 0;
};

}

#pragma once

#include "control/DeputyRole.hpp"
#include "control/GrantScheduler.hpp"
#include "control/GroupState.hpp"
#include "control/GroupWriter.hpp"
#include "control/Messages.hpp"
#include "control/OwnershipRecovery.hpp"
#include "control/RecordPlanner.hpp"
#include "control/SliceMover.hpp"

#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// Role of an instance in a group. The assigner decides which server owns which
/// slice; the deputy is its standby and takes over when the assigner is lost.
enum class GroupRole : uint8_t
{
  None,
  Deputy,
  Assigner,
  Count
};

template<>
struct EnumNames<GroupRole>
{
  static constexpr std::string_view kNames[] = { "none", "deputy", "assigner" };
};

/// Instance that may become assigner or deputy.
struct CandidateRecord
{
  std::string id_;
  std::string failureDomain_;
};

/// Number of top-ranked candidates that monitor the assigner and the deputy and
/// may replace both: the two themselves and two more.
inline constexpr int kMonitoringCandidates = 4;

struct GroupOptions
{
  std::string instance_;
  std::string failureDomain_;
  /// Instance and start time of the process; differs after a restart.
  std::string writer_;
  std::string service_;
  int32_t group_ = 0;
  size_t slices_ = 256;
};

/// Controls one assignment group at one instance, in the role that the group
/// object in the store gives it. Does no I/O: it takes times and messages and
/// returns actions. Call Step() after every batch of inputs and at least every
/// 20 ms.
class GroupController
{
public:
  explicit GroupController(GroupOptions aOptions);
  GroupController(const GroupController&) = delete;
  GroupController& operator=(const GroupController&) = delete;

  // Lists of the platform. Both lag behind the actual state and serve only as
  // hints.
  void SetCandidates(std::vector<CandidateRecord> aCandidates);
  void SetServers(std::vector<BackendServerRecord> aServers);

  // Store
  void SetStoreReachable(TimeMs aNowMs, bool aReachable);
  void OnObject(TimeMs aNowMs,
                int64_t aVersion,
                const GroupObject& aObject,
                Actions& aActions);
  void OnObjectMissing(TimeMs aNowMs, Actions& aActions);
  /// aVersion is the new version when aResult is Written.
  void OnWriteResult(TimeMs aNowMs,
                     int64_t aChange,
                     WriteResult aResult,
                     int64_t aVersion,
                     Actions& aActions);

  // Backend servers
  void OnReply(TimeMs aNowMs, const GrantReply& aReply);
  void OnConnectionRefused(TimeMs aNowMs,
                           const std::string& aServer,
                           int64_t aCommandId);

  // Other instances
  PeerHeartbeatReply OnHeartbeat(TimeMs aNowMs,
                                 const PeerHeartbeat& aHeartbeat);
  void OnHeartbeatReply(TimeMs aNowMs, const PeerHeartbeatReply& aReply);
  /// The instance responded to some call. aTerm is the newest term that it
  /// knows.
  void OnPeerResponded(TimeMs aNowMs, const std::string& aInstance, Term aTerm);
  /// Nothing listens at the instance's address, so its process has exited. Also
  /// called when an operator declares the instance dead.
  void OnPeerExited(TimeMs aNowMs, const std::string& aInstance);

  /// A table of a later term was seen at another instance.
  void OnNewerTerm(Term aTerm);
  /// Instances to probe for liveness. The caller reports the results through
  /// OnPeerResponded() and OnPeerExited(), about every 500 ms.
  std::vector<std::string> PeersToProbe() const;
  /// Rank of this instance among all candidates, live or not; 0 is the highest.
  int CandidateRank() const;

  // Routers
  /// Grants a view lease for the current table. Returns its duration, 0 when
  /// this instance may not grant one.
  TimeMs GrantViewLease(TimeMs aNowMs, const std::string& aRouter);

  // Balancing and operator commands; ignored unless this instance is the
  // assigner.
  void MoveSlice(KeyHash aHash,
                 const std::string& aTarget,
                 const std::string& aReason);
  void RequestSplit(KeyHash aHash) { planner_.RequestSplit(aHash); }
  void RequestMerge(KeyHash aBegin) { planner_.RequestMerge(aBegin); }
  /// Hands the group over to the deputy. IsIdle() turns true when that is done.
  void BeginHandover() { stopping_ = true; }
  bool IsIdle() const;

  void Step(TimeMs aNowMs, Actions& aActions);

  GroupRole Role() const { return role_; }
  /// Table for routers. Only the assigner's table is authoritative.
  const GroupTable& Table() const { return table_; }
  const GroupState& State() const { return state_; }
  const DeputyRole& Deputy() const { return deputy_; }
  const GroupOptions& Options() const { return options_; }
  bool IsArmed() const;

private:
  void Adopt(TimeMs aNowMs, int64_t aVersion, const GroupObject& aObject);
  void SetStored(TimeMs aNowMs, int64_t aVersion, const GroupObject& aObject);
  void OnWriteConfirmed(TimeMs aNowMs, int64_t aVersion);
  void BecomeAssigner(TimeMs aNowMs,
                      TimeMs aWriteStartedMs,
                      TimeMs aPredecessorEndMs);
  void ContinueAsAssigner(TimeMs aNowMs, const GroupObject& aOld);
  void StepDown(Term aTerm);
  void StepAssigner(TimeMs aNowMs, Actions& aActions);
  void StepDeputy(TimeMs aNowMs, Actions& aActions);
  /// True when the store responded so recently that a write is unlikely to
  /// hang.
  bool IsStoreFresh(TimeMs aNowMs) const;
  void ProbeStore(TimeMs aNowMs, Actions& aActions);
  void StepCandidate(TimeMs aNowMs, Actions& aActions);
  void SendHeartbeat(TimeMs aNowMs, Actions& aActions);
  void MoveSlicesOffDrainingServers(TimeMs aNowMs);
  bool IsHandingOver() const;
  void PrepareArming(TimeMs aNowMs);
  void WriteRecord(TimeMs aNowMs, Actions& aActions);
  bool NeedsNewTerm(TimeMs aNowMs) const;
  void WriteTakeover(TimeMs aNowMs,
                     TimeMs aPredecessorEndMs,
                     std::vector<std::string> aEarlierRenewers,
                     Actions& aActions);
  void WriteNewGroup(TimeMs aNowMs, Actions& aActions);
  void WriteHandover(TimeMs aNowMs, Actions& aActions);
  std::string ChooseDeputy(TimeMs aNowMs, const std::string& aAssigner) const;
  /// Number of live candidates that rank higher than this instance.
  int LiveCandidateRank(TimeMs aNowMs) const;
  bool IsRecentlySeen(TimeMs aNowMs, const std::string& aInstance) const;
  /// The stored record, as instances other than the assigner publish it.
  GroupTable UnconfirmedTable() const;
  void Publish();

  GroupOptions options_;
  GroupState state_;
  GroupWriter writer_;
  DeputyRole deputy_;
  OwnershipRecovery recovery_;
  GrantScheduler grantScheduler_;
  SliceMover mover_;
  RecordPlanner planner_;
  GroupTable table_;
  std::vector<CandidateRecord> candidates_;
  std::vector<BackendServerRecord> servers_;
  std::map<std::string, TimeMs> lastSeenMs_;
  GroupRole role_ = GroupRole::None;
  /// The store was read at least once, so the start of a later term is
  /// observed.
  bool hasReadStore_ = false;
  bool isObjectMissing_ = false;
  bool serversChanged_ = false;
  bool storeReachable_ = false;
  bool stopping_ = false;
  Term supersedingTerm_ = 0;
  /// A candidate measures the silence of others from this time on.
  TimeMs silenceStartMs_ = -1;
  TimeMs lastWrittenMs_ = -timing::kNever;
  TimeMs lastWriteAttemptMs_ = -timing::kNever;
  TimeMs lastPlannedMs_ = -timing::kNever;
  TimeMs lastStoreResponseMs_ = -timing::kNever;
  TimeMs lastStoreProbeMs_ = -timing::kNever;
  TimeMs pendingPredecessorEndMs_ = 0;
  int64_t lastHeartbeatId_ = 0;
};

}

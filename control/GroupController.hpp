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

/// Entry instance that may become assigner or deputy.
struct CandidateRecord
{
  std::string id_;
  std::string failureDomain_;
};

/// Candidates that watch over assigner and deputy and may replace both: room
/// for the two themselves and two more.
inline constexpr int kMonitoringCandidates = 4;

struct GroupOptions
{
  std::string instance_;
  std::string failureDomain_;
  /// Instance and start of the process; differs after a restart.
  std::string writer_;
  std::string service_;
  int32_t group_ = 0;
  size_t slices_ = 256;
};

/// Control of one assignment group at one instance, in whatever role the store
/// object gives it. Pure: time and messages in, actions out. Step() is called
/// after every batch of inputs and at least every 20 ms.
class GroupController
{
public:
  explicit GroupController(GroupOptions aOptions);
  GroupController(const GroupController&) = delete;
  GroupController& operator=(const GroupController&) = delete;

  // Lists of the platform; both lag and are hints.
  void SetCandidates(std::vector<CandidateRecord> aCandidates);
  void SetServers(std::vector<BackendServerRecord> aServers);

  // Store
  void SetStoreReachable(TimeMs aNowMs, bool aReachable);
  void OnObject(TimeMs aNowMs,
                int64_t aVersion,
                const GroupObject& aObject,
                Actions& aActions);
  void OnObjectMissing(TimeMs aNowMs, Actions& aActions);
  /// aVersion is the new one when written.
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
  /// The instance answered something; aTerm is the newest term it knows of.
  void OnPeerResponded(TimeMs aNowMs, const std::string& aInstance, Term aTerm);
  /// Nothing listens at the instance: the process is gone. Also called when an
  /// operator declares it gone.
  void OnPeerExited(TimeMs aNowMs, const std::string& aInstance);

  /// A table of a later term was seen somewhere.
  void OnNewerTerm(Term aTerm);
  /// Instances whose liveness matters to this one: OnPeerResponded() and
  /// OnPeerExited() are expected for them about every 500 ms.
  std::vector<std::string> PeersToProbe() const;
  /// Position of this instance among all candidates, 0 is the first.
  int CandidateRank() const;

  // Routers
  /// View lease for the current table, 0 when this instance may give none.
  TimeMs GrantViewLease(TimeMs aNowMs, const std::string& aRouter);

  // Balancing and operators; ignored unless this instance is the assigner.
  void MoveSlice(KeyHash aHash,
                 const std::string& aTarget,
                 const std::string& aReason);
  void RequestSplit(KeyHash aHash) { planner_.RequestSplit(aHash); }
  void RequestMerge(KeyHash aBegin) { planner_.RequestMerge(aBegin); }
  /// Hands the group to the deputy; IsIdle() turns true when it is done.
  void BeginHandover() { stopping_ = true; }
  bool IsIdle() const;

  void Step(TimeMs aNowMs, Actions& aActions);

  GroupRole Role() const { return role_; }
  /// Table for routers; only the assigner's is authoritative.
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
  /// The store answered so recently that a write will not hang.
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
  /// Number of live candidates that act before this instance.
  int LiveCandidateRank(TimeMs aNowMs) const;
  bool IsRecentlySeen(TimeMs aNowMs, const std::string& aInstance) const;
  /// The stored record as other instances than the assigner show it.
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
  /// The store was asked at least once, so a later term is seen to begin.
  bool hasReadStore_ = false;
  bool isObjectMissing_ = false;
  bool serversChanged_ = false;
  bool storeReachable_ = false;
  bool stopping_ = false;
  Term supersedingTerm_ = 0;
  TimeMs silenceStartMs_ = -1; ///< a candidate judges silence from here
  TimeMs lastWrittenMs_ = -timing::kNever;
  TimeMs lastWriteAttemptMs_ = -timing::kNever;
  TimeMs lastPlannedMs_ = -timing::kNever;
  TimeMs lastStoreResponseMs_ = -timing::kNever;
  TimeMs lastStoreProbeMs_ = -timing::kNever;
  TimeMs pendingPredecessorEndMs_ = 0;
  int64_t lastHeartbeatId_ = 0;
};

}

#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <vector>

namespace cactuspitch {

/// What the assigner knows about one backend server: its clock, incarnation,
/// reported slices, and until when it may act on a lease. All times without
/// other mention are local.
class ServerLease
{
public:
  /// Forgets the fence, and the report unless it is kept.
  void BeginTerm(TimeMs aNowMs, bool aKeepReport);
  /// Registers an order that extends the lease; returns its validUntilMs.
  TimeMs ExtendLease();
  /// aSequence is 0 for a report order, which changes nothing.
  void RecordSent(int64_t aCommandId, int64_t aSequence, TimeMs aNowMs);
  /// False when the reply is older than what is already known.
  /// A reply of aTerm shows that the server is fenced to it.
  bool OnReply(const GrantReply& aReply, Term aTerm, TimeMs aNowMs);
  /// Nothing listens: the process is gone.
  void OnConnectionRefused(int64_t aCommandId, TimeMs aNowMs);

  bool IsAwaitingReply(TimeMs aNowMs) const;
  bool IsSilent(TimeMs aNowMs) const;
  bool HasAnswered() const { return lastReplyMs_ > 0; }
  /// Answered an order of the current term, so a checking server refuses
  /// orders of earlier terms.
  bool IsFenced() const { return fencedSinceMs_ > 0; }
  TimeMs FencedSinceMs() const { return fencedSinceMs_; }
  bool IsGone() const { return gone_; }
  TimeMs GoneSinceMs() const { return goneSinceMs_; }
  /// No lease given by this process can still be valid.
  bool HasOwnLeaseExpired(TimeMs aNowMs) const;
  /// The report that is known was asked for at this time.
  TimeMs ReportRequestedMs() const { return reportRequestedMs_; }
  bool ReportsValidLease() const { return reportValid_; }
  /// The report covers the range with epochs up to aMax, in full.
  bool ReportCovers(KeyHash aBegin, KeyHash aEnd, Epoch aMax) const;
  /// The report has a part of the range with at least this epoch.
  bool ReportOverlaps(KeyHash aBegin, KeyHash aEnd, Epoch aMin) const;
  const std::string& Incarnation() const { return incarnation_; }
  /// Newest order, apart from reports, that the server has accepted.
  int64_t AcceptedSequence() const { return acceptedSequence_; }
  /// Sequence that the server last told.
  int64_t ReportedSequence() const { return reportedSequence_; }
  /// Orders after aSequence no longer have a slice that the server held.
  void RecordSliceRemoval(int64_t aSequence)
  {
    removalSequence_ = aSequence + 1;
  }
  /// Its set is the current one, so renewing whatever it holds is safe.
  bool HasCurrentGrant() const { return acceptedSequence_ >= removalSequence_; }
  bool IsDraining() const { return draining_; }
  TimeMs LastSentMs() const { return sentMs_; }
  /// When the last order other than a report was sent in this term.
  TimeMs LastGrantSentMs() const { return lastGrantSentMs_; }
  TimeMs LastReplyMs() const { return lastReplyMs_; }

private:
  std::string incarnation_;
  std::vector<HeldRange> held_;
  struct Outstanding
  {
    int64_t id_ = 0;
    int64_t sequence_ = 0;
    TimeMs sentMs_ = 0;
  };
  std::vector<Outstanding> outstanding_;
  TimeMs serverClockMs_ = 0; ///< newest clock of the server
  TimeMs serverClockReceivedMs_ = 0;
  TimeMs leaseEndMs_ = 0; ///< bound of all leases given by this process
  TimeMs lastReplyMs_ = 0;
  TimeMs fencedSinceMs_ = 0;
  TimeMs reportRequestedMs_ = 0;
  TimeMs sentMs_ = -timing::kNever;
  TimeMs lastGrantSentMs_ = -timing::kNever;
  TimeMs monitoredSinceMs_ = 0;  ///< silence is judged from here
  TimeMs firstUnansweredMs_ = 0; ///< first order since the last answer
  TimeMs goneSinceMs_ = 0;
  int64_t newestReplyId_ = 0;
  int64_t acceptedSequence_ = 0;
  int64_t reportedSequence_ = 0;
  int64_t removalSequence_ = 1;
  bool reportValid_ = false;
  bool gone_ = false;
  bool draining_ = false;
};

}

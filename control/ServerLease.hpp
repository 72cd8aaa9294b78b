#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <vector>

namespace cactuspitch {

/// State that the assigner keeps about one backend server: its clock, its
/// incarnation, the ranges it reported, and until when it may act on a lease.
/// Times are in the local clock unless stated otherwise.
class ServerLease
{
public:
  /// Resets the fencing state, and also the report unless aKeepReport is set.
  void BeginTerm(TimeMs aNowMs, bool aKeepReport);
  /// Records a lease extension and returns the validUntilMs of its command, in
  /// the server's clock.
  TimeMs ExtendLease();
  /// aSequence is 0 for a command that only requests a report.
  void RecordSent(int64_t aCommandId, int64_t aSequence, TimeMs aNowMs);
  /// Returns false when the reply is older than the newest known one. A reply
  /// with aTerm shows that the server has accepted this term and refuses
  /// commands of earlier ones.
  bool OnReply(const GrantReply& aReply, Term aTerm, TimeMs aNowMs);
  /// Nothing listens at the server's address, so its process has exited.
  void OnConnectionRefused(int64_t aCommandId, TimeMs aNowMs);

  bool IsAwaitingReply(TimeMs aNowMs) const;
  bool IsSilent(TimeMs aNowMs) const;
  bool HasReplied() const { return lastReplyMs_ > 0; }
  /// The server replied to a command of the current term, so it refuses
  /// commands of earlier terms if it checks the fence.
  bool IsFenced() const { return fencedSinceMs_ > 0; }
  TimeMs FencedSinceMs() const { return fencedSinceMs_; }
  bool IsGone() const { return gone_; }
  TimeMs GoneSinceMs() const { return goneSinceMs_; }
  /// No lease given by this process can still be valid.
  bool HasOwnLeaseExpired(TimeMs aNowMs) const;
  /// When the report that is known was requested.
  TimeMs ReportRequestedMs() const { return reportRequestedMs_; }
  bool ReportsValidLease() const { return reportValid_; }
  /// The report covers the whole range, with epochs up to aMax.
  bool ReportCovers(KeyHash aBegin, KeyHash aEnd, Epoch aMax) const;
  /// The report holds a part of the range with an epoch of at least aMin.
  bool ReportOverlaps(KeyHash aBegin, KeyHash aEnd, Epoch aMin) const;
  const std::string& Incarnation() const { return incarnation_; }
  /// Sequence of the newest command, apart from report requests, that the
  /// server accepted.
  int64_t AcceptedSequence() const { return acceptedSequence_; }
  /// Sequence in the server's last report.
  int64_t ReportedSequence() const { return reportedSequence_; }
  /// Call when the server may hold a slice that is no longer granted to it:
  /// commands after aSequence do not contain that slice.
  void RecordSliceRemoval(int64_t aSequence)
  {
    removalSequence_ = aSequence + 1;
  }
  /// The server accepted a command without the removed slices, so renewing
  /// whatever it holds is safe.
  bool HasCurrentGrant() const { return acceptedSequence_ >= removalSequence_; }
  bool IsDraining() const { return draining_; }
  TimeMs LastSentMs() const { return lastSentMs_; }
  /// When the last command other than a report request was sent in this term.
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
  TimeMs serverClockMs_ = 0; ///< newest clock value received from the server
  TimeMs serverClockReceivedMs_ = 0;
  TimeMs leaseEndMs_ = 0; ///< latest expiry of the leases given by this process
  TimeMs lastReplyMs_ = 0;
  TimeMs fencedSinceMs_ = 0;
  TimeMs reportRequestedMs_ = 0;
  TimeMs lastSentMs_ = -timing::kNever;
  TimeMs lastGrantSentMs_ = -timing::kNever;
  TimeMs monitoredSinceMs_ = 0;  ///< silence is measured from this time on
  TimeMs firstUnansweredMs_ = 0; ///< first command since the last reply
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

#pragma once

#include "routing/RoutingConfig.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Backend server that is cold, as told in datagrams.
struct ColdNotice
{
  int32_t server_ = 0; ///< hash of its incarnation
  TimeMs remainingMs_ = 0;
};

/// Registration that is missing in the store, and whose server stays in use for
/// a grace period.
struct MissingEntry
{
  BackendEntry entry_;
  TimeMs graceMs_ = 0; ///< remaining
};

/// Contents of a directory, as told to other gateways.
struct DirectorySnapshot
{
  int64_t revision_ = 0; ///< of the store, which it reflects
  std::vector<BackendEntry> registered_;
  std::vector<MissingEntry> missing_;
};

/// Backend servers according to their registrations in the store. Registrations
/// expire while the store is unavailable, although their servers are alive, so
/// a registration that disappears around a failed store call is kept for a
/// grace period. That is a precaution of the gateway which read the store, and
/// no state of the store: the digest does not cover it.
///
/// Entries and removals are ordered by the revisions of the store at which they
/// were read, whoever read them. A removal is undone by a later write of that
/// registration only. Revision 0 is unknown: such an entry replaces any other,
/// but undoes no removal whose revision is known. Does no I/O.
class BackendDirectory
{
public:
  /// Registrations that expired while the store was unavailable are renewed
  /// within about 2 s of its return. One that is still missing then belongs to
  /// a server that has left.
  static constexpr TimeMs kGraceMs = 2200;
  /// Delay from a removal in the store to the last request that reaches the
  /// server: changes are batched for 200 ms before they are read, sent to other
  /// gateways within 100 ms, and requests take less than 100 ms to arrive.
  static constexpr TimeMs kDrainMarginMs = 400;
  /// Registrations that were removed for at most this long may return with a
  /// restored store.
  static constexpr TimeMs kRemovedMemoryMs = 60000;
  /// Time from a restore to the end of a registration that its server does not
  /// renew: three heartbeats of a second, and the delay of the removal.
  static constexpr TimeMs kRestoredExpiryMs = 3500;

  /// Times at which a server stops to be cold differ by this much between the
  /// reports of one cold phase, because reports take time to arrive.
  static constexpr TimeMs kColdToleranceMs = 300;
  /// Longer remaining cold times are ignored.
  static constexpr TimeMs kMaxColdMs = 3600000;

  /// aDrainMs: time after the removal of a registration from which the server
  /// must not receive requests.
  explicit BackendDirectory(TimeMs aDrainMs);

  /// Applies a complete list of registrations that was read at aRevision. Known
  /// entries that are not listed count as removed.
  void ApplyList(const std::vector<BackendEntry>& aEntries,
                 TimeMs aNowMs,
                 int64_t aRevision = 0);
  /// Returns true if the server is cold now, or for longer, than was known.
  /// aPassesOn: TakeColdNotices() returns the end of its cold phase.
  bool ApplyPut(const BackendEntry& aEntry,
                TimeMs aNowMs,
                bool aPassesOn = true);
  /// This gateway has read at aRevision that the registration is removed.
  void ApplyRemoved(const std::string& aId,
                    TimeMs aNowMs,
                    int64_t aRevision = 0);
  /// Another gateway has read it, and grants the grace period aGraceMs.
  void ApplyToldRemoval(const std::string& aId,
                        TimeMs aGraceMs,
                        TimeMs aNowMs,
                        int64_t aRevision);
  /// The removal was seen by a gateway whose calls to the store have not
  /// failed, so no grace period is needed.
  void ConfirmRemoved(const std::string& aId,
                      TimeMs aNowMs,
                      int64_t aRevision = 0);
  /// This incarnation of the server has announced that it is leaving. It gets
  /// no new work, even if an older registration is read again. Returns false if
  /// that was already known.
  bool MarkLeaving(const std::string& aId, int64_t aStartTimeMs);
  /// Marks the registered incarnations with these hashes. Returns false if none
  /// was newly marked.
  bool MarkLeaving(const std::vector<int32_t>& aIncarnations);
  /// Hashes of up to aMaxCount leaving incarnations whose registrations don't
  /// show it yet.
  std::vector<int32_t> LeavingIncarnations(size_t aMaxCount) const;
  /// This incarnation of the server is cold for the given time. Returns false
  /// if that was already known.
  bool MarkCold(const std::string& aId,
                int64_t aStartTimeMs,
                TimeMs aRemainingMs,
                TimeMs aNowMs);
  /// The same for all that other gateways reported. Returns false if all were
  /// already known. aPassesOn: see ApplyPut().
  bool MarkCold(const std::vector<ColdNotice>& aNotices,
                TimeMs aNowMs,
                bool aPassesOn);
  /// Up to aMaxCount cold servers, others with each call if there are more.
  std::vector<ColdNotice> TakeColdNotices(size_t aMaxCount, TimeMs aNowMs);
  /// The store was restored from an older copy. Until registrations of servers
  /// that have ended must have expired in it, those that had been removed
  /// before are not used.
  void OnStoreRestored(TimeMs aNowMs);
  /// To be called after a failed call to the store.
  void OnStoreCallFailed(TimeMs aNowMs);
  /// Removes entries whose grace period has ended. Returns true if there were
  /// any.
  bool Expire(TimeMs aNowMs);

  /// All servers in use, registered or within a grace period.
  const std::map<std::string, BackendEntry>& Entries() const
  {
    return entries_;
  }
  bool IsRegistered(const std::string& aId) const
  {
    return entries_.contains(aId) && !missing_.contains(aId);
  }
  /// Remaining grace period of a server in use; 0 if it is registered.
  TimeMs GraceMs(const std::string& aId, TimeMs aNowMs) const;
  DirectorySnapshot Snapshot(TimeMs aNowMs) const;
  /// Hash that is equal for directories with the same registered servers in the
  /// same states.
  int64_t Digest() const { return static_cast<int64_t>(digest_); }
  /// Store revision that the directory reflects. Of two directories, the one
  /// with the higher revision is used.
  int64_t Revision() const { return revision_; }
  void AdvanceTo(int64_t aRevision)
  {
    revision_ = std::max(revision_, aRevision);
  }
  /// Takes over the directory of another gateway, except for what it
  /// contradicts and was read here at a later revision.
  void Replace(const DirectorySnapshot& aSnapshot, TimeMs aNowMs);
  /// Servers that were added, removed or changed since the last call.
  /// Heartbeats are not changes.
  std::set<std::string> TakeChanges() { return std::exchange(changes_, {}); }

private:
  /// Longest grace period of a registration.
  TimeMs MaxGraceMs() const { return drainMs_ - kDrainMarginMs; }
  bool IsLeaving(const BackendEntry& aEntry) const;
  /// Keeps the later end of the cold phase. Returns true if that was not known.
  bool ExtendCold(BackendEntry& aEntry,
                  TimeMs aRemainingMs,
                  TimeMs aNowMs,
                  bool aPassesOn);
  /// Whether a registration may be a leftover of a restored store.
  bool IsDoubtful(const BackendEntry& aEntry, TimeMs aNowMs) const;
  /// Whether a later write or removal of the registration is known.
  bool IsOutdated(const BackendEntry& aEntry) const;
  /// Whether the known entry was written after aRevision.
  bool IsWrittenAfter(const std::string& aId, int64_t aRevision) const;
  void Remove(const std::string& aId, TimeMs aNowMs, int64_t aRevision);
  /// The registration of a server that is not in use is still missing.
  void ExtendRemoval(const std::string& aId, int64_t aRevision);
  /// Removes the entry, or keeps it for a grace period after failed calls.
  void MarkMissing(const std::string& aId, TimeMs aNowMs, int64_t aRevision);
  void KeepMissing(const std::string& aId,
                   TimeMs aUntilMs,
                   TimeMs aLatestMs,
                   int64_t aRevision);
  /// Known ids that are not in aListed.
  std::vector<std::string> Unlisted(const std::set<std::string>& aListed) const;

  TimeMs drainMs_;
  std::map<std::string, BackendEntry> entries_;
  struct GracePeriod
  {
    TimeMs untilMs_ = 0;
    TimeMs latestMs_ = 0;  ///< upper limit of untilMs_, also if more calls fail
    int64_t revision_ = 0; ///< at which the registration was missing
  };
  std::map<std::string, GracePeriod> missing_;
  /// Removals seen by other gateways before this one.
  std::map<std::string, TimeMs> confirmedMs_;
  TimeMs storeCallFailedMs_ = 0;
  struct Removal
  {
    int64_t startTimeMs_ = 0; ///< of the incarnation
    TimeMs atMs_ = 0;
    int64_t revision_ = 0; ///< at which the registration was missing
  };
  std::map<std::string, Removal> removals_;
  TimeMs doubtfulUntilMs_ = 0; ///< see OnStoreRestored()
  /// Incarnations that had been removed before the last restore.
  std::map<std::string, int64_t> removedBeforeRestore_;
  /// Their registrations, which are applied unless they are removed again.
  std::map<std::string, BackendEntry> doubtful_;
  std::set<std::string> changes_;
  /// Start time of the latest incarnation of each server that announced that it
  /// is leaving.
  std::map<std::string, int64_t> leavingStartTimeMs_;
  std::set<int32_t> leavingHashes_; ///< hashes of these incarnations
  struct ColdPhase
  {
    TimeMs endMs_ = 0;
    bool passOn_ = false; ///< returned by TakeColdNotices()
  };
  /// By the hashes of the incarnations.
  std::map<int32_t, ColdPhase> coldPhases_;
  int32_t lastColdNotice_ = INT32_MIN;
  /// Sum of the hashes of all registered entries, which does not depend on
  /// their order.
  uint64_t digest_ = 0;
  int64_t revision_ = 0;
};

}

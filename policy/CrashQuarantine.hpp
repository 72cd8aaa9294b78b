#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Incarnation of a backend server that crashed while a request was in flight
/// there. An incarnation crashes at most once, so the records of several
/// routers merge as a set, in any order and with duplicates. Flags are never
/// unset.
struct CrashRecord
{
  uint32_t incarnation_ = 0; ///< hash of the server and its incarnation
  bool conclusive_ = false;  ///< the request was running as a known suspect
  bool cleared_ = false; ///< the request has succeeded or been released since
};

/// Encodes a record as one integer for messages; UnpackCrashRecord() decodes
/// it.
int64_t PackCrashRecord(const CrashRecord& aRecord);
CrashRecord UnpackCrashRecord(int64_t aPacked);

/// Suspect or quarantined request, as exchanged between routers.
struct CrashSuspect
{
  uint64_t fingerprint_ = 0;
  int crashes_ = 0;          ///< number of uncleared records; for display
  bool quarantined_ = false; ///< derived from the records; for display
  TimeMs expiresInMs_ = 0;
  std::string reason_;
  std::vector<CrashRecord> crashRecords_;
};

/// Request that was in flight at a server when the server crashed.
struct InFlightRequest
{
  // NOLINTNEXTLINE(google-explicit-constructor): allows lists of fingerprints.
  InFlightRequest(uint64_t aFingerprint, int aKnownCrashes = kAllKnown)
    : fingerprint_(aFingerprint)
    , knownCrashes_(aKnownCrashes)
  {
  }

  /// The request started after all crashes that are known now.
  static constexpr int kAllKnown = -1;

  uint64_t fingerprint_;
  int knownCrashes_; ///< from the SuspectDecision when the request started
};

enum class SuspectVerdict : uint8_t
{
  Run,    ///< not a suspect, or the only suspect to run on the server now
  Wait,   ///< suspect; try again after waitMs_
  Refuse, ///< quarantined or on trial at another router: reject as not run
  Count
};

template<>
struct EnumNames<SuspectVerdict>
{
  static constexpr std::string_view kNames[] = { "run", "wait", "refuse" };
};

struct SuspectDecision
{
  SuspectVerdict verdict_ = SuspectVerdict::Run;
  /// Delay until the next try. With Refuse it is the Retry-After of the caller,
  /// or 0 for none.
  TimeMs waitMs_ = 0;
  std::string reason_;
  int knownCrashes_ = 0; ///< to be passed on in InFlightRequest
};

struct QuarantineOptions
{
  TimeMs expiryMs_ = 600000;
  size_t maxEntries_ = 4096;
  /// After a crash the routers take turns of this length to start suspects, so
  /// that suspects of different routers don't run on the same server.
  TimeMs turnMs_ = 100;
  /// If there are more routers than this, some of them share a turn.
  int maxTurns_ = 1000;
  /// Each arrival of a quarantined request restarts its expiry time.
  bool extendedByRequests_ = false;
};

/// Detects and quarantines requests that crash backend servers
/// (docs/design.md, section 9). Requests that were in flight during a crash
/// become suspects. Only one suspect at a time runs on a server, so that a
/// second crash identifies the cause. Not thread-safe. The hot path can skip
/// the other calls while HasSuspects() is false.
class CrashQuarantine
{
public:
  explicit CrashQuarantine(QuarantineOptions aOptions = {});

  /// Sets the names of the live routers, including this one.
  void SetMembers(const std::string& aSelf, std::vector<std::string> aMembers);

  /// The server has crashed (refuses connections or has a new incarnation)
  /// while aInFlight, requests of this router, were in flight there.
  /// aIncarnation identifies the incarnation that crashed.
  void OnCrash(std::string_view aServer,
               const std::vector<InFlightRequest>& aInFlight,
               TimeMs aNowMs,
               uint64_t aIncarnation = 0);

  bool HasSuspects() const { return !suspects_.empty(); }
  /// To be called before an attempt. After Run for a suspect, OnEnd(),
  /// OnUnanswered() or OnCrash() of the server must follow.
  SuspectDecision TryBegin(uint64_t aFingerprint,
                           std::string_view aServer,
                           TimeMs aNowMs);
  /// The attempt has ended. aSucceeded: the server executed the request without
  /// a crash, so it is no longer a suspect.
  void OnEnd(uint64_t aFingerprint,
             std::string_view aServer,
             bool aSucceeded,
             TimeMs aNowMs);

  /// The attempt ended without a response, and OnCrash() may report a crash of
  /// the server until aUntilMs. A suspect doesn't run again before that time.
  void OnUnanswered(uint64_t aFingerprint,
                    std::string_view aServer,
                    TimeMs aUntilMs,
                    TimeMs aNowMs);

  /// Releases the request on behalf of an operator.
  void Release(uint64_t aFingerprint, TimeMs aNowMs);
  /// Merges the entries received from a peer. Returns true if any was new.
  /// aForward: marks new entries as unsent, because this router forwards them
  /// to the other routers.
  bool Merge(const std::vector<CrashSuspect>& aEntries,
             TimeMs aNowMs,
             bool aForward = false);
  std::vector<CrashSuspect> Entries(TimeMs aNowMs);
  /// Entry of a request; empty if the request is not a suspect.
  CrashSuspect Find(uint64_t aFingerprint, TimeMs aNowMs) const;
  /// Returns whether a change that peers need to know has occurred since the
  /// last call.
  bool TakeChanged();

  /// Returns up to aMaxCount changes that this router made or forwards and has
  /// sent less than twice, the most important ones first, and counts them as
  /// sent once more.
  std::vector<CrashSuspect> TakeUnsent(size_t aMaxCount, TimeMs aNowMs);
  /// Hash of all requests with at least two crashes; equal for routers that
  /// agree on them.
  uint64_t Digest(TimeMs aNowMs);
  /// Up to aMaxCount entries for a router whose digest differs, the most
  /// important ones first.
  std::vector<CrashSuspect> EntriesForSync(size_t aMaxCount, TimeMs aNowMs);

private:
  struct State
  {
    std::vector<CrashRecord> crashRecords_;
    TimeMs expiresMs_ = 0;
    TimeMs crashMs_ = 0; ///< when the latest crash was detected or received
    std::string reason_;
    int remainingSends_ = 0;
    TimeMs unresolvedUntilMs_ = 0; ///< see OnUnanswered()

    /// Number of records that are not cleared.
    int Crashes() const;
    bool IsQuarantined() const;
  };
  using Entry = std::pair<const uint64_t, State>;

  void Expire(TimeMs aNowMs);
  void SetExpiry(State& aState, TimeMs aExpiresMs);
  void AddCrash(const InFlightRequest& aRequest,
                std::string_view aServer,
                uint32_t aIncarnation,
                TimeMs aNowMs);
  /// True while many servers crash at which the request was not in flight, so
  /// that a crash is weaker evidence and one more is required.
  bool IsMassCrash(const State& aState, uint32_t aIncarnation) const;
  void RecordCrashed(uint32_t aIncarnation, TimeMs aNowMs);
  void Clear(State& aState, std::string_view aReason);
  bool MergeOne(const CrashSuspect& aEntry, TimeMs aNowMs, bool aForward);
  static bool MergeRecord(State& aState, const CrashRecord& aRecord);
  void EvictIfFull();
  TimeMs WaitForTurnMs(const State& aState, TimeMs aNowMs) const;
  /// Whether this is the one router that runs a request which may have crashed
  /// many servers at once.
  bool IsTrialRouter(uint64_t aFingerprint) const;
  static CrashSuspect Describe(const Entry& aEntry, TimeMs aNowMs);
  std::vector<const Entry*> RankedEntries(
    bool (*aWanted)(const State& aState)) const;

  QuarantineOptions options_;
  std::string self_;
  std::vector<std::string> members_; ///< sorted
  int rank_ = 0;
  bool changed_ = false;
  /// Earliest expiry of any entry. Without it, the scan for each request took
  /// several percent of the CPU time of small instances.
  TimeMs firstExpiryMs_ = 0;
  std::unordered_map<uint64_t, State> suspects_;
  /// Suspect that is running on each server.
  std::map<std::string, uint64_t, std::less<>> running_;
  /// Incarnations that crashed recently, with the time of the crash.
  std::deque<std::pair<TimeMs, uint32_t>> crashed_;
};

}

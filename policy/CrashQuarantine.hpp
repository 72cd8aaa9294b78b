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

/// One life of a backend server that ended while the request was in flight
/// there. A life ends once, so the marks of several routers add up as a set, in
/// any order and however often they are told; flags are never unset.
struct CrashRecord
{
  uint32_t incarnation_ = 0; ///< hash of the server and its life
  bool conclusive_ = false;  ///< the request ran there as a known suspect
  bool cleared_ = false;     ///< cleared or released since
};

/// A mark as one number of a message.
int64_t PackCrashRecord(const CrashRecord& aMark);
CrashRecord UnpackCrashRecord(int64_t aPacked);

/// A suspect or quarantined request as routers exchange it.
struct CrashSuspect
{
  uint64_t fingerprint_ = 0;
  int crashes_ = 0;          ///< marks that are not cleared; for display
  bool quarantined_ = false; ///< follows from the marks; for display
  TimeMs expiresInMs_ = 0;
  std::string reason_;
  std::vector<CrashRecord> crashRecords_;
};

/// A request that was in flight at a server when it ended.
struct InFlightRequest
{
  // NOLINTNEXTLINE(google-explicit-constructor): a fingerprint alone will do.
  InFlightRequest(uint64_t aFingerprint, int aKnownCrashes = kAllKnown)
    : fingerprint_(aFingerprint)
    , knownCrashes_(aKnownCrashes)
  {
  }

  /// It began after all crashes that are known by now.
  static constexpr int kAllKnown = -1;

  uint64_t fingerprint_;
  int knownCrashes_; ///< of SuspectDecision, when it began
};

enum class SuspectVerdict : uint8_t
{
  Run,    ///< not a suspect, or the one suspect that the server runs now
  Wait,   ///< a suspect; try again after waitMs_
  Refuse, ///< quarantined, or another router tries it: refuse as not run
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
  TimeMs waitMs_ = 0; ///< of Refuse: time to come back, 0 when there is none
  std::string reason_;
  int knownCrashes_ = 0; ///< for InFlightRequest
};

struct QuarantineOptions
{
  TimeMs expiryMs_ = 600000;
  size_t maxEntries_ = 4096;
  /// Routers start suspects in turns of this length after a crash, so that
  /// suspects of different routers do not meet on one server.
  TimeMs turnMs_ = 100;
  /// With more routers than this, several share a turn.
  int maxTurns_ = 1000;
  /// A quarantine ends only after no such request came for expiryMs_.
  bool extendedByRequests_ = false;
};

/// Finds requests that crash backend servers (docs/design.md, section 9). Not
/// thread-safe. HasSuspects() lets the hot path skip the other calls.
class CrashQuarantine
{
public:
  explicit CrashQuarantine(QuarantineOptions aOptions = {});

  /// Names of the live routers, this one included.
  void SetMembers(const std::string& aSelf, std::vector<std::string> aMembers);

  /// The server is gone (refuses connections or has a new incarnation) and
  /// these requests of this router were in flight there. aIncarnation tells the
  /// lives of one server apart.
  void OnCrash(std::string_view aServer,
               const std::vector<InFlightRequest>& aInFlight,
               TimeMs aNowMs,
               uint64_t aIncarnation = 0);

  bool HasSuspects() const { return !suspects_.empty(); }
  /// Asks before an attempt. A suspect that gets Run must be given back with
  /// OnEnd, or with OnCrash of the server.
  SuspectDecision TryBegin(uint64_t aFingerprint,
                           std::string_view aServer,
                           TimeMs aNowMs);
  /// aSucceeded: the server ran the request to a good end, so it is no longer a
  /// suspect.
  void OnEnd(uint64_t aFingerprint,
             std::string_view aServer,
             bool aSucceeded,
             TimeMs aNowMs);

  /// The attempt ended without an answer, and until aUntilMs OnCrash may tell
  /// that its server has ended. A suspect does not run again before.
  void OnUnanswered(uint64_t aFingerprint,
                    std::string_view aServer,
                    TimeMs aUntilMs,
                    TimeMs aNowMs);

  /// An operator releases the request.
  void Release(uint64_t aFingerprint, TimeMs aNowMs);
  /// Takes over what a peer shared; true when any of it was new. aPassOn: news
  /// counts as untold, because this router tells it to the others.
  bool Merge(const std::vector<CrashSuspect>& aEntries,
             TimeMs aNowMs,
             bool aPassOn = false);
  std::vector<CrashSuspect> Entries(TimeMs aNowMs);
  /// An empty entry for a request that is no suspect.
  CrashSuspect Find(uint64_t aFingerprint, TimeMs aNowMs) const;
  /// True once after a change that peers need to know.
  bool TakeChanged();

  /// Changes that this router made itself or passes on and has told less than
  /// twice, the most important ones first.
  std::vector<CrashSuspect> TakeUnsent(size_t aMost, TimeMs aNowMs);
  /// Equal for routers that agree on all requests with two crashes and more.
  uint64_t Digest(TimeMs aNowMs);
  /// What a router with another digest needs, at most so many.
  std::vector<CrashSuspect> EntriesForSync(size_t aMost, TimeMs aNowMs);

private:
  struct State
  {
    std::vector<CrashRecord> crashRecords_;
    TimeMs expiresMs_ = 0;
    TimeMs crashMs_ = 0; ///< last time a crash was seen or heard of
    std::string reason_;
    int remainingSends_ = 0;
    TimeMs unresolvedUntilMs_ = 0; ///< an attempt broke, see OnUnanswered

    /// Marks that are not cleared.
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
  /// Many servers end that do not run this request: one more crash is needed.
  bool IsMassCrash(const State& aState, uint32_t aIncarnation) const;
  void RecordEnded(uint32_t aIncarnation, TimeMs aNowMs);
  void Clear(State& aState, std::string_view aReason);
  bool MergeOne(const CrashSuspect& aEntry, TimeMs aNowMs, bool aPassOn);
  static bool MergeMark(State& aState, const CrashRecord& aMark);
  void EvictIfFull();
  TimeMs WaitForTurnMs(const State& aState, TimeMs aNowMs) const;
  /// One router tries what may have crashed many servers at once.
  bool IsTrialRouter(uint64_t aFingerprint) const;
  static CrashSuspect Describe(const Entry& aEntry, TimeMs aNowMs);
  std::vector<const Entry*> Ranked(bool (*aWanted)(const State& aState)) const;

  QuarantineOptions options_;
  std::string self_;
  std::vector<std::string> members_; ///< sorted
  int rank_ = 0;
  bool changed_ = false;
  /// Nothing expires before; a scan for each request cost small instances
  /// several percent of their processor time.
  TimeMs firstExpiryMs_ = 0;
  std::unordered_map<uint64_t, State> suspects_;
  /// Suspect that each server runs now.
  std::map<std::string, uint64_t, std::less<>> running_;
  /// Lives that ended lately.
  std::deque<std::pair<TimeMs, uint32_t>> ended_;
};

}

#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// A suspect or quarantined request as routers exchange it. Without crashes
/// it tells that the request was cleared or released.
struct CrashSuspect
{
  uint64_t fingerprint_ = 0;
  int crashes_ = 0;
  bool quarantined_ = false;
  TimeMs expiresInMs_ = 0;
  std::string reason_;
};

enum class SuspectVerdict : uint8_t
{
  Run,    ///< not a suspect, or the one suspect that the server runs now
  Wait,   ///< a suspect; try again after waitMs_
  Refuse, ///< quarantined: refuse as not run
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
  TimeMs waitMs_ = 0;
  std::string reason_;
};

struct QuarantineOptions
{
  TimeMs expiryMs_ = 600000;
  size_t maxEntries_ = 4096;
  /// Routers start suspects in turns of this length after a crash, so that
  /// suspects of different routers do not meet on one server.
  TimeMs turnMs_ = 100;
};

/// Finds requests that crash backend servers (docs/design.md, section 9). Not
/// thread-safe. HasSuspects() lets the hot path skip the other calls.
class CrashQuarantine
{
public:
  explicit CrashQuarantine(QuarantineOptions aOptions = {});

  /// Position of this router among the sorted live routers.
  void SetRouterRank(int aRank, int aRouters);

  /// The server is gone (refuses connections or has a new incarnation) and
  /// these requests of this router were in flight there.
  void OnCrash(std::string_view aServer,
               const std::vector<uint64_t>& aInFlight,
               TimeMs aNowMs);

  bool HasSuspects() const { return !suspects_.empty(); }
  /// Asks before an attempt. A suspect that gets Run must be given back with
  /// OnEnd, or with OnCrash of the server.
  SuspectDecision TryBegin(uint64_t aFingerprint,
                           std::string_view aServer,
                           TimeMs aNowMs);
  /// aEndedWell: the server answered, so the request is no longer a suspect.
  void OnEnd(uint64_t aFingerprint,
             std::string_view aServer,
             bool aEndedWell,
             TimeMs aNowMs);

  /// An operator releases the request.
  void Release(uint64_t aFingerprint, TimeMs aNowMs);
  /// Takes over what a peer shared.
  void Merge(const std::vector<CrashSuspect>& aEntries, TimeMs aNowMs);
  std::vector<CrashSuspect> Entries(TimeMs aNowMs);
  /// True once after a change that peers need to know.
  bool TakeChanged();

private:
  struct State
  {
    int crashes_ = 0; ///< 0: cleared, kept so that old shares are ignored
    bool quarantined_ = false;
    TimeMs expiresMs_ = 0;
    TimeMs crashMs_ = 0; ///< or time of the clearance
    std::string reason_;
  };
  static constexpr std::string_view kReleased = "released by an operator";

  void Expire(TimeMs aNowMs);
  void SetExpiry(State& aState, TimeMs aExpiresMs);
  void AddCrash(uint64_t aFingerprint, std::string_view aServer, TimeMs aNowMs);
  void MarkCleared(State& aState, std::string_view aReason, TimeMs aNowMs);
  void MergeOne(const CrashSuspect& aEntry, TimeMs aNowMs);
  void MakeRoom();
  TimeMs WaitForTurnMs(const State& aState, TimeMs aNowMs) const;

  QuarantineOptions options_;
  int rank_ = 0;
  int routers_ = 1;
  bool changed_ = false;
  /// Nothing expires before; a scan for each request cost small instances
  /// several percent of their processor time.
  TimeMs firstExpiryMs_ = 0;
  std::unordered_map<uint64_t, State> suspects_;
  /// Suspect that each server runs now.
  std::map<std::string, uint64_t, std::less<>> running_;
};

}

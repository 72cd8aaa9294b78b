#pragma once

#include "common/Types.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Slices granted to a backend server, and the checks that it applies to grant
/// commands and requests (docs/design.md, sections 4.1 and 7.2). All times are
/// readings of the server's own clock, in milliseconds.
class BackendGrants
{
public:
  /// Without aFencingEnabled the server accepts commands of earlier terms and
  /// sequence numbers and runs every request.
  BackendGrants(std::string aIncarnation, bool aFencingEnabled);

  /// Applies a grant command. Returns false when the command is stale or has
  /// expired. When slices are revoked, blocks until the requests that run in
  /// them have ended, at most aRevokeWaitMs; requests that are still running
  /// then fail in Commit(). Throws a JSON exception when the command is
  /// malformed.
  bool Apply(const nlohmann::json& aCommand,
             TimeMs aNowMs,
             TimeMs aRevokeWaitMs);
  /// Adds incarnation, term, sequence, lease end and held slices to aStatus.
  void AddStatus(nlohmann::json& aStatus) const;

  /// Checks whether a request may start. Returns the reason when it may not;
  /// otherwise the caller must call End() later.
  std::optional<NotRunReason> Begin(KeyHash aHash, Epoch aEpoch, TimeMs aNowMs);
  /// Checks whether a request may take effect at aNowMs. Returns the reason
  /// when it may not.
  std::optional<NotRunReason> Commit(KeyHash aHash,
                                     Epoch aEpoch,
                                     TimeMs aNowMs) const;
  void End(KeyHash aHash, Epoch aEpoch);
  bool HoldsNoSlices() const;

private:
  struct Slice
  {
    KeyHash end_ = 0; ///< inclusive
    Epoch epoch_ = 0;
  };
  using Slices = std::map<KeyHash, Slice>;

  static std::optional<Epoch> FindEpoch(const Slices& aSlices, KeyHash aHash);
  std::optional<NotRunReason> Check(const Slices& aSlices,
                                    KeyHash aHash,
                                    Epoch aEpoch,
                                    TimeMs aNowMs) const;
  bool IsStale(const nlohmann::json& aCommand, TimeMs aNowMs) const;
  bool HasRequestsOutside(const Slices& aSlices) const;

  const std::string incarnation_;
  const bool fencingEnabled_;
  /// Serializes Apply(), which releases mutex_ while it waits.
  std::mutex commandMutex_;
  mutable std::mutex mutex_;
  std::condition_variable requestEnded_;
  Term term_ = 0;
  int64_t sequence_ = 0;
  TimeMs leaseUntilMs_ = 0;
  Slices held_;
  /// Slices held before the command that is being applied. Requests that
  /// already run in them may still commit while Apply() waits.
  Slices revoking_;
  std::multiset<std::pair<KeyHash, Epoch>> running_;
};

}

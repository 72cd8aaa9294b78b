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

/// What a backend server owns, and the rules by which it takes orders
/// (docs/design.md, sections 4.1 and 7.2). Times are of the server's clock.
class BackendGrants
{
public:
  /// A server that does not check takes any order and runs any request.
  BackendGrants(std::string aIncarnation, bool aFencingEnabled);

  /// False when the order is refused as old. A revoke returns when the
  /// requests that run in the revoked slices have ended, at the latest after
  /// aRevokeWaitMs; the rest fails at commit.
  bool Apply(const nlohmann::json& aCommand,
             TimeMs aNowMs,
             TimeMs aRevokeWaitMs);
  /// Adds term, sequence and held slices.
  void AddStatus(nlohmann::json& aStatus) const;

  /// Empty when the request may start; End() must then follow.
  std::optional<NotRunReason> Begin(KeyHash aHash, Epoch aEpoch, TimeMs aNowMs);
  /// Empty when the request may take effect at aNowMs.
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
  /// Orders are applied one after another.
  std::mutex commandMutex_;
  mutable std::mutex mutex_;
  std::condition_variable requestEnded_;
  Term term_ = 0;
  int64_t sequence_ = 0;
  TimeMs leaseUntilMs_ = 0;
  Slices held_;
  /// Revoked, but requests that run in them may still commit.
  Slices revoking_;
  std::multiset<std::pair<KeyHash, Epoch>> running_;
};

}

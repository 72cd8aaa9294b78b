#pragma once

#include "common/Types.hpp"
#include "kernel/StrategyRegistry.hpp"
#include "policy/BuiltInPolicies.hpp"

#include <memory>
#include <string>

namespace cactuspitch {

/// Result of an attempt at a backend server.
enum class AttemptResult : uint8_t
{
  Answered,
  Shed,      ///< rejected without execution because the server is busy
  Failed,    ///< no response: connection lost or timeout
  Cancelled, ///< unrelated to the server's load: caller gone, stale epoch
  Count
};

template<>
struct EnumNames<AttemptResult>
{
  static constexpr std::string_view kNames[] = { "answered",
                                                 "shed",
                                                 "failed",
                                                 "cancelled" };
};

struct AdmissionOptions
{
  double slots_ = 1; ///< requests that the server runs concurrently
  /// Live routers that share the backend server, for the initial limit, the
  /// even share and the cap after a cold start.
  int routers_ = 1;
  /// Time in which the limit of a server that joins rises to its full range.
  TimeMs warmupMs_ = 30000;
  uint64_t seed_ = 1;
};

/// Concurrency limit of one router for one backend server. Not thread-safe. The
/// times passed must not decrease.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// Acquires a permit for one attempt. Returns false if the limit is reached.
  virtual bool TryAcquire(TimeMs aNowMs) = 0;
  /// Earliest time at which TryAcquire() can succeed without a Release().
  virtual TimeMs NextTryMs(TimeMs aNowMs) const = 0;
  /// Releases the permit of a finished attempt. aLatencyMs is used only if the
  /// attempt was answered.
  virtual void Release(TimeMs aNowMs,
                       AttemptResult aResult,
                       double aLatencyMs) = 0;
  /// Load reported by the backend server, where 1 is full. Only a hint: it
  /// lowers the limit for at most 3 s and never raises it.
  virtual void OnLoadHint(TimeMs aNowMs, double aLoad) = 0;
  /// The server has joined or restarted and its caches are cold.
  virtual void OnColdStart(TimeMs aNowMs) = 0;
  /// Average number of attempts allowed in flight; may be below 1.
  virtual double Limit(TimeMs aNowMs) const = 0;
  virtual int InFlight() const = 0;
};

using AdmissionRegistry =
  StrategyRegistry<AdmissionPolicy, const AdmissionOptions&>;

}

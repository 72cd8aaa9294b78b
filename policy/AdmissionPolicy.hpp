#pragma once

#include "common/Types.hpp"
#include "kernel/StrategyRegistry.hpp"
#include "policy/BuiltInPolicies.hpp"

#include <memory>
#include <string>

namespace cactuspitch {

/// How an attempt at a backend server ended.
enum class AttemptResult : uint8_t
{
  Answered,
  Shed,      ///< refused as not run because the server is busy
  Failed,    ///< no answer: connection lost or time limit
  Cancelled, ///< says nothing about the server: caller gone, stale epoch
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
  double slots_ = 1;
  /// Live routers that share the backend server; only for the first estimate.
  int routers_ = 1;
  /// Time in which the limit of a joining server rises to its full range.
  TimeMs warmupMs_ = 30000;
  uint64_t seed_ = 1;
};

/// Concurrency limit of one router for one backend server. Not thread-safe;
/// time never goes back.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// Takes a place for one attempt; false when the limit forbids it now.
  virtual bool TryAcquire(TimeMs aNowMs) = 0;
  /// Earliest time at which TryAcquire can succeed without a Release.
  virtual TimeMs NextTryMs(TimeMs aNowMs) const = 0;
  /// Gives back the place of an attempt that ended.
  virtual void Release(TimeMs aNowMs,
                       AttemptResult aEnd,
                       double aLatencyMs) = 0;
  /// Load that the backend server reports, 1 is full. Only a hint: it lowers
  /// the limit for at most 3 s and never raises it.
  virtual void OnLoadHint(TimeMs aNowMs, double aLoad) = 0;
  /// The server joined or restarted, so its caches are cold.
  virtual void OnColdStart(TimeMs aNowMs) = 0;
  /// Attempts in flight that are allowed on average; may be below 1.
  virtual double Limit(TimeMs aNowMs) const = 0;
  virtual int InFlight() const = 0;
};

using AdmissionRegistry =
  StrategyRegistry<AdmissionPolicy, const AdmissionOptions&>;

}

#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/LivenessProbe.hpp"
#include "policy/CrashQuarantine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cactuspitch {

/// How it was found that a server has ended.
enum class CrashEvidence : uint8_t
{
  Probe,         ///< it refused a connection after others broke
  ConnectFailed, ///< a request could not connect
  Registration,  ///< its registration went away or names another life
  Count
};

template<>
struct EnumNames<CrashEvidence>
{
  static constexpr std::string_view kNames[] = { "probe",
                                                 "connect-failed",
                                                 "registration" };
};

/// Finds out which of the attempts that got no answer were in flight at a
/// server that ended, and keeps the quarantine of the requests that crash them.
class CrashDetector final : public BackendObserver
{
public:
  /// Told after a change of the quarantine that other gateways need at once.
  using ChangeCallback = std::function<void()>;

  CrashDetector(EventLoop& aLoop, EventLog& aLog, ChangeCallback aOnChange);

  CrashQuarantine& Quarantine() { return quarantine_; }
  void SetGateways(const std::string& aSelf,
                   std::vector<std::string> aGateways);
  /// Asks before an attempt; what gets Run is given back by the end of the
  /// attempt, or by CancelBegin if none was begun.
  SuspectDecision TryBegin(uint64_t aFingerprint, const Backend& aBackend);
  void CancelBegin(uint64_t aFingerprint, const Backend& aBackend);

  void OnAttemptOver(const std::shared_ptr<Backend>& aBackend,
                     const AttemptTag& aTag,
                     AttemptOutcome aOutcome) override;
  void OnBackendDown(const Backend& aBackend) override;
  void OnBackendGone(const Backend& aBackend) override;

private:
  /// An attempt without an answer, until it is known whether its server ended.
  struct UnresolvedAttempt
  {
    AttemptTag tag_;
    std::string backendId_;
    int64_t bornMs_ = 0;
    TimeMs expiresMs_ = 0;
    /// Another connection or a probe found the address alive: only another
    /// registration can still tell that this life of the server has ended.
    bool reachable_ = false;

    bool IsOf(const Backend& aBackend) const;
  };

  void AddUnresolved(const std::shared_ptr<Backend>& aBackend,
                     const AttemptTag& aTag,
                     AttemptOutcome aOutcome);
  void StartProbe(const std::shared_ptr<Backend>& aBackend);
  void OnProbed(const std::shared_ptr<Backend>& aBackend, bool aAlive);
  /// The server has ended: closes its cases as crashes.
  void ConfirmCrash(const Backend& aBackend, CrashEvidence aEvidence);
  void LogCountedCrash(const Backend& aBackend,
                       const UnresolvedAttempt& aAttempt);

  EventLoop& loop_;
  EventLog& log_;
  ChangeCallback onChange_;
  CrashQuarantine quarantine_;
  std::deque<UnresolvedAttempt>
    unresolved_; ///< in the order in which they came
  std::map<std::string, std::unique_ptr<LivenessProbe>> probes_; ///< by server
};

}

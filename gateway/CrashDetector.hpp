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

/// How the end of a server's incarnation was detected.
enum class CrashEvidence : uint8_t
{
  Probe,         ///< it refused a connection after others were lost
  ConnectFailed, ///< a request could not connect
  Registration,  ///< registration removed or of another incarnation
  Count
};

template<>
struct EnumNames<CrashEvidence>
{
  static constexpr std::string_view kNames[] = { "probe",
                                                 "connect-failed",
                                                 "registration" };
};

/// Determines which attempts without a response were in flight at a server that
/// crashed, and owns the quarantine of requests that crash servers.
class CrashDetector final : public BackendObserver
{
public:
  /// Called after a change of the quarantine that must be sent to the other
  /// gateways without delay.
  using ChangeCallback = std::function<void()>;

  CrashDetector(EventLoop& aLoop, EventLog& aLog, ChangeCallback aOnChange);

  CrashQuarantine& Quarantine() { return quarantine_; }
  void SetGateways(const std::string& aSelf,
                   std::vector<std::string> aGateways);
  /// Must be called before an attempt. After the verdict Run either the attempt
  /// ends with OnAttemptFinished, or CancelBegin must be called if it is not
  /// made.
  SuspectDecision TryBegin(uint64_t aFingerprint, const Backend& aBackend);
  void CancelBegin(uint64_t aFingerprint, const Backend& aBackend);

  void OnAttemptFinished(const std::shared_ptr<Backend>& aBackend,
                         const AttemptCrashInfo& aTag,
                         AttemptOutcome aOutcome) override;
  void OnBackendDown(const Backend& aBackend) override;
  void OnBackendRemoved(const Backend& aBackend) override;

private:
  /// An attempt without a response, as long as it is unknown whether its server
  /// has crashed.
  struct UnresolvedAttempt
  {
    AttemptCrashInfo crashInfo_;
    std::string backendId_;
    int64_t startTimeMs_ = 0;
    TimeMs expiresMs_ = 0;
    /// A connection or a probe has shown that the address is alive. From then
    /// on only another registration can prove that this incarnation of the
    /// server has ended.
    bool reachable_ = false;

    bool IsOf(const Backend& aBackend) const;
  };

  void AddUnresolved(const std::shared_ptr<Backend>& aBackend,
                     const AttemptCrashInfo& aTag,
                     AttemptOutcome aOutcome);
  void StartProbe(const std::shared_ptr<Backend>& aBackend);
  void OnProbed(const std::shared_ptr<Backend>& aBackend, bool aAlive);
  /// Counts the unresolved attempts at this server as crashes.
  void ConfirmCrash(const Backend& aBackend, CrashEvidence aEvidence);
  void LogCountedCrash(const Backend& aBackend,
                       const UnresolvedAttempt& aAttempt);

  EventLoop& loop_;
  EventLog& log_;
  ChangeCallback onChange_;
  CrashQuarantine quarantine_;
  std::deque<UnresolvedAttempt> unresolved_; ///< oldest first
  /// By server id.
  std::map<std::string, std::unique_ptr<LivenessProbe>> probes_;
};

}

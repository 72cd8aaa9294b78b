#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/LifeProbe.hpp"
#include "policy/CrashQuarantine.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cactuspitch {

/// How it was found that a server has ended.
enum class EndEvidence : uint8_t
{
  Probe,         ///< it refused a connection after others broke
  ConnectFailed, ///< a request could not connect
  Registration,  ///< its registration went away or names another life
  Count
};

template<>
struct EnumNames<EndEvidence>
{
  static constexpr std::string_view kNames[] = { "probe",
                                                 "connect-failed",
                                                 "registration" };
};

/// Finds out which of the attempts that got no answer were in flight at a
/// server that ended, and keeps the quarantine of the requests that crash them.
class CrashWatch final : public BackendObserver
{
public:
  /// Told after a change of the quarantine that other gateways need at once.
  using ChangeTask = std::function<void()>;

  CrashWatch(EventLoop& aLoop, EventLog& aLog, ChangeTask aOnChange);

  CrashQuarantine& Quarantine() { return quarantine_; }
  void SetGateways(const std::string& aSelf,
                   std::vector<std::string> aGateways);
  /// Asks before an attempt; what gets Run is given back by the end of the
  /// attempt, or by GiveBack if none was begun.
  SuspectDecision TryBegin(uint64_t aFingerprint, const Backend& aBackend);
  void GiveBack(uint64_t aFingerprint, const Backend& aBackend);

  void OnAttemptFinished(const std::shared_ptr<Backend>& aBackend,
                         const AttemptCrashInfo& aTag,
                         AttemptOutcome aOutcome) override;
  void OnBackendDown(const Backend& aBackend) override;
  void OnBackendRemoved(const Backend& aBackend) override;

private:
  /// An attempt without an answer, until it is known whether its server ended.
  struct OpenCase
  {
    AttemptCrashInfo crashInfo_;
    std::string backendId_;
    int64_t bornMs_ = 0;
    TimeMs untilMs_ = 0;
    /// Another connection or a probe found the address alive: only another
    /// registration can still tell that this life of the server has ended.
    bool reachable_ = false;

    bool IsOf(const Backend& aBackend) const;
  };

  void Open(const std::shared_ptr<Backend>& aBackend,
            const AttemptCrashInfo& aTag,
            AttemptOutcome aOutcome);
  void Probe(const std::shared_ptr<Backend>& aBackend);
  void OnProbed(const std::shared_ptr<Backend>& aBackend, bool aAlive);
  /// The server has ended: closes its cases as crashes.
  void Confirm(const Backend& aBackend, EndEvidence aEvidence);
  void LogCounted(const Backend& aBackend, const OpenCase& aCase);

  EventLoop& loop_;
  EventLog& log_;
  ChangeTask onChange_;
  CrashQuarantine quarantine_;
  std::deque<OpenCase> cases_; ///< in the order in which they came
  std::map<std::string, std::unique_ptr<LifeProbe>> probes_; ///< by server
};

}

#include "gateway/CrashDetector.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactuspitch {

namespace detail {

/// Time in which a crash after a lost connection is detected: registrations
/// expire after three heartbeats of at most 1.5 s each, and changes reach all
/// gateways within a second.
constexpr TimeMs kConnectionLostWindowMs = 6000;
/// A crash is attributed to an attempt that this gateway cancelled only if it
/// follows within this time.
constexpr TimeMs kCancelledWindowMs = 1000;
constexpr size_t kMaxUnresolvedAttempts = 2048;
constexpr size_t kMaxProbes = 64;
/// After this time without the request, no caller is retrying it any more.
constexpr TimeMs kQuarantineMs = 600000;
/// A crash is known to all gateways after about 50 ms. The other requests that
/// were in flight at the server wait at most 8 turns of 40 ms, 320 ms.
constexpr TimeMs kTurnMs = 40;
constexpr int kMaxTurns = 8;

}

CrashDetector::CrashDetector(EventLoop& aLoop,
                             EventLog& aLog,
                             ChangeCallback aOnChange)
  : loop_(aLoop)
  , log_(aLog)
  , onChange_(std::move(aOnChange))
  , quarantine_({ .expiryMs_ = detail::kQuarantineMs,
                  .turnMs_ = detail::kTurnMs,
                  .maxTurns_ = detail::kMaxTurns,
                  .renewedByArrivals_ = true })
{
}

void CrashDetector::SetGateways(const std::string& aSelf,
                                std::vector<std::string> aGateways)
{
  quarantine_.SetMembers(aSelf, std::move(aGateways));
}

SuspectDecision CrashDetector::TryBegin(uint64_t aFingerprint,
                                        const Backend& aBackend)
{
  if (!quarantine_.HasSuspects()) {
    return {};
  }
  return quarantine_.TryBegin(aFingerprint, aBackend.entry_.id_, loop_.NowMs());
}

void CrashDetector::CancelBegin(uint64_t aFingerprint, const Backend& aBackend)
{
  if (quarantine_.HasSuspects()) {
    quarantine_.OnEnd(aFingerprint, aBackend.entry_.id_, false, loop_.NowMs());
  }
}

void CrashDetector::OnAttemptOver(const std::shared_ptr<Backend>& aBackend,
                                  const AttemptTag& aTag,
                                  AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::Broken ||
      aOutcome == AttemptOutcome::Abandoned) {
    AddUnresolved(aBackend, aTag, aOutcome);
    return;
  }
  if (!quarantine_.HasSuspects()) {
    return;
  }
  quarantine_.OnEnd(aTag.fingerprint_,
                    aBackend->entry_.id_,
                    aOutcome == AttemptOutcome::RanWell,
                    loop_.NowMs());
  if (quarantine_.TakeChanged()) {
    onChange_();
  }
}

bool CrashDetector::UnresolvedAttempt::IsOf(const Backend& aBackend) const
{
  return backendId_ == aBackend.entry_.id_ &&
         bornMs_ == aBackend.entry_.bornMs_;
}

void CrashDetector::AddUnresolved(const std::shared_ptr<Backend>& aBackend,
                                  const AttemptTag& aTag,
                                  AttemptOutcome aOutcome)
{
  const TimeMs nowMs = loop_.NowMs();
  std::erase_if(unresolved_, [&](const UnresolvedAttempt& aAttempt) {
    return aAttempt.expiresMs_ < nowMs;
  });
  if (unresolved_.size() >= detail::kMaxUnresolvedAttempts) {
    unresolved_.pop_front();
  }
  const bool connectionLost = aOutcome == AttemptOutcome::Broken;
  const TimeMs windowMs = connectionLost ? detail::kConnectionLostWindowMs
                                         : detail::kCancelledWindowMs;
  const auto& entry = aBackend->entry_;
  unresolved_.push_back({ aTag, entry.id_, entry.bornMs_, nowMs + windowMs });
  quarantine_.OnBroken(aTag.fingerprint_, entry.id_, nowMs + windowMs, nowMs);
  if (connectionLost) {
    if (log_.Allows(LogLevel::Info, "attempt-broken")) {
      log_.Write(LogLevel::Info,
                 "attempt-broken",
                 { { "fingerprint", absl::Hex(aTag.fingerprint_) },
                   { "backend", entry.id_ },
                   { "born_ms", entry.bornMs_ },
                   { "known_crashes", aTag.knownCrashes_ } });
    }
    StartProbe(aBackend);
  }
}

void CrashDetector::StartProbe(const std::shared_ptr<Backend>& aBackend)
{
  const auto& id = aBackend->entry_.id_;
  if (probes_.contains(id) || probes_.size() >= detail::kMaxProbes) {
    return;
  }
  probes_[id] = std::make_unique<LivenessProbe>(
    loop_,
    aBackend->endpoint_,
    [aBackend] { return aBackend->HasOpenConnection(); },
    [this, aBackend](bool aAlive) { OnProbed(aBackend, aAlive); });
}

void CrashDetector::OnProbed(const std::shared_ptr<Backend>& aBackend,
                             bool aAlive)
{
  probes_.erase(aBackend->entry_.id_);
  if (!aAlive) {
    ConfirmCrash(*aBackend, CrashEvidence::Probe);
    return;
  }
  for (auto& attempt : unresolved_) {
    attempt.reachable_ = attempt.reachable_ || attempt.IsOf(*aBackend);
  }
}

void CrashDetector::OnBackendDown(const Backend& aBackend)
{
  ConfirmCrash(aBackend, CrashEvidence::ConnectFailed);
}

void CrashDetector::OnBackendGone(const Backend& aBackend)
{
  // A draining server exits as planned, even with requests in flight.
  if (aBackend.entry_.TakesNewWork()) {
    ConfirmCrash(aBackend, CrashEvidence::Registration);
  }
}

void CrashDetector::ConfirmCrash(const Backend& aBackend,
                                 CrashEvidence aEvidence)
{
  const TimeMs nowMs = loop_.NowMs();
  std::vector<UnresolvedAttempt> counted;
  std::erase_if(unresolved_, [&](const UnresolvedAttempt& aAttempt) {
    const bool counts =
      aAttempt.IsOf(aBackend) && aAttempt.expiresMs_ >= nowMs &&
      (!aAttempt.reachable_ || aEvidence == CrashEvidence::Registration);
    if (counts) {
      counted.push_back(aAttempt);
    }
    return counts;
  });
  if (counted.empty()) {
    return;
  }
  std::vector<InFlightRequest> inFlight;
  std::ranges::transform(counted,
                         std::back_inserter(inFlight),
                         [](const UnresolvedAttempt& aAttempt) {
                           return InFlightRequest(aAttempt.tag_.fingerprint_,
                                                  aAttempt.tag_.knownCrashes_);
                         });
  const auto& entry = aBackend.entry_;
  quarantine_.OnCrash(
    entry.id_, inFlight, nowMs, static_cast<uint64_t>(entry.bornMs_));
  if (log_.Allows(LogLevel::Warning, "backend-ended")) {
    log_.Write(LogLevel::Warning,
               "backend-ended",
               { { "backend", entry.id_ },
                 { "born_ms", entry.bornMs_ },
                 { "evidence", EnumName(aEvidence) },
                 { "in_flight", counted.size() } });
  }
  for (const auto& attempt : counted) {
    LogCountedCrash(aBackend, attempt);
  }
  onChange_();
}

void CrashDetector::LogCountedCrash(const Backend& aBackend,
                                    const UnresolvedAttempt& aAttempt)
{
  if (!log_.Allows(LogLevel::Info, "suspect-counted")) {
    return;
  }
  const auto state =
    quarantine_.Find(aAttempt.tag_.fingerprint_, loop_.NowMs());
  log_.Write(LogLevel::Info,
             "suspect-counted",
             { { "fingerprint", absl::Hex(aAttempt.tag_.fingerprint_) },
               { "backend", aBackend.entry_.id_ },
               { "known_crashes", aAttempt.tag_.knownCrashes_ },
               { "crashes", state.crashes_ },
               { "quarantined", state.quarantined_ ? "yes" : "no" } });
}

}

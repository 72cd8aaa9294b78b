#include "gateway/CrashWatch.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactuspitch {

namespace detail {

/// Registrations lapse after three heartbeats, of 1.5 s at most, and changes
/// reach all gateways within a second.
constexpr TimeMs kBrokenWindowMs = 6000;
/// The end of a server explains an attempt that this gateway gave up only if it
/// follows soon.
constexpr TimeMs kAbandonedWindowMs = 1000;
constexpr size_t kMaxCases = 2048;
constexpr size_t kMaxProbes = 64;
/// Without arrivals for so long, no caller repeats the request any more.
constexpr TimeMs kQuarantineMs = 600000;
/// A crash is known to all gateways after about 50 ms; the requests that were
/// in flight beside it wait for 320 ms at most.
constexpr TimeMs kTurnMs = 40;
constexpr int kMaxTurns = 8;

}

CrashWatch::CrashWatch(EventLoop& aLoop, EventLog& aLog, ChangeTask aOnChange)
  : loop_(aLoop)
  , log_(aLog)
  , onChange_(std::move(aOnChange))
  , quarantine_({ .expiryMs_ = detail::kQuarantineMs,
                  .turnMs_ = detail::kTurnMs,
                  .maxTurns_ = detail::kMaxTurns,
                  .renewedByArrivals_ = true })
{
}

void CrashWatch::SetGateways(const std::string& aSelf,
                             std::vector<std::string> aGateways)
{
  quarantine_.SetMembers(aSelf, std::move(aGateways));
}

SuspectDecision CrashWatch::TryBegin(uint64_t aFingerprint,
                                     const Backend& aBackend)
{
  if (!quarantine_.HasSuspects()) {
    return {};
  }
  return quarantine_.TryBegin(aFingerprint, aBackend.entry_.id_, loop_.NowMs());
}

void CrashWatch::GiveBack(uint64_t aFingerprint, const Backend& aBackend)
{
  if (quarantine_.HasSuspects()) {
    quarantine_.OnEnd(aFingerprint, aBackend.entry_.id_, false, loop_.NowMs());
  }
}

void CrashWatch::OnAttemptFinished(const std::shared_ptr<Backend>& aBackend,
                                   const AttemptCrashInfo& aTag,
                                   AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::ConnectionLost ||
      aOutcome == AttemptOutcome::Cancelled) {
    Open(aBackend, aTag, aOutcome);
    return;
  }
  if (!quarantine_.HasSuspects()) {
    return;
  }
  quarantine_.OnEnd(aTag.fingerprint_,
                    aBackend->entry_.id_,
                    aOutcome == AttemptOutcome::Succeeded,
                    loop_.NowMs());
  if (quarantine_.TakeChanged()) {
    onChange_();
  }
}

bool CrashWatch::OpenCase::IsOf(const Backend& aBackend) const
{
  return backendId_ == aBackend.entry_.id_ &&
         bornMs_ == aBackend.entry_.bornMs_;
}

void CrashWatch::Open(const std::shared_ptr<Backend>& aBackend,
                      const AttemptCrashInfo& aTag,
                      AttemptOutcome aOutcome)
{
  const TimeMs nowMs = loop_.NowMs();
  std::erase_if(cases_,
                [&](const OpenCase& aCase) { return aCase.untilMs_ < nowMs; });
  if (cases_.size() >= detail::kMaxCases) {
    cases_.pop_front();
  }
  const bool broken = aOutcome == AttemptOutcome::ConnectionLost;
  const TimeMs windowMs =
    broken ? detail::kBrokenWindowMs : detail::kAbandonedWindowMs;
  const auto& entry = aBackend->entry_;
  cases_.push_back({ aTag, entry.id_, entry.bornMs_, nowMs + windowMs });
  quarantine_.OnBroken(aTag.fingerprint_, entry.id_, nowMs + windowMs, nowMs);
  if (broken) {
    if (log_.Allows(LogLevel::Info, "attempt-broken")) {
      log_.Write(LogLevel::Info,
                 "attempt-broken",
                 { { "fingerprint", absl::Hex(aTag.fingerprint_) },
                   { "backend", entry.id_ },
                   { "born_ms", entry.bornMs_ },
                   { "known_crashes", aTag.knownCrashes_ } });
    }
    Probe(aBackend);
  }
}

void CrashWatch::Probe(const std::shared_ptr<Backend>& aBackend)
{
  const auto& id = aBackend->entry_.id_;
  if (probes_.contains(id) || probes_.size() >= detail::kMaxProbes) {
    return;
  }
  probes_[id] = std::make_unique<LifeProbe>(
    loop_,
    aBackend->endpoint_,
    [aBackend] { return aBackend->HasOpenConnection(); },
    [this, aBackend](bool aAlive) { OnProbed(aBackend, aAlive); });
}

void CrashWatch::OnProbed(const std::shared_ptr<Backend>& aBackend, bool aAlive)
{
  probes_.erase(aBackend->entry_.id_);
  if (!aAlive) {
    Confirm(*aBackend, EndEvidence::Probe);
    return;
  }
  for (auto& openCase : cases_) {
    openCase.reachable_ = openCase.reachable_ || openCase.IsOf(*aBackend);
  }
}

void CrashWatch::OnBackendDown(const Backend& aBackend)
{
  Confirm(aBackend, EndEvidence::ConnectFailed);
}

void CrashWatch::OnBackendRemoved(const Backend& aBackend)
{
  // A server that drains ends as planned, with what it still runs.
  if (aBackend.entry_.TakesNewWork()) {
    Confirm(aBackend, EndEvidence::Registration);
  }
}

void CrashWatch::Confirm(const Backend& aBackend, EndEvidence aEvidence)
{
  const TimeMs nowMs = loop_.NowMs();
  std::vector<OpenCase> counted;
  std::erase_if(cases_, [&](const OpenCase& aCase) {
    const bool counts =
      aCase.IsOf(aBackend) && aCase.untilMs_ >= nowMs &&
      (!aCase.reachable_ || aEvidence == EndEvidence::Registration);
    if (counts) {
      counted.push_back(aCase);
    }
    return counts;
  });
  if (counted.empty()) {
    return;
  }
  std::vector<InFlightRequest> inFlight;
  std::ranges::transform(
    counted, std::back_inserter(inFlight), [](const OpenCase& aCase) {
      return InFlightRequest(aCase.crashInfo_.fingerprint_,
                             aCase.crashInfo_.knownCrashes_);
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
  for (const auto& openCase : counted) {
    LogCounted(aBackend, openCase);
  }
  onChange_();
}

void CrashWatch::LogCounted(const Backend& aBackend, const OpenCase& aCase)
{
  if (!log_.Allows(LogLevel::Info, "suspect-counted")) {
    return;
  }
  const auto state =
    quarantine_.Find(aCase.crashInfo_.fingerprint_, loop_.NowMs());
  log_.Write(LogLevel::Info,
             "suspect-counted",
             { { "fingerprint", absl::Hex(aCase.crashInfo_.fingerprint_) },
               { "backend", aBackend.entry_.id_ },
               { "known_crashes", aCase.crashInfo_.knownCrashes_ },
               { "crashes", state.crashes_ },
               { "quarantined", state.quarantined_ ? "yes" : "no" } });
}

}

#pragma once

#include "LedgerClient.hpp"
#include "RequestLedger.hpp"
#include "common/Clock.hpp"

#include <mutex>
#include <string>

namespace cactuspitch {

/// Thread-safe RequestLedger: this router's replica of the request ledger.
class SynchronizedLedger
{
public:
  SynchronizedLedger(const Clock& aClock, size_t aMaxEntries)
    : clock_(aClock)
    , startMs_(aClock.NowMs())
    , ledger_(aMaxEntries)
  {
  }

  RequestLedger::BeginResult Begin(const LedgerId& aId,
                                   LedgerEntryState& aState)
  {
    const std::lock_guard lock(mutex_);
    return ledger_.Begin(
      aId.service_, aId.requestId_, aId.token_, clock_.NowMs(), aState);
  }
  void Finish(const LedgerId& aId, LedgerEntryState aState)
  {
    const std::lock_guard lock(mutex_);
    ledger_.Finish(
      aId.service_, aId.requestId_, aId.token_, aState, clock_.NowMs());
  }
  size_t Size() const
  {
    const std::lock_guard lock(mutex_);
    return ledger_.Size();
  }
  TimeMs UptimeMs() const { return clock_.NowMs() - startMs_; }

private:
  const Clock& clock_;
  const TimeMs startMs_;
  mutable std::mutex mutex_;
  RequestLedger ledger_;
};

}

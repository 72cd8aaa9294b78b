#include "SynchronizedQuarantine.hpp"

#include <utility>

namespace cactuspitch {

SynchronizedQuarantine::SynchronizedQuarantine(const Clock& aClock,
                                               QuarantineOptions aOptions)
  : clock_(aClock)
  , quarantine_(aOptions)
{
}

void SynchronizedQuarantine::Publish()
{
  hasSuspects_.store(quarantine_.HasSuspects(), std::memory_order_release);
}

SuspectDecision SynchronizedQuarantine::TryBegin(uint64_t aFingerprint,
                                                 std::string_view aServer)
{
  const std::lock_guard lock(mutex_);
  auto decision = quarantine_.TryBegin(aFingerprint, aServer, clock_.NowMs());
  Publish();
  return decision;
}

void SynchronizedQuarantine::OnEnd(uint64_t aFingerprint,
                                   std::string_view aServer,
                                   bool aSucceeded)
{
  const std::lock_guard lock(mutex_);
  quarantine_.OnEnd(aFingerprint, aServer, aSucceeded, clock_.NowMs());
  Publish();
}

void SynchronizedQuarantine::OnCrash(std::string_view aServer,
                                     const std::vector<uint64_t>& aInFlight,
                                     uint64_t aIncarnation)
{
  const std::lock_guard lock(mutex_);
  quarantine_.OnCrash(aServer,
                      { aInFlight.begin(), aInFlight.end() },
                      clock_.NowMs(),
                      aIncarnation);
  Publish();
}

void SynchronizedQuarantine::Release(uint64_t aFingerprint)
{
  const std::lock_guard lock(mutex_);
  quarantine_.Release(aFingerprint, clock_.NowMs());
  Publish();
}

void SynchronizedQuarantine::Merge(const std::vector<CrashSuspect>& aEntries)
{
  const std::lock_guard lock(mutex_);
  quarantine_.Merge(aEntries, clock_.NowMs());
  Publish();
}

std::vector<CrashSuspect> SynchronizedQuarantine::Entries()
{
  const std::lock_guard lock(mutex_);
  auto entries = quarantine_.Entries(clock_.NowMs());
  Publish();
  return entries;
}

bool SynchronizedQuarantine::TakeChanged()
{
  const std::lock_guard lock(mutex_);
  return quarantine_.TakeChanged();
}

void SynchronizedQuarantine::SetMembers(const std::string& aSelf,
                                        std::vector<std::string> aMembers)
{
  const std::lock_guard lock(mutex_);
  quarantine_.SetMembers(aSelf, std::move(aMembers));
}

}

#pragma once

#include "common/Clock.hpp"
#include "policy/CrashQuarantine.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// Thread-safe CrashQuarantine of this router.
class SynchronizedQuarantine
{
public:
  explicit SynchronizedQuarantine(const Clock& aClock,
                                  QuarantineOptions aOptions = {});

  /// Lock-free. The hot path skips the other calls when there are no suspects.
  bool HasSuspects() const
  {
    return hasSuspects_.load(std::memory_order_acquire);
  }
  SuspectDecision TryBegin(uint64_t aFingerprint, std::string_view aServer);
  void OnEnd(uint64_t aFingerprint, std::string_view aServer, bool aSucceeded);
  void OnCrash(std::string_view aServer,
               const std::vector<uint64_t>& aInFlight,
               uint64_t aIncarnation = 0);
  void Release(uint64_t aFingerprint);
  void Merge(const std::vector<CrashSuspect>& aEntries);
  std::vector<CrashSuspect> Entries();
  bool TakeChanged();
  void SetMembers(const std::string& aSelf, std::vector<std::string> aMembers);

private:
  void Publish();

  const Clock& clock_;
  std::mutex mutex_;
  CrashQuarantine quarantine_;
  std::atomic<bool> hasSuspects_ = false;
};

}
